package entry

import (
	"context"
	"errors"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/origin"
)

const (
	// _historyLength is how much of the store's history is read: longer than most streams last,
	// and about what the platform's documentation says that the store keeps.
	_historyLength  = 20 * time.Second
	_historyTimeout = 500 * time.Millisecond
)

// readHistory returns which builds the store's history shows in service: its latest part of which
// the store still has all.
func (h *Host) readHistory(ctx context.Context) origin.Span {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _historyTimeout)
	defer cancel()
	position := h.docState.syncStatus()
	for revisions := h.historyRevisions(); revisions > 0; revisions /= 2 {
		after := position.AsOf - min(position.AsOf, revisions)
		documents, err := h.settings.Store.Watch(ctx, after, 0)
		if errors.Is(err, core.ErrHistoryLost) {
			continue
		}
		if err != nil || documents.Epoch != position.Epoch {
			h.log.Info("The store's history cannot be read.", "After", after, "Epoch", documents.Epoch, "Cause", errorText(err))
			return origin.Span{}
		}
		history := origin.History{Documents: documents.Documents, FromStart: after == 0, Interval: h.bounds.Load().EndpointInterval}
		span := origin.SpanOf(time.Now(), history, h.settings.Decode)
		h.log.Info("The store's history was read.", "After", after, "Documents", len(documents.Documents), "Builds", len(span.Builds), "Known", !span.Since.IsZero())
		return span
	}
	return origin.Span{}
}

// historyRevisions returns about how many revisions endpoints' heartbeats make in _historyLength.
func (h *Host) historyRevisions() uint64 {
	view, interval := h.docState.View(), h.bounds.Load().EndpointInterval
	if view == nil || interval <= 0 {
		return 0
	}
	return uint64(len(view.Endpoints)+1) * uint64(_historyLength/interval+1)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
