package load_test

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/burn"
	"github.com/baobablanding/baobablanding/policy/route"
)

// scalesInTenths lists the sizes at which the benchmarks run, in tenths of the full size.
var scalesInTenths = []int{1, 3, 10}

// stateAtScale returns a configuration of the given number of tenths of the full size:
// 10 data centres and 6 models at every size, and at full size 410 gateways, 1800 VMs
// with one engine each, 1400 workspaces with 3 objectives each, and 5600 keys.
func stateAtScale(tenths int) fleet.State {
	inv := fleet.Inventory{}
	for i := range 10 {
		inv.DataCentres = append(inv.DataCentres, fleet.DataCentre{Name: fmt.Sprintf("dc-%d", i), Region: fmt.Sprintf("region-%d", i%4)})
	}
	for i := range 41 * tenths {
		inv.Gateways = append(inv.Gateways, fleet.Gateway{
			Name: fmt.Sprintf("gateway-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%10),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), HTTPAddress: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
		})
	}
	for i := range 6 {
		inv.Models = append(inv.Models, fleet.Model{Name: fmt.Sprintf("model-%d", i)})
	}
	for i := range 180 * tenths {
		vm := fmt.Sprintf("vm-%d", i)
		address := fmt.Sprintf("10.1.%d.%d", i/250, i%250)
		inv.VMs = append(inv.VMs, fleet.VM{Name: vm, DataCentre: fmt.Sprintf("dc-%d", i%10), AgentAddress: address + ":7000"})
		inv.Upstreams = append(inv.Upstreams, fleet.Upstream{
			Name: fmt.Sprintf("engine-%d", i), VM: vm, Kind: fleet.KindEngine, URL: "http://" + address + ":8000",
			Models: []string{fmt.Sprintf("model-%d", i%6)}, Slots: 64, ColdSlots: 4,
		})
	}
	for i := range 140 * tenths {
		name := fmt.Sprintf("workspace-%d", i)
		inv.Workspaces = append(inv.Workspaces, fleet.Workspace{Name: name, Rate: 5, Burst: 10})
		for _, kind := range []string{"first_token", "between_tokens", "success"} {
			inv.Objectives = append(inv.Objectives, fleet.Objective{Name: name + "-" + kind, Workspace: name, Kind: kind, Threshold: time.Second, Target: 0.95})
		}
	}
	inv.SetDefaults()
	s := fleet.State{Version: 1, Inventory: inv}
	for i := range 560 * tenths {
		s.Keys = append(s.Keys, fleet.Key{
			ID: fmt.Sprintf("key-%d", i), Digest: sha256.Sum256(fmt.Append(nil, i)),
			Workspace: fmt.Sprintf("workspace-%d", i%(140*tenths)), IssuedAt: time.Now(),
		})
	}
	return s
}

// benchmarkScales runs the benchmark with a configuration of each size.
func benchmarkScales(b *testing.B, run func(b *testing.B, s fleet.State)) {
	for _, tenths := range scalesInTenths {
		s := stateAtScale(tenths)
		b.Run(fmt.Sprintf("tenths=%d", tenths), func(b *testing.B) {
			b.ReportAllocs()
			run(b, s)
		})
	}
}

func BenchmarkView(b *testing.B) {
	benchmarkScales(b, func(b *testing.B, s fleet.State) {
		for b.Loop() {
			fleet.NewView(s)
		}
	})
}

func BenchmarkDecodeInventory(b *testing.B) {
	benchmarkScales(b, func(b *testing.B, s fleet.State) {
		data, err := json.Marshal(s.Inventory)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			var inv fleet.Inventory
			if err := json.Unmarshal(data, &inv); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "encoded-bytes")
		b.ReportMetric(float64(compressedLength(b, data)), "gzip-bytes")
	})
}

func compressedLength(b *testing.B, data []byte) int {
	b.Helper()
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(data); err != nil {
		b.Fatal(err)
	}
	if err := w.Close(); err != nil {
		b.Fatal(err)
	}
	return out.Len()
}

