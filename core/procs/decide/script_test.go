package decide_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/core"
	"apricotproxy/core/procs/decide"
)

// script is the state of one test script, which drives one host with one service.
type script struct {
	t        *testing.T
	decider  *decide.Decider
	config   core.Config
	now      time.Time
	requests core.RequestID
	placed   map[core.RequestID]core.Placement
	out      strings.Builder
}

// TestScripts runs the scripts in testdata. Every command accepts after=<duration>,
// which advances the clock first. Commands:
//
//	start cold=N warm=N endpoints=N hosts=h1+h2 queue=N
//	report endpoint=E phase=cold|warm running=N incarnation=N leaving repeat=N
//	submit count=N short once workspace=W    once: not repeatable
//	confirm request=N
//	finish request=N count=N result=completed|lost|...
//	revise out leaving    out: data centre out of service
//	acknowledge host=H incarnation=N
//	drain
//	tick
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{t: t, now: _start, placed: map[core.RequestID]core.Placement{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			return s.command(d)
		})
	})
}

func (s *script) command(d *datadriven.TestData) string {
	s.out.Reset()
	var after string
	if d.MaybeScanArgs(s.t, "after", &after); after != "" {
		elapsed, err := time.ParseDuration(after)
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(elapsed)
	}
	switch d.Cmd {
	case "start":
		s.start(d)
	case "report":
		s.report(d)
	case "submit":
		s.submit(d)
	case "confirm":
		fmt.Fprintf(&s.out, "confirmed %t\n", s.decider.Confirm(s.now, s.placed[s.request(d)]))
	case "finish":
		s.finish(d)
	case "revise":
		s.revise(d)
	case "acknowledge":
		s.acknowledge(d)
	case "drain":
		s.show(s.decider.Drain(s.now))
	case "tick":
		s.show(s.decider.Tick(s.now))
	default:
		s.t.Fatalf("unknown command %s", d.Cmd)
	}
	if s.out.Len() == 0 {
		return "nothing\n"
	}
	return s.out.String()
}

func (s *script) request(d *datadriven.TestData) core.RequestID {
	var request uint64
	d.ScanArgs(s.t, "request", &request)
	return core.RequestID(request)
}

func (s *script) start(d *datadriven.TestData) {
	cold, warm, queue, share, hosts, endpoints := 2, 8, 100, 0.1, "h1", 1
	d.MaybeScanArgs(s.t, "cold", &cold)
	d.MaybeScanArgs(s.t, "warm", &warm)
	d.MaybeScanArgs(s.t, "queue", &queue)
	d.MaybeScanArgs(s.t, "hosts", &hosts)
	d.MaybeScanArgs(s.t, "endpoints", &endpoints)
	s.config = site()
	for _, host := range strings.Split(hosts, "+") {
		s.config.Hosts = append(s.config.Hosts, core.Host{Name: core.HostName(host), DataCentre: "a"})
	}
	s.config.Limits.QueueLength, s.config.Limits.RetryShare = queue, share
	s.config.Endpoints = nil
	for i := range endpoints {
		s.config.Endpoints = append(s.config.Endpoints, core.Endpoint{
			Name: core.EndpointName(fmt.Sprintf("e%d", i)), Service: "s", DataCentre: "a",
			ColdSlots: cold, WarmSlots: warm, MemoryTokens: 100000,
		})
	}
	s.decider = newDecider("h1")
	s.show(s.decider.Apply(s.now, s.config))
}

func (s *script) report(d *datadriven.TestData) {
	endpoint, phase, running, incarnation, repeat := "e0", "warm", 0, 1, 1
	d.MaybeScanArgs(s.t, "endpoint", &endpoint)
	d.MaybeScanArgs(s.t, "phase", &phase)
	d.MaybeScanArgs(s.t, "running", &running)
	d.MaybeScanArgs(s.t, "incarnation", &incarnation)
	d.MaybeScanArgs(s.t, "repeat", &repeat)
	report := core.Report{
		Endpoint: core.EndpointName(endpoint), Incarnation: core.Incarnation(incarnation), Running: running,
		Phase: core.PhaseWarm, Leaving: d.HasArg("leaving"), FreeTokens: 100000, TotalTokens: 100000,
	}
	if phase == "cold" {
		report.Phase = core.PhaseCold
	}
	for i := range repeat {
		if i > 0 {
			s.now = s.now.Add(time.Second)
		}
		report.AskedAt = s.now
		s.show(s.decider.Observe(s.now, report))
	}
}

func (s *script) submit(d *datadriven.TestData) {
	count, workspace := 1, "w"
	d.MaybeScanArgs(s.t, "count", &count)
	d.MaybeScanArgs(s.t, "workspace", &workspace)
	for range count {
		s.requests++
		request := newRequest(int(s.requests), s.now)
		request.Workspace = core.WorkspaceName(workspace)
		request.Repeatable = !d.HasArg("once")
		if d.HasArg("short") {
			request.MaxTokens = 10
		}
		s.show(s.decider.Submit(s.now, request))
	}
}

func (s *script) finish(d *datadriven.TestData) {
	results := map[string]core.Result{
		"completed": core.ResultCompleted, "dialfailed": core.ResultDialFailed, "refused": core.ResultRefused,
		"lost": core.ResultLost, "cut": core.ResultCut, "cancelled": core.ResultCancelled,
	}
	var result string
	count := 1
	d.ScanArgs(s.t, "result", &result)
	d.MaybeScanArgs(s.t, "count", &count)
	for i := range count {
		placement := s.placed[s.request(d)+core.RequestID(i)]
		s.show(s.decider.Finish(s.now, placement, results[result], 100))
	}
}

func (s *script) revise(d *datadriven.TestData) {
	s.config = s.config.WithRevision(s.config.Revision+1).WithInService("a", !d.HasArg("out"))
	endpoints := append([]core.Endpoint{}, s.config.Endpoints...)
	for i := range endpoints {
		endpoints[i].Leaving = d.HasArg("leaving")
	}
	s.config = s.config.WithEndpoints(endpoints)
	s.show(s.decider.Apply(s.now, s.config))
}

func (s *script) acknowledge(d *datadriven.TestData) {
	var host string
	incarnation := 1
	d.ScanArgs(s.t, "host", &host)
	d.MaybeScanArgs(s.t, "incarnation", &incarnation)
	id := core.HostID{Host: core.HostName(host), Incarnation: core.Incarnation(incarnation)}
	s.show(s.decider.Acknowledged(s.now, id, s.config.Revision))
}

// show prints the actions of a decision.
func (s *script) show(actions core.Actions) {
	for _, p := range actions.Placements {
		s.placed[p.Request] = p
		fmt.Fprintf(&s.out, "place %d on %s try %d\n", p.Request, p.Endpoint, p.Try)
	}
	for _, r := range actions.Refusals {
		again := "never"
		if !r.Err.RetryAt.IsZero() {
			again = r.Err.RetryAt.Sub(s.now).String()
		}
		fmt.Fprintf(&s.out, "refuse %d %s %s, again after %s\n", r.Request, r.Err.Outcome, r.Err.Cause, again)
	}
	for _, b := range actions.SlotRequests {
		fmt.Fprintf(&s.out, "ask %s for %s\n", b.Owner, b.Endpoint)
	}
}
