package front

import (
	"context"
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/place"
)

// Desk gives the requests' goroutines access to one placer. It is safe for
// concurrent use.
type Desk struct {
	mu     sync.Mutex
	placer *place.Placer
	// changed is closed when endpoints come, leave or go.
	changed chan struct{}
	// turn fires at the next turn of a request that waits, due at turnAt.
	turn   *time.Timer
	turnAt time.Time
}

// NewDesk wraps a placer.
func NewDesk(placer *place.Placer) *Desk {
	return &Desk{placer: placer, changed: make(chan struct{})}
}

// Update calls f with the placer and grants what has room afterwards.
func (d *Desk) Update(f func(*place.Placer)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.placer)
	d.release()
}

// Look calls f with the placer; f changes nothing that waiting requests hang on.
func (d *Desk) Look(f func(*place.Placer)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.placer)
}

// release grants what has room, now and when the next turn comes. The caller holds
// the lock.
func (d *Desk) release() {
	d.placer.GrantWaiting(time.Now())
	next := d.placer.NextTurn()
	if next.IsZero() || next.Equal(d.turnAt) {
		return
	}
	d.turnAt = next
	if d.turn != nil {
		d.turn.Stop()
	}
	d.turn = time.AfterFunc(time.Until(next), func() { d.Update(func(*place.Placer) {}) })
}

// Apply takes in a view.
func (d *Desk) Apply(view *know.View) {
	d.Update(func(p *place.Placer) {
		p.Apply(view)
		close(d.changed)
		d.changed = make(chan struct{})
	})
}

// Leave takes in that endpoints said themselves that they are leaving. It tells
// whether that is news.
func (d *Desk) Leave(ids ...string) bool {
	news := false
	d.Update(func(p *place.Placer) {
		for _, id := range ids {
			news = p.MarkLeaving(id) || news
		}
		if news {
			close(d.changed)
			d.changed = make(chan struct{})
		}
	})
	return news
}

// changes gives a channel that is closed when endpoints come, leave or go.
func (d *Desk) changes() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// leaving tells whether a run's endpoint is leaving or gone.
func (d *Desk) leaving(run *place.Run) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.EndpointLeaving(run)
}

// place gives a run, waiting for room until a deadline. The verdict is Placed,
// or why there is none.
func (d *Desk) place(ctx context.Context, want *place.Spec, until time.Time) (*place.Run, place.Verdict) {
	now := time.Now()
	d.mu.Lock()
	run, verdict := d.placer.Place(now, want)
	if verdict == place.Placed || !now.Before(until) {
		d.mu.Unlock()
		return run, verdict
	}
	granted := make(chan *place.Run, 1)
	waiter := &place.Waiter{Spec: want, Granted: func(run *place.Run) { granted <- run }}
	d.placer.Enqueue(waiter)
	d.mu.Unlock()
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case run := <-granted:
		return run, place.Placed
	case <-timer.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	withdrawn := d.placer.Withdraw(waiter)
	d.mu.Unlock()
	if withdrawn {
		return nil, verdict
	}
	return <-granted, place.Placed
}

func (d *Desk) copyFor(want *place.Spec) *place.Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.PlaceBackup(time.Now(), want)
}

func (d *Desk) refugeFor(want *place.Spec) *place.Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.PlaceMigration(time.Now(), want)
}

func (d *Desk) usable(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Usable(time.Now(), id)
}

func (d *Desk) take(id string, request *core.RoutedRequest) (*place.Run, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.PlaceOn(time.Now(), id, request)
}

func (d *Desk) first(service core.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.CountRequest(time.Now(), service)
}

func (d *Desk) again(service core.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.AllowRetry(time.Now(), service)
}

func (d *Desk) read(run *place.Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.RecordPrefillDone(run)
	d.release()
}

// end ends a run and takes in how it went; an outcome of 0 says nothing of the
// endpoint.
func (d *Desk) end(run *place.Run, outcome place.Outcome) {
	if run == nil {
		return
	}
	d.Update(func(p *place.Placer) {
		if outcome != 0 {
			p.RecordOutcome(time.Now(), run, outcome)
		}
		p.End(run)
	})
}

func (d *Desk) produced(request *core.RoutedRequest, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.RecordOutputLength(request, tokens)
}
