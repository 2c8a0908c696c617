//go:build review

package cases

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// leaveRounds is how often an engine leaves. The first daemon is cut off from the store
	// for cutTime before that.
	leaveRounds = 6
	cutTime     = 2500 * time.Millisecond
	// leaveAfter is the time from the end of the cut to the removal of the engine's row, and
	// serveTime the time for which the engine goes on after that.
	leaveAfter = 1500 * time.Millisecond
	serveTime  = 4500 * time.Millisecond
	// drainTime is drainMs, and contactTime is contactMs.
	drainTime, contactTime = 2 * time.Second, 3 * time.Second
	// roundPause is the time from the end of an engine to the next round.
	roundPause = 4 * time.Second
	// askInterval is the time between two requests at each daemon, askEvents the number of
	// events of an answer.
	askInterval = 150 * time.Millisecond
	askEvents   = 90
)

// goneEngine lets engines leave without a word: their rows are removed, and they go on for a
// while before they end. Before that, the first daemon is cut off from the store. Once it is
// in touch again, no request may reach an engine later than drainMs after its removal.
func goneEngine(f *fleet) (bool, error) {
	f.config = newConfig(route("ask", "/ask/", "streaming", map[string]any{"gapAimMs": 200}))
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	if err := f.begin(os.Args[2], dir, 3, 2); err != nil {
		return false, err
	}
	for _, e := range f.engines {
		e.Pace = 30 * time.Millisecond
	}
	var clients sync.WaitGroup
	counts := &askCounts{byEnd: make(map[string]int)}
	for _, d := range f.daemons {
		clients.Go(func() { f.askUntilStop(d, counts) })
	}
	time.Sleep(4 * time.Second)
	late := 0
	for n := range leaveRounds {
		late += f.leave(n)
		e, err := startEngine(f.rec, fmt.Sprintf("i-engine%d", len(f.engines)+1))
		if err != nil {
			return false, err
		}
		e.Pace = 30 * time.Millisecond
		f.engines = append(f.engines, e)
		go e.register(f.store, "svc", f.stop)
		time.Sleep(roundPause)
	}
	f.rec.say("requests by how they ended: %v", counts.byEnd)
	f.rec.say("%d requests reached an engine later than %v after its removal", late, drainTime)
	if counts.byEnd["served"] == 0 {
		return false, errors.New("no request was served")
	}
	return late == 0, nil
}

// leave cuts the first daemon off, ends the cut, removes the oldest engine's row, and ends the
// engine. It returns the number of requests that reached the engine too late.
func (f *fleet) leave(round int) int {
	e := f.engines[round]
	if f.trouble {
		f.rec.log("daemon %s is cut off from the store", f.daemons[0].Name)
		f.doors[0].closed.Store(true)
	}
	time.Sleep(cutTime)
	f.doors[0].closed.Store(false)
	f.rec.log("no daemon is cut off from the store")
	inTouch := time.Now().Add(contactTime)
	time.Sleep(leaveAfter)
	close(e.quit)
	f.store.remove("servers", e.ID)
	removed := time.Now()
	f.rec.log("the row of engine %s is removed", e.ID)
	time.Sleep(serveTime)
	e.end()
	late := 0
	for _, a := range e.arrivals() {
		if a.at.After(removed.Add(drainTime)) && a.at.After(inTouch) {
			f.rec.say("request %s reached engine %s %.3f s after its removal", a.id, e.ID, a.at.Sub(removed).Seconds())
			late++
		}
	}
	return late
}

// askCounts counts requests by how they ended.
type askCounts struct {
	mu    sync.Mutex
	byEnd map[string]int
}

// askUntilStop sends requests to the daemon at intervals until the end of the case.
func (f *fleet) askUntilStop(d *daemon, counts *askCounts) {
	for n := 0; ; n++ {
		select {
		case <-f.stop:
			return
		case <-time.After(askInterval):
		}
		id := fmt.Sprintf("%s-%04d", d.Name, n)
		go func() {
			end := ask(d, id)
			if end != "served" {
				f.rec.log("request %s: %s", id, end)
			}
			counts.mu.Lock()
			defer counts.mu.Unlock()
			counts.byEnd[end]++
		}()
	}
}

// ask sends a request to the daemon and returns how it ended.
func ask(d *daemon, id string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Front+"/ask/one", strings.NewReader("question"))
	if err != nil {
		return err.Error()
	}
	req.Host = host
	for name, value := range map[string]string{
		"Authorization": "Token " + apiKey, "Request-Id": id, "Model": "m", "Deadline-Ms": "5000",
		"Token-Count": fmt.Sprintf("40,%d", askEvents), "Prompt-Prefix": "aa:20," + id + ":20",
	} {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 6 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, bufio.NewReader(resp.Body)); err != nil {
		return "cut in the answer"
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprint(resp.StatusCode)
	}
	return "served"
}
