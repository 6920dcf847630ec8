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
	// The two shares are relative to LeavingSpread, the time within which a host must
	// learn that an endpoint is leaving.
	//
	// _watchWaitShare limits how long a watch waits. The wait must be short, since the
	// store may not report a change to a watch, and since nothing confirms meanwhile that
	// the documents are up to date: other hosts must not take them for outdated.
	_watchWaitShare = 0.15
	// _watchPause is the pause between watches. Without it they would follow each other
	// at once, since the heartbeats of endpoints end each watch immediately.
	_watchPause = 300 * time.Millisecond
	// _maxAgeShare limits the age of a host's documents. A host that is not a reader
	// reads the store itself when the documents from other hosts are older.
	_maxAgeShare = 0.6
	// Backoff between calls that fail.
	_minBackoff = 100 * time.Millisecond
	_maxBackoff = 800 * time.Millisecond
	// _maxNonReaderBackoff is the longest backoff of a host that is not a reader. While
	// the store is down, the few readers are enough to notice its return.
	_maxNonReaderBackoff = 3 * time.Second
)

// storeReader reads the documents from the store. listed is true once it has listed
// them all and only has to watch for changes.
type storeReader struct {
	host    *Host
	listed  bool
	backoff time.Duration
}

// readStore reads the store while this host is one of the readers, or while its
// documents are missing or too old.
func (h *Host) readStore(ctx context.Context) {
	r := &storeReader{host: h}
	for ctx.Err() == nil {
		now := time.Now()
		status := h.docState.syncStatus()
		isReader := h.peers.isReader(now)
		if status.AsOf == 0 || now.Sub(status.FreshAt) > h.maxAge() || isReader {
			r.read(ctx, isReader)
		}
		sleep(ctx, _watchPause)
	}
}

func (h *Host) maxAge() time.Duration { return h.shareOfLeavingSpread(_maxAgeShare) }

// shareOfLeavingSpread returns a share of the time within which a host must learn that
// an endpoint is leaving.
func (h *Host) shareOfLeavingSpread(share float64) time.Duration {
	return time.Duration(share * float64(h.bounds.Load().LeavingSpread))
}

// read makes one call to the store and applies the answer. After a failure it waits
// for the backoff, which depends on whether this host is one of the readers.
func (r *storeReader) read(ctx context.Context, isReader bool) {
	err := r.call(ctx)
	switch {
	case err == nil:
		if r.backoff > 0 {
			r.host.log.Info("The store can be read again.")
		}
		r.backoff = 0
		r.host.peers.setCanReadStore(true)
		return
	case errors.Is(err, core.ErrHistoryLost):
		r.listed = false
		r.host.log.Info("The store no longer has the history; listing all documents.")
		return
	case ctx.Err() != nil:
		return
	}
	if r.backoff == 0 {
		r.host.log.Info("The store cannot be read.", "Cause", err.Error())
	}
	r.host.peers.setCanReadStore(false)
	maxBackoff := _maxBackoff
	if !isReader {
		maxBackoff = _maxNonReaderBackoff
	}
	r.backoff = min(max(2*r.backoff, _minBackoff), maxBackoff)
	sleep(ctx, r.backoff/2+rand.N(r.backoff))
}

func (r *storeReader) call(ctx context.Context) error {
	h := r.host
	requestedAt := time.Now()
	if !r.listed {
		documents, err := h.settings.Store.List(ctx)
		if err != nil {
			return err
		}
		r.listed = true
		if known := h.docState.syncStatus(); known.AsOf > 0 && (documents.Epoch != known.Epoch || documents.AsOf < known.AsOf) {
			h.log.Info("The store is in another epoch or at a lower revision than before.", "Epoch", documents.Epoch, "Revision", documents.AsOf,
				"KnownEpoch", known.Epoch, "KnownRevision", known.AsOf)
		}
		r.applyAndNotify(func(s *know.State) (bool, error) { return s.Replace(time.Now(), documents, requestedAt) })
		return nil
	}
	after := h.docState.syncStatus()
	documents, err := h.settings.Store.Watch(ctx, after.AsOf, h.shareOfLeavingSpread(_watchWaitShare))
	if err != nil {
		return err
	}
	if documents.Epoch != after.Epoch {
		return core.ErrHistoryLost // the revision belongs to another epoch
	}
	r.applyAndNotify(func(s *know.State) (bool, error) { return s.Update(time.Now(), documents, requestedAt) })
	return nil
}

// applyAndNotify applies documents and, if anything changed, sends a heartbeat at once,
// so that other hosts learn of it.
func (r *storeReader) applyAndNotify(apply func(*know.State) (bool, error)) {
	if r.host.docState.update("store", apply) {
		r.host.peers.scheduleHeartbeat()
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
