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

// output sends a stream to the caller.
type output interface {
	// start sends the status and the headers.
	start(generation string) error
	// send sends one chunk. The first _chunkHeaderBytes bytes of the slice are reserved
	// for the output; the data follows them.
	send(chunk []byte) error
	// end ends the stream.
	end()
}

// _chunkHeaderBytes is the size of the header of an HTTP/1.1 chunk: its length in
// eight hexadecimal digits and a line end.
const _chunkHeaderBytes = 8 + 2

// serveStream runs a request whose answer is a stream, on a goroutine of its own.
//
// With the first event an HTTP/1.1 connection is hijacked from the server, whose
// goroutine then ends. An idle stream thus holds neither the server's two goroutines
// nor its buffers, which would be half of the stream's memory. The cost is that the
// connection serves no further request, and that only the next write detects that the
// caller has disconnected; engines send a comment at least every second.
func (h *Handler) serveStream(w http.ResponseWriter, r *http.Request, sink *eventSink, run func(ctx context.Context, sink runs.Sink) error) {
	ctx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(r.Context(), cancel)
	defer stop()
	hijacked := make(chan struct{})
	sink.output = &hijackedOutput{
		control:  http.NewResponseController(w),
		fallback: &serverOutput{writer: w, control: http.NewResponseController(w), deadline: writeDeadline{limit: h.writeTimeout()}},
		http11:   r.ProtoMajor == 1 && r.ProtoMinor == 1,
		hijacked: hijacked,
		deadline: writeDeadline{limit: h.writeTimeout()},
	}
	done := make(chan struct{})
	release := h.config.Runner.Track()
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
	case <-hijacked:
	case <-done:
	}
}

// logPanic recovers from a panic in one stream and logs it, so that the process does
// not end. The server does the same for its own goroutines. A *invar.Violation panics
// again: whether a violation ends the process is decided by the handler of package
// invar.
func (h *Handler) logPanic() {
	recovered := recover()
	if recovered == nil {
		return
	}
	if violation, ok := recovered.(*invar.Violation); ok {
		panic(violation)
	}
	h.logger.Error(errPanic, "A stream failed.", "Cause", fmt.Sprint(recovered))
}

var errPanic = errors.New("panic")

// serverOutput writes through the server's http.ResponseWriter.
type serverOutput struct {
	writer   http.ResponseWriter
	control  *http.ResponseController
	deadline writeDeadline
}

func (o *serverOutput) start(generation string) error {
	header := o.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Generation-Id", generation)
	o.writer.WriteHeader(http.StatusOK)
	return nil
}

func (o *serverOutput) send(chunk []byte) error {
	if err := o.deadline.extend(o.control.SetWriteDeadline); err != nil {
		return err
	}
	if _, err := o.writer.Write(chunk[_chunkHeaderBytes:]); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	if err := o.control.Flush(); err != nil {
		return fmt.Errorf("flush to the caller: %w", err)
	}
	return nil
}

func (o *serverOutput) end() {}

// hijackedOutput writes to the connection itself, which start hijacks from the
// server. It writes through the server if the caller does not use HTTP/1.1 or the
// server does not support hijacking.
type hijackedOutput struct {
	control  *http.ResponseController
	fallback *serverOutput
	http11   bool
	hijacked chan struct{} // closed once the connection is hijacked
	conn     net.Conn      // nil if the fallback is used
	failed   bool          // true once a write failed: the caller lacks a part of the answer
	deadline writeDeadline
}

func (o *hijackedOutput) start(generation string) error {
	if !o.http11 {
		return o.fallback.start(generation)
	}
	conn, _, err := o.control.Hijack()
	if errors.Is(err, http.ErrNotSupported) {
		return o.fallback.start(generation)
	}
	if err != nil {
		return fmt.Errorf("hijack the connection: %w", err)
	}
	o.conn = conn
	// Drop the references to the server's objects so that they can be freed.
	o.control, o.fallback = nil, nil
	close(o.hijacked)
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("clear the server's deadlines: %w", err)
	}
	if err := detectSilentCaller(conn, o.deadline.limit); err != nil {
		return err
	}
	return o.write([]byte("HTTP/1.1 200 OK\r\n" +
		"Content-Type: text/event-stream\r\n" +
		"Cache-Control: no-store\r\n" +
		"Generation-Id: " + generation + "\r\n" +
		"Transfer-Encoding: chunked\r\n" +
		"Connection: close\r\n\r\n"))
}

// send adds the chunk's header and line end in place, so that the chunk is sent with
// a single write.
//
//	"..........data: a\n\n" becomes "00000009\r\ndata: a\n\n\r\n"
func (o *hijackedOutput) send(chunk []byte) error {
	if o.conn == nil {
		return o.fallback.send(chunk)
	}
	digits := strconv.AppendInt(nil, int64(len(chunk)-_chunkHeaderBytes), 16)
	copy(chunk, "00000000\r\n")
	copy(chunk[_chunkHeaderBytes-2-len(digits):], digits)
	return o.write(append(chunk, "\r\n"...))
}

func (o *hijackedOutput) write(data []byte) error {
	if err := o.deadline.extend(o.conn.SetWriteDeadline); err != nil {
		o.failed = true
		return err
	}
	if _, err := o.conn.Write(data); err != nil {
		o.failed = true
		return fmt.Errorf("write to the caller: %w", err)
	}
	return nil
}

func (o *hijackedOutput) end() {
	if o.conn == nil {
		return
	}
	// The last chunk tells the caller's HTTP client that the answer is complete. If
	// either step fails, the caller has disconnected.
	if !o.failed {
		_ = o.write([]byte("0\r\n\r\n"))
	}
	_ = o.conn.Close()
}

// writeDeadline extends the write deadline of a connection as writes are made.
type writeDeadline struct {
	// limit is the write timeout that was in force when the answer began.
	limit   time.Duration
	timeout idle.Timeout
}

// extend sets the write deadline if the one that was set is too early.
func (d *writeDeadline) extend(set func(time.Time) error) error {
	d.timeout = d.timeout.WithActivity(time.Now(), d.limit)
	if !d.timeout.NeedsArming(d.limit) {
		return nil
	}
	d.timeout = d.timeout.WithArmed()
	if err := set(d.timeout.Deadline()); err != nil {
		return fmt.Errorf("set the write deadline: %w", err)
	}
	return nil
}
