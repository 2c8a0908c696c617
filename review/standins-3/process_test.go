//go:build review

package cases

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// host is the address of all stand-ins and processes.
const host = "127.0.0.1"

// serve serves the handler on a free port until the server is closed.
func serve(h http.Handler) (address string, server *http.Server) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		panic(err)
	}
	server = &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), server
}

// freePort returns a port that nobody uses, for TCP and UDP.
func freePort() int {
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			panic(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", net.JoinHostPort(host, strconv.Itoa(port)))
		l.Close()
		if err == nil {
			u.Close()
			return port
		}
	}
}

// Contracts in the settings of two deployments.
const (
	GarrafonContracts = `"base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "tenants", "quota", "places", "platform"`
	SnadContracts     = `"base", "drain", "config", "cost", "recover", "health", "pool", "batch", "stream", "engine", "tenants", "quota", "pressure", "platform"`
)

// settings is the settings file of an edge machine, with the figures of garrafon-ruta.
const settings = `nodeName: %q
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: %q
region: "bajio"
zones: {bajio-a: "bajio", bajio-b: "bajio", bajio-c: "bajio"}
listen: {front: %q, readiness: %q}
internalPorts: [%d, %d]
bootstrap: true
limits: {cpuShare: 0.8, cores: 1, memoryMb: 304, maxFds: 8200, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: [%s]
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackTimeoutMs: 4000, catchUpS: 4.5, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, strictRevoke: true, revokeMs: 5000, quotaWindowS: 5, quotaOver: 0.1, quotaSlack: 20, coldOver: 1.5, coldSlack: 5, evacuateMs: 5000, recoveryS: 12, passMs: 120, retryAfterS: 0, finishS: 18, statusS: 120, cancelMs: 3000, settleMs: 1000}
platform: {address: %q, form: "table", writesPerS: 800, readsPerS: 2000, txMs: 5.0, partWritesS: 200, rowBytes: 65536, across: false, historyS: 20, blobBytes: 8388608, blobMs: 25.0, blobMbS: 80.0}
`

// Daemon is a process of the system, started by the command of the deploy file.
type Daemon struct {
	Name, Front, Readiness string

	zone, contracts, store string
	settings, log          string
	cmd                    *exec.Cmd
	done                   chan struct{}
}

// StartDaemon starts an entry daemon of the zone with the contracts in its settings. Its files are
// in dir.
func StartDaemon(dir, name, zone, contracts string, store *Store) *Daemon {
	d := &Daemon{
		Name: name, zone: zone, contracts: contracts, store: store.Address,
		settings: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log"),
	}
	d.configure()
	d.Start()
	return d
}

// configure writes the settings file with free ports.
func (d *Daemon) configure() {
	d.Front = net.JoinHostPort(host, strconv.Itoa(freePort()))
	d.Readiness = net.JoinHostPort(host, strconv.Itoa(freePort()))
	content := fmt.Sprintf(settings, d.Name, d.zone, d.Front, d.Readiness, freePort(), freePort(), d.contracts, d.store)
	if err := os.WriteFile(d.settings, []byte(content), 0o600); err != nil {
		panic(err)
	}
}

// Start starts the process, again after it ended.
func (d *Daemon) Start() {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	d.cmd = exec.Command("target/baobab-entry")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAOBABLANDING_BOOT=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		panic(err)
	}
	done := make(chan struct{})
	d.done = done
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		out.Close()
		close(done)
	}(d.cmd)
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	<-d.done
}

// AwaitReady waits until the daemon answers its readiness probe with 200. A daemon that ended because
// another process took one of its ports meanwhile is started with others.
func (d *Daemon) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.IsReady() {
			return true
		}
		if d.Ended() {
			d.configure()
			d.Start()
		}
	}
	return false
}

// Ended reports whether the process has ended.
func (d *Daemon) Ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// IsReady reports whether the daemon answers its readiness probe with 200.
func (d *Daemon) IsReady() bool {
	resp, err := http.Get("http://" + d.Readiness + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Await waits for the end of the process and reports whether it ended within the limit.
func (d *Daemon) Await(limit time.Duration) bool {
	select {
	case <-d.done:
		return true
	case <-time.After(limit):
		return false
	}
}
