package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
)

const (
	// _watchShare is how long a watch waits, as a share of the time within which a
	// host has to know that an endpoint is leaving: a watch may be told nothing of
	// it, and other hosts must not take the silence for age.
	_watchShare = 0.15
	// _watchPace is how long after a watch the next begins: heartbeats of
	// endpoints would end each watch at once.
	_watchPace = 300 * time.Millisecond
	// _ageShare is how old a host's knowledge may get by what others tell it before
	// it reads for itself, as a share of the time within which it has to know that
	// an endpoint is leaving.
	_ageShare = 0.6
	// A failed call is made again after a pause.
	_pauseFirst  = 100 * time.Millisecond
	_pauseAtMost = 800 * time.Millisecond
	// _pauseOthers is the same for a host for which others read: while the store is
	// down, a few hosts are enough to notice its return.
	_pauseOthers = 3 * time.Second
)

// reader follows the documents at the store.
type reader struct {
	host   *Host
	listed bool
	pause  time.Duration
}

// readStore reads the store while this host is one of those that read it for all,
// or while what it knows grows old.
func (h *Host) readStore(ctx context.Context) {
	r := &reader{host: h}
	for ctx.Err() == nil {
		now := time.Now()
		level := h.facts.level()
		reader := h.peers.reader(now)
		if level.AsOf == 0 || now.Sub(level.FreshAt) > h.ageAtMost() || reader {
			r.read(ctx, reader)
		}
		sleep(ctx, _watchPace)
	}
}

func (h *Host) ageAtMost() time.Duration { return h.ofSpread(_ageShare) }

// ofSpread gives a share of the time within which a host has to know that an
// endpoint is leaving.
func (h *Host) ofSpread(share float64) time.Duration {
	return time.Duration(share * float64(h.settings.Bounds.LeavingSpread))
}

// read makes one call and takes in what it brings. first tells whether this host is
// one of those that read for all.
func (r *reader) read(ctx context.Context, first bool) {
	err := r.call(ctx)
	switch {
	case err == nil:
		r.pause = 0
		r.host.peers.setReads(true)
		return
	case errors.Is(err, core.ErrHistoryLost):
		r.listed = false
		r.host.log.Info("The store has lost its history; listing.")
		return
	case ctx.Err() != nil:
		return
	}
	if r.pause == 0 {
		r.host.log.Info("The store cannot be read.", "Cause", err.Error())
	}
	r.host.peers.setReads(false)
	longest := _pauseAtMost
	if !first {
		longest = _pauseOthers
	}
	r.pause = min(max(2*r.pause, _pauseFirst), longest)
	sleep(ctx, r.pause/2+rand.N(r.pause))
}

func (r *reader) call(ctx context.Context) error {
	h := r.host
	asked := time.Now()
	if !r.listed {
		documents, err := h.settings.Store.List(ctx)
		if err != nil {
			return err
		}
		r.listed = true
		r.take(func(s *know.State) (bool, error) { return s.Replace(time.Now(), documents, asked) })
		return nil
	}
	documents, err := h.settings.Store.Watch(ctx, h.facts.level().AsOf, h.ofSpread(_watchShare))
	if err != nil {
		return err
	}
	r.take(func(s *know.State) (bool, error) { return s.Update(time.Now(), documents, asked) })
	return nil
}

// take takes documents in and tells other hosts at once if anything changed.
func (r *reader) take(take func(*know.State) (bool, error)) {
	if r.host.facts.update("store", take) {
		r.host.peers.spread()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
