package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core/invar"
	"apricotproxy/core/procs/know"
)

// documentState guards a know.State. It is safe for concurrent use; View takes no lock.
type documentState struct {
	mu    sync.Mutex
	state *know.State
	view  atomic.Pointer[know.View]
	log   logr.Logger
	// onChange is called with each new view, under the lock.
	onChange func(*know.View)
}

func newDocumentState(state *know.State, log logr.Logger, onChange func(*know.View)) *documentState {
	return &documentState{state: state, log: log.WithName("facts"), onChange: onChange}
}

// View returns the current view, or nil before any document is known.
func (d *documentState) View() *know.View { return d.view.Load() }

// update calls apply, which applies documents to the state, and publishes the new view
// if anything but heartbeats changed. It reports whether it did. source is logged as the
// origin of the change: the store, another host, or time for an expiry.
func (d *documentState) update(source string, apply func(*know.State) (bool, error)) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed, err := apply(d.state)
	if err != nil {
		d.log.Error(err, "A document cannot be decoded and is ignored.", "Source", source)
	}
	if !changed {
		return false
	}
	view := d.state.View()
	before := d.view.Swap(view)
	invar.Check(invar.RevisionNeverLower, view.Version() >= before.Version(), "version %d in force after %d", view.Version(), before.Version())
	status := d.state.SyncStatus()
	joined, leaving, gone := know.Compare(before, view)
	d.log.Info("The published documents changed.", "Source", source, "Epoch", status.Epoch, "AsOf", status.AsOf, "Version", view.Version(), "Endpoints", len(view.Endpoints),
		"Out", len(view.OutOfService), "Joined", joined, "Leaving", leaving, "Gone", gone)
	d.onChange(view)
	return true
}

// withState calls f under the lock.
func (d *documentState) withState(f func(*know.State)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.state)
}

func (d *documentState) syncStatus() know.SyncStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.SyncStatus()
}

// expire drops endpoints whose documents expired and were not renewed in time.
func (d *documentState) expire(now time.Time) {
	d.update("time", func(s *know.State) (bool, error) { return s.Expire(now), nil })
}
