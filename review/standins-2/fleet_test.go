//go:build review

package cases

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Programs of the project that a case starts. run.sh runs in the root of the repository.
const (
	entryProgram = "target/baobab-entry"
	storeProgram = "target/review-2/baobab-standin"
)

// object is a JSON object.
type object = map[string]any

// fleet is a store, engines and entry daemons on loopback addresses, with the record of a case.
type fleet struct {
	dir       string // temporary
	storeAddr string
	client    *http.Client

	deadlyPart atomic.Value // id of the part of prompts that crashes engines, a string

	mu       sync.Mutex
	record   *os.File
	started  time.Time
	commands []*exec.Cmd
	engines  []*engine
	config   object
}

// newFleet starts the store. The record goes to the file.
func newFleet(recordPath string) (*fleet, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, record: record, started: time.Now(),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second},
	}
	if f.storeAddr, err = freeAddress("127.0.0.1"); err != nil {
		return nil, err
	}
	if _, err := f.run(storeProgram, nil, "platform", "--listen", f.storeAddr); err != nil {
		return nil, err
	}
	return f, f.await("the store answers", func() bool {
		_, err := f.client.Get("http://" + f.storeAddr + "/v1/rows-parts?table=op")
		return err == nil
	})
}

// freeAddress returns an address of the IP with a port that is free.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// logf writes a line to the record.
func (f *fleet) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// run starts a program of the project. It ends with this process at the latest.
func (f *fleet) run(program string, env []string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	output, err := os.OpenFile(filepath.Join(f.dir, filepath.Base(program)+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, cmd)
	return cmd, nil
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, cmd := range f.commands {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	for _, e := range f.engines {
		e.close()
	}
	_ = os.RemoveAll(f.dir)
	_ = f.record.Close()
}

const awaitTimeout = 15 * time.Second

// await waits until the condition holds, or returns an error after awaitTimeout.
func (f *fleet) await(what string, holds func() bool) error {
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errors.New("timed out while waiting: " + what)
}

// put writes a row as the operator and the engines do. The store's answer is the acknowledgement.
func (f *fleet) put(table, key string, value object) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	row := object{"table": table, "part": "", "key": key, "value": base64.StdEncoding.EncodeToString(data)}
	body, err := json.Marshal(object{"expectedRevision": []object{}, "puts": []object{row}, "remove": []object{}})
	if err != nil {
		return err
	}
	resp, err := f.client.Post("http://"+f.storeAddr+"/v1/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("store answers %d to a write of %s/%s", resp.StatusCode, table, key)
	}
	return nil
}

// publish writes the configuration with the next version.
func (f *fleet) publish() error {
	version, _ := f.config["version"].(int)
	f.config["version"] = version + 2
	if err := f.put("op", "config", f.config); err != nil {
		return err
	}
	f.logf("configuration %d is acknowledged", f.config["version"])
	return nil
}

// daemon is an entry daemon. Its process may be started several times.
type daemon struct {
	fleet            *fleet
	name             string
	front, readiness string
	settings         string // path
	cmd              *exec.Cmd
}

// settingsFile has the fields of DEPLOY.md that the platform writes for a small deployment.
const settingsFile = `nodeName: %q
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: %q
zone: "bajio-a"
region: "bajio"
zones: {bajio-a: "bajio"}
listen: {front: %q, readiness: %q}
internalPorts: [%s, %s]
seeds: []
bootstrap: true
faultCounted: true
limits: {cpuShare: 0.8, cores: 1, memoryMb: 304, maxFds: 8200, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "tenants", "quota", "places", "platform"]
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackTimeoutMs: 4000, catchUpS: 4.5, drainMs: 2000, graceS: 8,
  lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, strictRevoke: true, revokeMs: 5000,
  quotaWindowS: 5, quotaOver: 0.1, quotaSlack: 20, coldOver: 1.5, coldSlack: 5, evacuateMs: 5000, recoveryS: 12,
  passMs: 120, retryAfterS: 0, finishS: 18, statusS: 120, cancelMs: 3000, settleMs: 1000}
platform: {address: %q, form: "table", writesPerS: 800, readsPerS: 2000, txMs: 5.0, partWritesS: 200, rowBytes: 65536,
  across: false, historyS: 20, blobBytes: 8388608, blobMs: 25.0, blobMbS: 80.0}
`

// newDaemon prepares a daemon on the loopback IP. It does not start it.
func (f *fleet) newDaemon(name, ip string) (*daemon, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	_, peers, _ := net.SplitHostPort(addresses[2])
	_, metrics, _ := net.SplitHostPort(addresses[3])
	d := &daemon{fleet: f, name: name, front: addresses[0], readiness: addresses[1], settings: filepath.Join(f.dir, name+".yaml")}
	content := fmt.Sprintf(settingsFile, name, ip, d.front, d.readiness, peers, metrics, f.storeAddr)
	return d, os.WriteFile(d.settings, []byte(content), 0o600)
}

// start starts the daemon's process.
func (d *daemon) start() error {
	cmd, err := d.fleet.run(entryProgram, []string{"BAOBABLANDING_BOOT=" + d.settings})
	d.cmd = cmd
	d.fleet.logf("%s is started", d.name)
	return err
}

// kill ends the daemon's process with SIGKILL and waits until it is gone.
func (d *daemon) kill() {
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	_ = d.cmd.Wait()
	d.fleet.logf("%s is killed", d.name)
}

// ready reports whether the daemon answers the platform's readiness probe with 200.
func (d *daemon) ready() bool {
	resp, err := d.fleet.client.Get("http://" + d.readiness + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer is a daemon's answer to a caller.
type answer struct {
	status int // 0 without an answer
	stamp  string
	body   string
}

// call sends one request on a new connection and records what came of it.
func (d *daemon) call(method, host, path, key, id string, header map[string]string, body []byte) answer {
	req, err := http.NewRequest(method, "http://"+d.front+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Host = host
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	if id != "" {
		req.Header.Set("Request-Id", id)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := d.fleet.client.Do(req)
	if err != nil {
		d.fleet.logf("%s %s%s (%s) at %s: no answer: %v", method, host, path, id, d.name, err)
		return answer{}
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, stamp: resp.Header.Get("Server-Stamp"), body: string(data)}
	d.fleet.logf("%s %s%s (%s) at %s: %d, Server-Stamp %q, %s", method, host, path, id, d.name, a.status, a.stamp, shorten(a.body))
	return a
}

// shorten returns the text on one line, cut to a length that fits into the record.
func shorten(text string) string {
	const most = 160
	text = strings.ReplaceAll(text, "\n", `\n`)
	if len(text) > most {
		return text[:most] + "..."
	}
	return text
}

// route returns a route of the configuration with the additional fields.
func route(name, host, prefix, kind string, more object) object {
	r := object{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": mainService, "timeoutMs": 5000,
		"targetLatencyMs": 400, "priority": 0, "maxAttempts": 3, "public": false, "stickySessions": true, "resumable": true, "gapAimMs": 200,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// batch holds the fields that a batch route has beyond those of route.
var batch = object{"completionTargetMs": 18000, "maxWaitS": 60, "maxCount": 980000, "timeoutMs": 15000, "priority": 2}

const (
	apiKey = "i9n73hh2b9wu3fexd9dn"
	tenant = "kaje80"

	mainService, otherService = "asistente", "redactor"
)

// service returns a service of the configuration.
func service(name string) object {
	return object{"name": name, "healthPath": "/health", "maxConnections": 170, "coldStartS": 3.0, "coldPerS": 28.0}
}

// newConfig returns a configuration with the routes, two services and one tenant.
func newConfig(routes ...object) object {
	return object{
		"version": 5, "routes": routes,
		"services": []object{service(mainService), service(otherService)},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1, "ratePerS": 55, "burst": 55}},
	}
}

// jobBody returns the body of a batch job with the items' ids, all of one path.
func jobBody(path string, ids ...string) []byte {
	var items []object
	for _, id := range ids {
		items = append(items, object{
			"id": id, "path": path, "headers": object{"Model": "m", "Token-Count": "340,160", "Prompt-Prefix": "9c2e41:100,5d07b8:240"},
			"body": base64.StdEncoding.EncodeToString([]byte("stop " + id)), "tokens": 500,
		})
	}
	data, _ := json.Marshal(object{"items": items}) // maps of texts and numbers can be encoded
	return data
}
