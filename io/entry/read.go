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
	// _policyWatch is how long a watch of the policy waits. It changes seldom,
	// and other hosts tell of a change too.
	_policyWatch = 10 * time.Second
	// _endpointsWatch is how long a watch of the endpoints waits, and
	// _endpointsPace how long after one the next begins: heartbeats would end
	// each watch at once.
	_endpointsWatch = time.Second
	_endpointsPace  = 300 * time.Millisecond
	// _endpointsAge is how old a host's knowledge may get by what others tell it
	// before it reads for itself.
	_endpointsAge = time.Second
	// A failed call is made again after a pause.
	_pauseFirst  = 100 * time.Millisecond
	_pauseAtMost = 800 * time.Millisecond
)

// reader follows one group of documents at the store.
type reader struct {
	host   *Host
	group  core.DocumentGroup
	listed bool
	wait   time.Duration
	pause  time.Duration
}

func (h *Host) readPolicy(ctx context.Context) {
	r := &reader{host: h, group: core.GroupPolicy, wait: _policyWatch}
	for ctx.Err() == nil {
		r.read(ctx)
	}
}

func (h *Host) readEndpoints(ctx context.Context) {
	r := &reader{host: h, group: core.GroupEndpoints, wait: _endpointsWatch}
	for ctx.Err() == nil {
		now := time.Now()
		level := h.facts.level(core.GroupEndpoints)
		if level.AsOf == 0 || now.Sub(level.FreshAt) > _endpointsAge || h.peers.reader(now) {
			r.read(ctx)
		}
		sleep(ctx, _endpointsPace)
	}
}

// read makes one call and takes in what it brings.
func (r *reader) read(ctx context.Context) {
	err := r.call(ctx)
	switch {
	case err == nil:
		r.pause = 0
		r.host.peers.setReads(true)
		return
	case errors.Is(err, core.ErrHistoryLost):
		r.listed = false
		r.host.log.Info("The store has lost its history; listing.", "Group", r.group.String())
		return
	case ctx.Err() != nil:
		return
	}
	if r.pause == 0 {
		r.host.log.Info("The store cannot be read.", "Group", r.group.String(), "Cause", err.Error())
	}
	r.host.peers.setReads(false)
	bounds := r.host.settings.Bounds
	r.host.facts.with(func(s *know.State) {
		s.Trouble(time.Now().Add(_lapseBeats*bounds.EndpointInterval + _lapseGrace))
	})
	r.pause = min(max(2*r.pause, _pauseFirst), _pauseAtMost)
	sleep(ctx, r.pause/2+rand.N(r.pause))
}

func (r *reader) call(ctx context.Context) error {
	h := r.host
	asked := time.Now()
	if !r.listed {
		documents, err := h.settings.Store.List(ctx, r.group)
		if err != nil {
			return err
		}
		r.listed = true
		h.facts.update("store", r.group, func(s *know.State) (bool, error) {
			return s.Replace(time.Now(), r.group, documents, asked)
		})
		return nil
	}
	documents, err := h.settings.Store.Watch(ctx, r.group, h.facts.level(r.group).AsOf, r.wait)
	if err != nil {
		return err
	}
	h.facts.update("store", r.group, func(s *know.State) (bool, error) {
		return s.Update(time.Now(), r.group, documents, asked)
	})
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