func upstreamsOf(s *fleet.State) []*blackboard.Upstream {
	all := make([]*blackboard.Upstream, 0, len(s.Inventory.Upstreams))
	for i := range s.Inventory.Upstreams {
		all = append(all, &blackboard.Upstream{
			Spec: &s.Inventory.Upstreams[i], DataCentre: s.Inventory.VMs[i].DataCentre, AgentAddress: s.Inventory.VMs[i].AgentAddress,
			State: fleet.StateReady, Connected: true, Load: new(blackboard.UpstreamLoad),
		})
	}
	return all
}

func BenchmarkPublishUpstreams(b *testing.B) {
	benchmarkScales(b, func(b *testing.B, s fleet.State) {
		board := blackboard.New()
		for b.Loop() {
			board.Upstreams.Publish(blackboard.NewUpstreams(upstreamsOf(&s)))
		}
	})
}

func BenchmarkRouteDecision(b *testing.B) {
	benchmarkScales(b, func(b *testing.B, s fleet.State) {
		for i := range s.Inventory.Upstreams {
			s.Inventory.Upstreams[i].Models = []string{"model-0"}
		}
		topology := blackboard.NewTopology(fleet.NewView(s), "gateway-1", "dc-1")
		ups := blackboard.NewGroupedUpstreams(upstreamsOf(&s), topology)
		group := ups.GroupForModel("model-0")
		req := route.Request{DataCentre: "dc-1", Tried: func(*blackboard.Upstream) bool { return false }}
		for b.Loop() {
			req.Random++
			req.Prefix = blackboard.HashPair(req.Random, 1)
			if route.Choose(ups.All, group, &req) == nil {
				b.Fatal("no upstream")
			}
		}
	})
}

func BenchmarkObjectiveHistories(b *testing.B) {
	benchmarkScales(b, func(b *testing.B, s fleet.State) {
		now := time.Now()
		before := heapInUse()
		histories := make([]*burn.History, len(s.Inventory.Objectives))
		for i := range histories {
			histories[i] = burn.NewHistory(now.Add(-4 * 24 * time.Hour))
			for age := 4 * 24 * time.Hour; age > 0; age -= burn.SampleInterval {
				histories[i].Add(now.Add(-age), burn.Count{})
			}
		}
		held := float64(heapInUse() - before)
		for b.Loop() {
			now = now.Add(burn.SampleInterval)
			for _, h := range histories {
				h.Add(now, burn.Count{})
				for _, w := range burn.Windows() {
					h.CountAtStart(now, w, burn.Count{})
				}
			}
		}
		b.ReportMetric(held, "held-bytes")
	})
}

// BenchmarkResident reports the memory that the view of a decoded configuration holds.
func BenchmarkResident(b *testing.B) {
	benchmarkScales(b, func(b *testing.B, s fleet.State) {
		data, err := json.Marshal(s)
		if err != nil {
			b.Fatal(err)
		}
		var view *fleet.View
		before := heapInUse()
		for b.Loop() {
			var decoded fleet.State
			if err := json.Unmarshal(data, &decoded); err != nil {
				b.Fatal(err)
			}
			view = fleet.NewView(decoded)
		}
		b.ReportMetric(float64(heapInUse()-before), "held-bytes")
		runtime.KeepAlive(view)
		runtime.KeepAlive(data)
	})
}

// BenchmarkLinks reports the memory that the connections between two processes hold,
// both sides together.
func BenchmarkLinks(b *testing.B) {
	const processes = 200
	var addresses []string
	for range processes {
		server, err := peer.Listen("127.0.0.1:0", nil, nil)
		if err != nil {
			b.Fatal(err)
		}
		defer server.Close()
		addresses = append(addresses, server.Addr())
	}
	for b.Loop() {
		before := heapInUse()
		connected := make(chan peer.ConnEvent, processes)
		pool := peer.NewPool(nil, func(e peer.ConnEvent) {
			if e.Connected {
				connected <- e
			}
		})
		pool.SetAddresses(addresses)
		for range processes {
			<-connected
		}
		b.ReportMetric(float64(heapInUse()-before)/processes, "bytes/link")
		pool.Close()
	}
}

// heapInUse returns the bytes of reachable heap and of stacks. It collects twice, as the
// objects in a sync.Pool survive the first collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
