package shell

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/testr"

	"apricotproxy/core"
	"apricotproxy/core/procs/decide"
	"apricotproxy/core/procs/route"
)

// newCoreShell returns a shell with the real decision core and two endpoints of
// one slot each, which are idle according to their latest reports.
func newCoreShell(t *testing.T) *Shell {
	t.Helper()
	self := core.HostID{Host: "entry-1", Incarnation: 1}
	s := New(Settings{
		Self: self,
		Decider: decide.New(self, decide.Options{
			Policy: route.NewProduct(nil), Random: rand.New(rand.NewPCG(1, 1)),
		}),
		Logger: testr.New(t),
	})
	s.Apply(core.Config{
		Site: "test", Revision: 1,
		Hosts:       []core.Host{{Name: "entry-1", DataCentre: "a"}},
		DataCentres: []core.DataCentre{{Name: "a", InService: true}},
		Endpoints: []core.Endpoint{
			{Name: "e", Service: "s", DataCentre: "a", ColdSlots: 1, WarmSlots: 1, MemoryTokens: 1000},
			{Name: "f", Service: "s", DataCentre: "a", ColdSlots: 1, WarmSlots: 1, MemoryTokens: 1000},
		},
		Services:   []core.Service{{Name: "s", Kind: core.ServiceEngine}},
		Workspaces: []core.Workspace{{Name: "w", Weight: 1}},
		Limits: core.Limits{
			QueueTimeout: 10 * time.Second, QueueLength: 100, LeaseTerm: 2 * time.Second, RetryShare: 0.1,
			ConfigSpread: 3 * time.Second, ReportInterval: time.Second, WarmProof: 3,
		},
	})
	time.Sleep(6 * time.Second)
	s.reportIdle()
	return s
}

func (s *Shell) reportIdle() {
	for _, endpoint := range []core.EndpointName{"e", "f"} {
		s.decide(func(now time.Time) core.Actions {
			return s.decider.Observe(now, core.Report{Endpoint: endpoint, Incarnation: 1, Phase: core.PhaseCold, AskedAt: now})
		})
	}
}

func newRequest(id core.RequestID, repeatable bool) core.Request {
	now := time.Now()
	return core.Request{
		ID: id, Workspace: "w", Service: "s", Repeatable: repeatable,
		Arrived: now, QueueDeadline: now.Add(10 * time.Second), Deadline: now.Add(30 * time.Second),
	}
}

// A request that Finish ends is not placed again: no goroutine waits for the
// placement, which would hold its slot forever.
func TestFinishPreventsAnotherPlacement(t *testing.T) {
	for name, end := range map[string]struct {
		result     core.Result
		repeatable bool
	}{
		"the endpoint refuses a completion as it is":                {result: core.ResultRefused, repeatable: true},
		"the endpoint refuses an order as it is":                    {result: core.ResultRefused},
		"a repeatable call is lost and its caller has disconnected": {result: core.ResultLost, repeatable: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCoreShell(t)
				first, err := s.Place(t.Context(), newRequest(1, end.repeatable))
				if err != nil || !s.Confirm(first) {
					t.Fatalf("Place = %v, %v; want a placement that is confirmed", first, err)
				}
				s.Finish(first, end.result, 0)
				for range 5 {
					time.Sleep(time.Second)
					s.reportIdle()
				}
				if status := s.Status(); status.Running != 0 || status.Waiting != 0 {
					t.Fatalf("%d running and %d waiting after the end; want none", status.Running, status.Waiting)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				for id := core.RequestID(2); id <= 3; id++ {
					if _, err := s.Place(ctx, newRequest(id, true)); err != nil {
						t.Fatalf("request %d is not placed on one of two free slots: %v", id, err)
					}
				}
			})
		})
	}
}

// A connection may call Confirm after its try was replaced. The call must not
// replace the channel on which a goroutine waits for the next placement.
func TestLateConfirmKeepsNextWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCoreShell(t)
		first, err := s.Place(t.Context(), newRequest(1, false))
		if err != nil {
			t.Fatal(err)
		}
		var second core.Placement
		replaced := make(chan error, 1)
		go func() {
			var err error
			second, err = s.Replace(t.Context(), first, core.ResultDialFailed)
			replaced <- err
		}()
		synctest.Wait()
		if s.Confirm(first) {
			t.Fatal("a placement that was replaced is confirmed")
		}
		for range 2 {
			time.Sleep(time.Second)
			s.reportIdle()
		}
		select {
		case err := <-replaced:
			if err != nil || second.Try == first.Try {
				t.Fatalf("Replace = %v, %v; want another try", second, err)
			}
		default:
			t.Fatal("Replace has not returned though the request was placed again")
		}
		s.Finish(second, core.ResultCompleted, 1)
		if left := len(s.waiting) + len(s.revoked); left != 0 {
			t.Fatalf("%d waits are left over; want none", left)
		}
	})
}
