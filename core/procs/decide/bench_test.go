package decide_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/decide"
	"apricotproxy/core/procs/route"
)

// benchSite returns a configuration of one host and one service.
func benchSite(endpoints, workspaces int) core.Config {
	config := site("h1")
	config.Endpoints = nil
	for i := range endpoints {
		config.Endpoints = append(config.Endpoints, core.Endpoint{
			Name: core.EndpointName(fmt.Sprintf("e%d", i)), Service: "s", DataCentre: "a",
			ColdSlots: 2, WarmSlots: 32, MemoryTokens: 100000,
		})
	}
	config.Workspaces = nil
	for i := range workspaces {
		config.Workspaces = append(config.Workspaces, core.Workspace{Name: core.WorkspaceName(fmt.Sprintf("w%d", i)), Weight: 1})
	}
	return config
}

// warmDecider returns a Decider whose endpoints are all warm and at the end of their
// ramp.
func warmDecider(config core.Config) (*decide.Decider, time.Time) {
	random := rand.New(rand.NewPCG(1, 1))
	d := decide.New(core.HostID{Host: "h1", Incarnation: 1}, decide.Options{Policy: route.NewProduct(random), Random: random})
	now := _start
	d.Apply(now, config)
	for range 20 {
		now = now.Add(time.Second)
		for _, e := range config.Endpoints {
			d.Observe(now, core.Report{
				Endpoint: e.Name, Incarnation: 1, Phase: core.PhaseWarm, AskedAt: now,
				FreeTokens: 100000, TotalTokens: 100000,
			})
		}
	}
	return d, now
}

// BenchmarkDecision measures the decisions for one request: submission with placement,
// confirmation and finish.
func BenchmarkDecision(b *testing.B) {
	for _, kind := range []string{"long", "short"} {
		for _, endpoints := range []int{10, 40, 150, 600} {
			b.Run(fmt.Sprintf("%s/endpoints=%d/workspaces=7500", kind, endpoints), func(b *testing.B) {
				benchmarkDecision(b, kind, benchSite(endpoints, 7500))
			})
		}
	}
}

func benchmarkDecision(b *testing.B, kind string, config core.Config) {
	before := heapBytes()
	d, now := warmDecider(config)
	request := core.Request{
		Service: "s", Repeatable: true, PromptTokens: 300, Prefixes: []uint64{1, 2, 3},
		Arrived: now, QueueDeadline: now.Add(time.Hour), Deadline: now.Add(time.Hour),
	}
	if kind == "short" {
		request.MaxTokens = 32
	}
	runRequest := func(i int) {
		request.ID = core.RequestID(i)
		request.Workspace = config.Workspaces[i%len(config.Workspaces)].Name
		placed := d.Submit(now, request).Placements[0]
		if !d.Confirm(now, placed) {
			b.Fatal("not confirmed")
		}
		d.Finish(now, placed, core.ResultCompleted, 10)
	}
	for i := range config.Workspaces {
		runRequest(i) // the first request of a workspace allocates its state
	}
	heldBytes := heapBytes() - before
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		runRequest(i)
	}
	// The views and slots of the endpoints, and the state of all workspaces.
	b.ReportMetric(float64(heldBytes), "held-bytes")
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkQueued measures the decisions for one request while every slot is in use
// and a request of each of 1,000 workspaces waits: a submission, and a finish with the
// placement of the next request in the queue.
func BenchmarkQueued(b *testing.B) {
	for _, endpoints := range []int{10, 40, 150, 600} {
		b.Run(fmt.Sprintf("endpoints=%d/workspaces=7500", endpoints), func(b *testing.B) {
			config := benchSite(endpoints, 7500)
			config.Limits.QueueLength = 0
			benchmarkQueued(b, config)
		})
	}
}

func benchmarkQueued(b *testing.B, config core.Config) {
	d, now := warmDecider(config)
	request := core.Request{
		Service: "s", Repeatable: true, PromptTokens: 300,
		Arrived: now, QueueDeadline: now.Add(time.Hour), Deadline: now.Add(time.Hour),
	}
	var running []core.Placement
	next := 0
	submit := func() {
		request.ID = core.RequestID(next)
		request.Workspace = config.Workspaces[next%len(config.Workspaces)].Name
		next++
		running = append(running, d.Submit(now, request).Placements...)
	}
	for waiting := 0; waiting < 1000; waiting = d.Status(now).Waiting {
		for range 1000 {
			submit()
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		submit()
		oldest := running[i]
		d.Confirm(now, oldest)
		running = append(running, d.Finish(now, oldest, core.ResultCompleted, 300).Placements...)
	}
}

// BenchmarkApply measures how long a new revision takes to apply. The host makes no
// decision in the meantime.
func BenchmarkApply(b *testing.B) {
	for _, size := range [][2]int{{9, 24}, {360, 600}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			config := benchSite(size[1], 7500)
			config.Hosts = nil
			for i := range size[0] {
				config.Hosts = append(config.Hosts, core.Host{Name: core.HostName(fmt.Sprintf("h%d", i+1)), DataCentre: "a"})
			}
			d, now := warmDecider(config)
			for b.Loop() {
				config = config.WithRevision(config.Revision + 1)
				d.Apply(now, config)
			}
		})
	}
}
