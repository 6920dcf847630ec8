package links

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// _lastLook is how long bytes are awaited that should be there already when it is time to ask:
// this process may have stood still itself.
const _lastLook = 5 * time.Millisecond

// Silence decides what happens when an endpoint sends nothing for long. It is used only by the
// goroutine that sends the request and reads its answer.
type Silence struct {
	// AskAt is when Ask is called if the answer is read and nothing has come; zero for never.
	AskAt time.Time
	// Ask returns the error that reading fails with, or sets a later AskAt and returns nil.
	Ask func() error
}

// silentReader reads from a connection and asks when the endpoint is silent.
type silentReader struct {
	conn    net.Conn
	silence *Silence
	// deadline is the connection's read deadline.
	deadline time.Time
	// ended is true once the other end has closed or reset the connection.
	ended bool
	// lookedAt is the AskAt that has passed and after which bytes are read until lookUntil.
	lookedAt, lookUntil time.Time
}

// Read reads from the connection.
func (r *silentReader) Read(p []byte) (int, error) {
	for {
		if err := r.setDeadline(r.readUntil()); err != nil {
			return 0, err
		}
		n, err := r.conn.Read(p)
		r.ended = r.ended || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if askAt := r.askAt(); !r.lookedAt.Equal(askAt) {
			r.lookedAt, r.lookUntil = askAt, time.Now().Add(_lastLook)
			continue
		}
		if err := r.silence.Ask(); err != nil {
			return 0, err
		}
	}
}

func (r *silentReader) readUntil() time.Time {
	if askAt := r.askAt(); !r.lookedAt.Equal(askAt) {
		return askAt
	}
	return r.lookUntil
}

func (r *silentReader) askAt() time.Time {
	if r.silence == nil {
		return time.Time{}
	}
	return r.silence.AskAt
}

func (r *silentReader) setDeadline(deadline time.Time) error {
	if deadline.Equal(r.deadline) {
		return nil
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set the read deadline: %w", err)
	}
	r.deadline = deadline
	return nil
}

// end ends the watch of one answer.
func (r *silentReader) end() error {
	r.silence, r.lookedAt, r.lookUntil = nil, time.Time{}, time.Time{}
	return r.setDeadline(time.Time{})
}
