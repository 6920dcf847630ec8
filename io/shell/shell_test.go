package shell

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/testr"

	"apricotproxy/core"
	"apricotproxy/io/wire"
)

// scriptedDecider returns the actions that a test sets, and records the calls.
type scriptedDecider struct {
	core.Decider
	next      core.Actions
	confirm   bool
	waiting   bool
	finished  []core.Result
	borrowed  []core.Lease
	lend      core.Lease
	withdrawn int
}

func (d *scriptedDecider) nextActions() core.Actions {
	next := d.next
	d.next = core.Actions{}
	return next
}

func (d *scriptedDecider) Submit(time.Time, core.Request) core.Actions { return d.nextActions() }
func (d *scriptedDecider) Tick(time.Time) core.Actions                 { return d.nextActions() }
func (d *scriptedDecider) Confirm(time.Time, core.Placement) bool      { return d.confirm }
func (d *scriptedDecider) Drain(time.Time) core.Actions                { return d.nextActions() }
func (d *scriptedDecider) Progress(time.Time, core.RequestID, int)     {}
func (d *scriptedDecider) Returned(time.Time, core.Lease) core.Actions { return d.nextActions() }
func (d *scriptedDecider) Apply(time.Time, core.Config) core.Actions   { return d.nextActions() }
func (d *scriptedDecider) Observe(time.Time, core.Report) core.Actions { return d.nextActions() }
func (d *scriptedDecider) ObserveCache(time.Time, []core.CacheEvent)   {}
func (d *scriptedDecider) Status(time.Time) core.DeciderStatus         { return core.DeciderStatus{} }
func (d *scriptedDecider) Snapshot(time.Time) ([]byte, error)          { return nil, nil }
func (d *scriptedDecider) Restore(time.Time, []byte) error             { return nil }
func (d *scriptedDecider) Withdraw(time.Time, core.RequestID) (was bool) {
	d.withdrawn++
	return d.waiting
}

func (d *scriptedDecider) RoutesTo(endpoint core.EndpointName) bool {
	return endpoint == "routed"
}

func (d *scriptedDecider) Finish(_ time.Time, _ core.Placement, result core.Result, _ int) core.Actions {
	d.finished = append(d.finished, result)
	return d.nextActions()
}

func (d *scriptedDecider) Borrowed(_ time.Time, _ core.SlotRequest, lease core.Lease, granted bool) core.Actions {
	if granted {
		d.borrowed = append(d.borrowed, lease)
	}
	return d.nextActions()
}

func (d *scriptedDecider) Lend(time.Time, core.HostID, core.EndpointName, core.Revision) (core.Lease, bool) {
	return d.lend, true
}

func newTestShell(t *testing.T, decider core.Decider, peer wire.Peer) *Shell {
	return New(Settings{
		Self:    core.HostID{Host: "entry-1", Incarnation: 7},
		Decider: decider,
		Peer:    func(core.HostName) wire.Peer { return peer },
		Logger:  testr.New(t),
	})
}

