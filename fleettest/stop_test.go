package fleettest_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/fleettest"
	"github.com/baobablanding/baobablanding/standin"
)

// slowStreamOptions returns the options of an engine that sends a token every 50 ms.
func slowStreamOptions() standin.EngineOptions {
	o := standin.DefaultEngineOptions
	o.PerToken = 50 * time.Millisecond
	return o
}

// TestAgentShutdownCutsNoStream guards against streams that are cut when their agent
// shuts down. The agents shut down and start again one after the other under load.
func TestAgentShutdownCutsNoStream(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Gateways: 2, Engines: 3, EngineOptions: slowStreamOptions()})
	l := startLoad(f, 12, true)
	for _, vm := range f.Inventory.VMs {
		f.Eventually("enough requests were answered", func() bool { return l.answered.Load() > 12 })
		stopProcess(t, f.Agents[vm.Name])
		time.Sleep(100 * time.Millisecond)
		f.StartAgent(vm.Name)
		f.WaitServing()
	}
	l.stop()
	if n := l.failed.Load(); n != 0 {
		t.Errorf("%d of %d streams failed; last: %s", n, n+l.answered.Load(), l.lastFailure())
	}
}

func stopProcess(t *testing.T, p interface{ Stop(context.Context) error }) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := p.Stop(ctx); err != nil {
		t.Error(err)
	}
}

// TestGatewayShutdownCutsNoRequest guards against requests that are cut or rejected when
// a gateway shuts down. Each caller has a connection of its own to one gateway and moves
// to the other gateway when a response says "Connection: close".
func TestGatewayShutdownCutsNoRequest(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Gateways: 2, Engines: 2})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var answered, failed atomic.Int64
	var last atomic.Value
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			gateway := 0
			for n := 0; ctx.Err() == nil; n++ {
				closed, err := chatOnce(client, f, gateway, i%2 == 0)
				if err != nil {
					failed.Add(1)
					last.Store(fmt.Sprintf("gateway %d request %d: %v", gateway+1, n, err))
					return
				}
				answered.Add(1)
				if closed {
					gateway = 1
				}
			}
		}()
	}
	f.Eventually("enough requests were answered", func() bool { return answered.Load() > 50 })
	stopProcess(t, f.Gateways["gateway-1"])
	delete(f.Gateways, "gateway-1")
	time.Sleep(200 * time.Millisecond)
	cancel()
	wg.Wait()
	if n := failed.Load(); n != 0 {
		t.Errorf("%d requests failed; last: %v", n, last.Load())
	}
}

// chatOnce sends a chat request to the gateway with the given index. It reports whether
// the gateway closes the connection after its response, and fails if that is not
// complete.
func chatOnce(client *http.Client, f *fleettest.Fleet, gateway int, stream bool) (bool, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`, fleettest.ModelName, stream)
	req, err := http.NewRequest(http.MethodPost, f.URL(gateway)+"/v1/chat/completions", bytes.NewBufferString(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+f.Keys["garrafon"])
	resp, err := client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, err
	}
	if resp.StatusCode != http.StatusOK || stream && !fleettest.IsCompleteStream(string(answer)) {
		return false, fmt.Errorf("answered %d %s", resp.StatusCode, answer)
	}
	return resp.Close, nil
}
