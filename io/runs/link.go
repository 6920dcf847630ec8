package runs

import (
	"context"
	"fmt"
	"time"

	"apricotproxy/core"
)

// resume opens a fresh connection at the next token, with retries until the
// deadline. cause is why the connection before it ended.
func (g *run) resume(until time.Time, cause error) (core.EngineStream, error) {
	ctx, cancel := context.WithDeadline(g.life, until)
	defer cancel()
	for wait := _firstPause; ; wait = min(2*wait, _longestPause) {
		if !pause(ctx, wait) {
			break
		}
		// The stream outlives ctx: it is bound to the generation's life.
		opening, opened := context.WithCancel(g.life)
		stop := context.AfterFunc(ctx, opened)
		stream, err := g.runner.config.Client.Resume(opening, g.endpoint, g.generation, g.relay.Next())
		if err == nil {
			if !stop() {
				_ = stream.Close()
				opened()
				break
			}
			_resumed.Add(1)
			g.runner.logger.V(1).Info("A generation was resumed.", "Endpoint", g.endpoint.Name, "Index", g.relay.Next())
			return &boundStream{EngineStream: stream, release: opened}, nil
		}
		opened()
		cause = err
		if holdsNoMore(err) {
			return nil, fmt.Errorf("the engine does not hold the generation any more: %w", err)
		}
	}
	if g.life.Err() != nil {
		return nil, context.Cause(g.life)
	}
	return nil, fmt.Errorf("the generation could not be resumed before its deadline: %w", cause)
}

// holdsNoMore tells whether an engine's answer to a resumption or a cancel proves
// that it does not hold the generation. A busy engine's refusal does not: the
// generation goes on.
func holdsNoMore(err error) bool {
	failed, result := resultOf(err)
	if result != core.ResultRefused {
		return false
	}
	_, final := endpointRefusal(failed)
	return final
}

// boundStream releases its context when it is closed.
type boundStream struct {
	core.EngineStream
	release context.CancelFunc
}

// Close closes the stream.
func (s *boundStream) Close() error {
	defer s.release()
	return s.EngineStream.Close()
}

// batched is a stream that knows whether its next token has been read already.
type batched interface {
	Buffered() bool
	OnPing(func())
}

func batchedOf(stream core.EngineStream) batched {
	if bound, ok := stream.(*boundStream); ok {
		stream = bound.EngineStream
	}
	b, _ := stream.(batched)
	return b
}