func TestPlaceWithdrawsWhenCallerDisconnects(t *testing.T) {
	decider := &scriptedDecider{waiting: true}
	s := newTestShell(t, decider, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := s.Place(ctx, core.Request{ID: 1})
	var outcome *core.OutcomeError
	if !errors.As(err, &outcome) || outcome.Outcome != core.OutcomeNotRun {
		t.Fatalf("Place = %v, want NotRun", err)
	}
	if decider.withdrawn != 1 || len(s.waiting) != 0 {
		t.Fatalf("withdrawn %d times, %d still waiting; want 1 and 0", decider.withdrawn, len(s.waiting))
	}
}

// A placement that arrives at the moment the caller disconnects must free its
// slot: it will never be dispatched.
func TestPlacementForDisconnectedCallerIsFinished(t *testing.T) {
	decider := &scriptedDecider{}
	s := newTestShell(t, decider, nil)
	wait := s.addWaiter(1)
	s.answer(1, placeResult{placement: core.Placement{Request: 1}})
	if _, err := s.cancelWait(1, wait); err == nil {
		t.Fatal("cancelWait returned a placement")
	}
	if len(decider.finished) != 1 || decider.finished[0] != core.ResultCancelled {
		t.Fatalf("finished %v, want one ResultCancelled", decider.finished)
	}
}

// The core may place a request whose placement was revoked before its goroutine
// calls Replace.
func TestReplaceReturnsEarlierPlacement(t *testing.T) {
	decider := &scriptedDecider{}
	s := newTestShell(t, decider, nil)
	first := core.Placement{Request: 1, Endpoint: "draft-1", Try: 1}
	if s.Confirm(first) {
		t.Fatal("Confirm = true, want the placement revoked")
	}
	second := core.Placement{Request: 1, Endpoint: "draft-2", Try: 1}
	s.decide(func(time.Time) core.Actions { return core.Actions{Placements: []core.Placement{second}} })
	got, err := s.Replace(t.Context(), first, core.ResultDialFailed)
	if err != nil || got != second {
		t.Fatalf("Replace = %v, %v; want %v", got, err, second)
	}
	if len(decider.finished) != 0 {
		t.Fatalf("finished %v, want no Finish of a revoked placement", decider.finished)
	}
}

// slowPeer answers a request for a slot after a delay.
type slowPeer struct {
	wire.Peer
	delay time.Duration
	term  time.Duration
}

func (p slowPeer) Borrow(context.Context, *wire.BorrowRequest) (*wire.BorrowReply, error) {
	time.Sleep(p.delay)
	return &wire.BorrowReply{
		Granted:    true,
		Owner:      &wire.Host{Name: "entry-2", Incarnation: 3},
		TermMillis: uint64(p.term / time.Millisecond),
	}, nil
}

// The borrower counts the term from its request: for a request sent at 0 s and
// answered at 1 s with a term of 5 s, the deadline is at 5 s, a second before the
// owner's.
func TestLeaseTermCountsFromRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decider := &scriptedDecider{}
		s := newTestShell(t, decider, slowPeer{delay: time.Second, term: 5 * time.Second})
		askedAt := time.Now()
		s.borrow(t.Context(), core.SlotRequest{Owner: "entry-2", Endpoint: "draft-1", AskedAt: askedAt})
		if len(decider.borrowed) != 1 {
			t.Fatalf("%d leases, want 1", len(decider.borrowed))
		}
		if got, want := decider.borrowed[0].Deadline, askedAt.Add(5*time.Second); !got.Equal(want) {
			t.Fatalf("deadline %v, want %v", got, want)
		}
	})
}

func TestTickAtWakeAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decider := &scriptedDecider{}
		s := newTestShell(t, decider, nil)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx)
		decider.next = core.Actions{WakeAt: time.Now().Add(3 * time.Second)}
		done := make(chan error, 1)
		go func() {
			_, err := s.Place(ctx, core.Request{ID: 9})
			done <- err
		}()
		synctest.Wait()
		s.mu.Lock()
		decider.next = core.Actions{Refusals: []core.Refusal{{Request: 9, Err: core.NotRun(core.CauseDeadline, "waited too long", time.Time{})}}}
		s.mu.Unlock()
		begin := time.Now()
		if err := <-done; err == nil {
			t.Fatal("Place returned a placement, want the refusal")
		}
		if waited := time.Since(begin); waited != 3*time.Second {
			t.Fatalf("refused after %v, want 3s", waited)
		}
	})
}

// A host polls the endpoints that it sends requests or engine orders to, and no
// others: with 600 endpoints, polling the rest would cost more than all other
// control traffic.
func TestOnlyWatchedEndpointsArePolled(t *testing.T) {
	decider := &scriptedDecider{}
	s := newTestShell(t, decider, nil)
	s.settings.IsSteward = func(endpoint core.EndpointName) bool { return endpoint == "stewarded" }
	s.Apply(core.Config{Endpoints: []core.Endpoint{{Name: "routed"}, {Name: "elsewhere"}, {Name: "stewarded"}}})
	for name, want := range map[core.EndpointName]bool{"routed": true, "elsewhere": false, "stewarded": true} {
		if got := s.polls.find(name) != nil; got != want {
			t.Errorf("endpoint %s is polled: %t, want %t", name, got, want)
		}
	}
}
