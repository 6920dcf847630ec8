package runs

import (
	"context"
	"fmt"
	"time"

	"apricotproxy/core"
)

// resume opens a new connection that starts at the next token, with retries
// until the deadline. cause is the error that ended the previous connection.
func (g *run) resume(until time.Time, cause error) (core.EngineStream, error) {
	ctx, cancel := context.WithDeadline(g.runCtx, until)
	defer cancel()
	for wait := _minBackoff; ; wait = min(2*wait, _maxBackoff) {
		if !sleep(ctx, wait) {
			break
		}
		// ctx ends the attempt, but not the stream: the stream lasts until it is
		// closed or g.runCtx ends.
		streamCtx, cancelStream := context.WithCancel(g.runCtx)
		stop := context.AfterFunc(ctx, cancelStream)
		stream, err := g.runner.config.Client.Resume(streamCtx, g.endpoint, g.generation, g.relay.Next())
		if err == nil {
			if !stop() {
				_ = stream.Close()
				cancelStream()
				break
			}
			_resumed.Add(1)
			g.runner.logger.V(1).Info("A generation was resumed.", "Endpoint", g.endpoint.Name, "Index", g.relay.Next())
			return &cancelableStream{EngineStream: stream, cancelCtx: cancelStream}, nil
		}
		cancelStream()
		cause = err
		if provesNotHeld(err) {
			return nil, fmt.Errorf("the engine does not hold the generation any more: %w", err)
		}
	}
	if g.runCtx.Err() != nil {
		return nil, context.Cause(g.runCtx)
	}
	return nil, fmt.Errorf("the generation could not be resumed before its deadline: %w", cause)
}

// provesNotHeld reports whether an engine's answer to a resumption or a
// cancellation proves that it does not hold the generation. A refusal by a busy
// engine does not: the generation continues.
func provesNotHeld(err error) bool {
	failed, result := tryFailure(err)
	if result != core.ResultRefused {
		return false
	}
	_, final := endpointRefusal(failed)
	return final
}

// cancelableStream cancels its context when it is closed.
type cancelableStream struct {
	core.EngineStream
	cancelCtx context.CancelFunc
}

// Close closes the stream.
func (s *cancelableStream) Close() error {
	defer s.cancelCtx()
	return s.EngineStream.Close()
}

// bufferedStream is a stream that knows whether its next token has already been
// read from the connection, and that reports pings.
type bufferedStream interface {
	Buffered() bool
	OnPing(func())
}

// asBufferedStream returns nil if the stream is not a bufferedStream.
func asBufferedStream(stream core.EngineStream) bufferedStream {
	if cancelable, ok := stream.(*cancelableStream); ok {
		stream = cancelable.EngineStream
	}
	b, _ := stream.(bufferedStream)
	return b
}
