//go:build review

package cases

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// settingsFile is the settings file of a daemon, with the values of a small deployment.
const settingsFile = `nodeName: %q
role: "entry"
machineClass: "edge"
serves:
  - "edge"
ip: %q
zone: "zone-a"
region: "region-a"
zones:
  zone-a: "region-a"
listen:
  front: %q
  readiness: %q
internalPorts:
  - %s
  - %s
seeds: []
bootstrap: true
faultCounted: false
limits:
  cpuShare: 0.8
  cores: 1
  memoryMb: 304
  maxFds: 8200
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
bounds:
  reuseAfterS: 2
  contactMs: 3000
  ackTimeoutMs: 4000
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  strictRevoke: true
  revokeMs: 5000
  finishS: 18
  statusS: 120
  cancelMs: 3000
  settleMs: 1000
platform:
  address: %q
  form: "table"
  writesPerS: 800
  readsPerS: 2000
  txMs: 5.0
  partWritesS: 200
  rowBytes: 65536
  across: false
  historyS: 20
`

// stopGrace is the time from SIGTERM to SIGKILL.
const stopGrace = 8 * time.Second

// daemon is an entry daemon on a VM, as a process that is restarted when it ends.
type daemon struct {
	Name  string
	Front string // address for callers
	ready string // address of readiness probes
	path  string // of the settings file
	root  string // of the repository
	logs  *os.File
	rec   *record
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended
}

// ports are the ports of a daemon at its own loopback address, where nothing else listens and
// no outgoing connection takes a port.
const frontPort, readyPort, peerPort, metricsPort = "8689", "8687", "7360", "7375"

// newDaemon writes the settings file of the daemon with the number into dir.
func newDaemon(rec *record, root, dir string, number int, store string) (*daemon, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid>>7&0x7f, pid&0x7f, number)
	d := &daemon{
		Name: fmt.Sprintf("edge-%d", number), Front: net.JoinHostPort(ip, frontPort), ready: net.JoinHostPort(ip, readyPort), root: root, rec: rec,
	}
	for _, port := range []string{frontPort, readyPort, peerPort, metricsPort} {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		if err != nil {
			return nil, err
		}
		listener.Close()
	}
	d.path = filepath.Join(dir, d.Name+".yaml")
	text := fmt.Sprintf(settingsFile, d.Name, ip, d.Front, d.ready, peerPort, metricsPort, store)
	if err := os.WriteFile(d.path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	d.logs, err = os.Create(filepath.Join(dir, d.Name+".log"))
	return d, err
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	d.cmd = exec.Command("target/baobab-entry")
	d.cmd.Dir = d.root
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "BAOBABLANDING_BOOT=" + d.path}
	d.cmd.Stdout, d.cmd.Stderr = d.logs, d.logs
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if the case itself is ended
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		d.rec.log("daemon %s (pid %d) ended: %v", d.Name, cmd.Process.Pid, err)
		close(ended)
	}(d.cmd, d.ended)
	d.rec.log("daemon %s started as pid %d, front %s", d.Name, d.cmd.Process.Pid, d.Front)
	return nil
}

// awaitReady waits until the daemon answers readiness probes with 200.
func (d *daemon) awaitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + d.ready + "/v1/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// terminate sends SIGTERM, and SIGKILL at the end of the grace time.
func (d *daemon) terminate() {
	cmd, ended := d.cmd, d.ended
	d.rec.log("SIGTERM to daemon %s", d.Name)
	cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(stopGrace):
			d.rec.log("SIGKILL to daemon %s at the end of its grace time", d.Name)
			cmd.Process.Kill()
		}
	}()
}

// kill ends the process, if it runs, and waits for its end.
func (d *daemon) kill() {
	if d.cmd != nil && d.cmd.Process != nil {
		d.cmd.Process.Kill()
		<-d.ended
	}
}
