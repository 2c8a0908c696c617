//go:build review

package cases

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	earlystopEvents  = 23 // of a stream, as on the sheet
	earlystopStreams = 10

	earlystopGrace     = 8 * time.Second         // graceS: from SIGTERM to SIGKILL
	earlystopSendAfter = 5500 * time.Millisecond // from SIGTERM to the clients' requests
	earlystopRollTime  = 80 * time.Second        // in which the process is stopped and started again

	earlystopFirstDelay = 4 * time.Millisecond // from the start of the process to SIGTERM
	earlystopDelayStep  = 500 * time.Microsecond
)

// earlystopPlay plays a stop of a process that was just started.
func earlystopPlay(s *Script) int {
	s.Store.PutConfig(1, []Object{NewService("asistente")}, []Object{NewStreamRoute("r-chofer", "/lohu930/", "asistente")})
	for i := range 2 {
		s.StartEngine(EngineConfig{
			ID: fmt.Sprintf("i-%02d", i), Service: "asistente", Zone: "bajio-a", Slots: 8, Queue: 24, First: 100 * time.Millisecond, Interval: 130 * time.Millisecond,
		})
	}
	if !s.StartDaemons(GarrafonContracts, "bajio-a", "bajio-b") {
		return NotRun
	}
	killAt := time.Time{}
	if Troubled() {
		killAt = earlystopRoll(s, s.Daemons[0])
		if killAt.IsZero() {
			s.Add("held: every SIGTERM was followed")
			return Held
		}
		time.Sleep(time.Until(killAt.Add(earlystopSendAfter - earlystopGrace)))
	}
	return earlystopSend(s, killAt)
}

// earlystopRoll stops the daemon and starts it again, as the platform does, and stops it again just after
// that, until it is ready although it was told to stop. It returns when the platform then kills it,
// or 0 if that does not happen in earlystopRollTime.
func earlystopRoll(s *Script, d *Daemon) (killAt time.Time) {
	delay := earlystopFirstDelay
	earlystopStop(s, d)
	for end := time.Now().Add(earlystopRollTime); time.Now().Before(end); {
		d.Start()
		time.Sleep(delay)
		d.Signal(syscall.SIGTERM)
		stopped := time.Now()
		time.Sleep(1500 * time.Millisecond)
		switch {
		case d.Ended():
			s.Add("SIGTERM %v after the start of %s ended it at once", delay, d.Name)
			delay += earlystopDelayStep
		case d.IsReady():
			s.Add("SIGTERM %v after the start of %s has no effect: it is ready 1.5 s later", delay, d.Name)
			return stopped.Add(earlystopGrace)
		default:
			s.Add("SIGTERM %v after the start of %s is followed: it is not ready and stops", delay, d.Name)
			delay = max(delay-earlystopDelayStep, earlystopDelayStep)
			d.Await(time.Until(stopped.Add(earlystopGrace)))
		}
	}
	return time.Time{}
}

// earlystopStop stops the daemon as the platform does.
func earlystopStop(s *Script, d *Daemon) {
	d.Signal(syscall.SIGTERM)
	s.Add("%s is told to stop: ended within graceS: %v", d.Name, d.Await(earlystopGrace))
}

// earlystopSend sends streams to the first daemon, or to the second if the first is not ready, and kills the
// first at killAt if it still runs. It returns the exit code.
func earlystopSend(s *Script, killAt time.Time) int {
	target := s.Daemons[0]
	if !target.IsReady() {
		target = s.Daemons[1]
	}
	var cut atomic.Int64
	var all sync.WaitGroup
	for i := range earlystopStreams {
		id := fmt.Sprintf("9c41d07be2a3%04x", i)
		all.Go(func() {
			sent := time.Now()
			answer := Call{
				Method: "POST", Front: target.Front, Host: HostName, Path: "/lohu930/2f", Key: Key, ID: id, Timeout: 5 * time.Second,
				Header: map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("450,%d", earlystopEvents), "Prompt-Prefix": "a0:200," + id + ":250", "Deadline-Ms": "5000"},
				Body:   []byte("question " + id),
			}.Do()
			isWhole := answer.Err == nil && answer.Status == 200
			if !isWhole && answer.Status != 503 {
				cut.Add(1)
			}
			s.Add("stream %s sent at %s to %s: status %d, %d bytes, whole: %v, %v", id, s.At(sent), target.Name, answer.Status, len(answer.Body), isWhole, answer.Err)
		})
	}
	if !killAt.IsZero() {
		time.Sleep(time.Until(killAt))
		if d := s.Daemons[0]; !d.Ended() {
			s.Add("graceS is over: the platform kills %s", d.Name)
			d.Kill()
		}
	}
	all.Wait()
	if cut.Load() > 0 {
		s.Add("LOST: %d streams, sent %v after SIGTERM and passed on to sound engines, ended without a complete answer", cut.Load(), earlystopSendAfter)
		return Broken
	}
	s.Add("held: every stream has a complete answer")
	return Held
}
