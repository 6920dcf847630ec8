package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"apricotproxy/core/conn/idle"
	"apricotproxy/core/invar"
	"apricotproxy/io/runs"
)

// output carries the bytes of a stream to the caller.
type output interface {
	// start sends the status and the headers.
	start(generation string) error
	// send sends one chunk; its first _chunkHead bytes are the output's own.
	send(chunk []byte) error
	// end tells that the stream is over.
	end()
}

// _chunkHead is the room for the length of a chunk of HTTP/1.1: eight digits in
// hexadecimal and the end of the line.
const _chunkHead = 8 + 2

// stream runs a request whose answer is a stream, on a goroutine of its own.
//
// An HTTP/1.1 connection is taken over from the server with the first event, and
// the server's goroutine ends: an idle stream then costs neither the server's two
// goroutines nor its buffers, which are half of its memory otherwise. The price is
// that the connection serves no further request, and that a caller that leaves is
// found by the next write; engines send a comment at least every second.
func (h *Handler) stream(w http.ResponseWriter, r *http.Request, sink *eventSink, run func(ctx context.Context, sink runs.Sink) error) {
	ctx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(r.Context(), cancel)
	defer stop()
	taken := make(chan struct{})
	sink.output = &takenOutput{
		control: http.NewResponseController(w),
		plain:   &responseOutput{writer: w, control: http.NewResponseController(w), bound: bound{limit: h.writeTimeout()}},
		http11:  r.ProtoMajor == 1 && r.ProtoMinor == 1,
		taken:   taken,
		bound:   bound{limit: h.writeTimeout()},
	}
	done := make(chan struct{})
	release := h.config.Runner.Hold()
	go func() {
		defer release()
		defer cancel()
		defer close(done)
		defer h.logPanic()
		if err := run(ctx, sink); err != nil {
			sink.fail(err)
		}
		sink.output.end()
	}()
	select {
	case <-taken:
	case <-done:
	}
}

// logPanic keeps a fault in one stream from ending the process, as the server does
// for its own goroutines. A broken promise is fatal where its handler says so.
func (h *Handler) logPanic() {
	reason := recover()
	if reason == nil {
		return
	}
	if violation, ok := reason.(*invar.Violation); ok {
		panic(violation)
	}
	h.logger.Error(errPanic, "A stream failed.", "Cause", fmt.Sprint(reason))
}

var errPanic = errors.New("panic")

// responseOutput writes through the server.
type responseOutput struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	bound   bound
}

func (o *responseOutput) start(generation string) error {
	header := o.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Generation-Id", generation)
	o.writer.WriteHeader(http.StatusOK)
	return nil
}

func (o *responseOutput) send(chunk []byte) error {
	if err := o.bound.renew(o.control.SetWriteDeadline); err != nil {
		return err
	}
	if _, err := o.writer.Write(chunk[_chunkHead:]); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	if err := o.control.Flush(); err != nil {
		return fmt.Errorf("flush to the caller: %w", err)
	}
	return nil
}

func (o *responseOutput) end() {}

// takenOutput writes on the connection itself, taken over from the server at the
// start. Where that cannot be, it writes through the server.
type takenOutput struct {
	control *http.ResponseController
	plain   *responseOutput
	http11  bool
	taken   chan struct{}
	conn    net.Conn
	bound   bound
}

func (o *takenOutput) start(generation string) error {
	if !o.http11 {
		return o.plain.start(generation)
	}
	conn, _, err := o.control.Hijack()
	if errors.Is(err, http.ErrNotSupported) {
		return o.plain.start(generation)
	}
	if err != nil {
		return fmt.Errorf("take the connection over: %w", err)
	}
	o.conn = conn
	// Nothing of the server is held any more, so that it can be freed.
	o.control, o.plain = nil, nil
	close(o.taken)
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("clear the server's deadlines: %w", err)
	}
	if err := watch(conn, o.bound.limit); err != nil {
		return err
	}
	return o.write([]byte("HTTP/1.1 200 OK\r\n" +
		"Content-Type: text/event-stream\r\n" +
		"Cache-Control: no-store\r\n" +
		"Generation-Id: " + generation + "\r\n" +
		"Transfer-Encoding: chunked\r\n" +
		"Connection: close\r\n\r\n"))
}

// send frames the chunk in place, so that it leaves in one write.
//
//	"..........data: a\n\n" becomes "00000009\r\ndata: a\n\n\r\n"
func (o *takenOutput) send(chunk []byte) error {
	if o.conn == nil {
		return o.plain.send(chunk)
	}
	digits := strconv.AppendInt(nil, int64(len(chunk)-_chunkHead), 16)
	copy(chunk, "00000000\r\n")
	copy(chunk[_chunkHead-2-len(digits):], digits)
	return o.write(append(chunk, "\r\n"...))
}

func (o *takenOutput) write(data []byte) error {
	if err := o.bound.renew(o.conn.SetWriteDeadline); err != nil {
		return err
	}
	if _, err := o.conn.Write(data); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	return nil
}

func (o *takenOutput) end() {
	if o.conn == nil {
		return
	}
	// The last chunk tells the caller's HTTP client that nothing was cut off. A
	// failure of either step concerns a caller that is gone.
	_ = o.write([]byte("0\r\n\r\n"))
	_ = o.conn.Close()
}

// bound keeps the write deadline of a connection ahead of its writes.
type bound struct {
	// limit is the setting at the start of the answer.
	limit time.Duration
	beat  idle.Timeout
}

// renew sets the write deadline when the present one has come too near.
func (b *bound) renew(set func(time.Time) error) error {
	b.beat = b.beat.WithActivity(time.Now(), b.limit)
	if !b.beat.NeedsArming(b.limit) {
		return nil
	}
	b.beat = b.beat.WithArmed()
	if err := set(b.beat.Deadline()); err != nil {
		return fmt.Errorf("set the write deadline: %w", err)
	}
	return nil
}
