package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core/invar"
	"apricotproxy/core/procs/know"
)

// facts shares one know.State. It is safe for concurrent use; View takes no lock.
type facts struct {
	mu      sync.Mutex
	state   *know.State
	view    atomic.Pointer[know.View]
	log     logr.Logger
	changed func(*know.View)
}

func newFacts(state *know.State, log logr.Logger, changed func(*know.View)) *facts {
	return &facts{state: state, log: log.WithName("facts"), changed: changed}
}

// View gives what is known; nil before anything is.
func (f *facts) View() *know.View { return f.view.Load() }

// update calls a method that takes documents in and spreads what changed. It
// reports whether anything but heartbeats changed.
func (f *facts) update(source string, take func(*know.State) (bool, error)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed, err := take(f.state)
	if err != nil {
		f.log.Error(err, "A document cannot be read and was left out.", "Source", source)
	}
	if !changed {
		return false
	}
	view := f.state.View()
	before := f.view.Swap(view)
	invar.Check(invar.RevisionNeverLower, version(view) >= version(before), "version %d in force after %d", version(view), version(before))
	level := f.state.SyncStatus()
	joined, leaving, gone := know.Compare(before, view)
	f.log.Info("Knowledge changed.", "Source", source, "AsOf", level.AsOf, "Version", version(view), "Endpoints", len(view.Endpoints),
		"Out", len(view.OutOfService), "Joined", joined, "Leaving", leaving, "Gone", gone)
	f.changed(view)
	return true
}

// with calls f under the lock.
func (f *facts) with(call func(*know.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	call(f.state)
}

func (f *facts) level() know.SyncStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.SyncStatus()
}

// expire drops endpoints whose documents lapsed for too long.
func (f *facts) expire(now time.Time) {
	f.update("time", func(s *know.State) (bool, error) { return s.Expire(now), nil })
}

func version(view *know.View) uint64 {
	if view == nil || view.Table == nil {
		return 0
	}
	return view.Table.Version()
}
