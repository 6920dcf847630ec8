package opers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"apricotproxy/core/procs/audit"
)

// auditStream writes audit entries as lines of JSON. last is the sequence number of
// the latest entry that was sent, or from which the client asked to continue.
type auditStream struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	last    uint64
}

// follow sends new entries as they are recorded, and an empty line after each ping
// interval without one. It fails when the client reads nothing for longer than the
// write time-out.
func (s *auditStream) follow(ctx context.Context, trail *audit.Trail, after uint64) error {
	s.last = max(s.last, after)
	for {
		waitCtx, cancel := context.WithTimeout(ctx, _pingInterval)
		entries, err := trail.Wait(waitCtx, s.last)
		cancel()
		if ctx.Err() != nil {
			return fmt.Errorf("following the trail: %w", ctx.Err())
		}
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return fmt.Errorf("following the trail: %w", err)
		}
		if err := s.send(entries); err != nil {
			return err
		}
	}
}

func (s *auditStream) send(entries []audit.Entry) error {
	// An in-memory server in a test may lack write deadlines, and does not need them.
	_ = s.control.SetWriteDeadline(time.Now().Add(_writeTimeout))
	lines := []byte{}
	for _, entry := range entries {
		line, err := json.Marshal(entry)
		if err != nil {
			return fmt.Errorf("encoding audit event %d: %w", entry.Sequence, err)
		}
		lines = append(append(lines, line...), '\n')
		s.last = entry.Sequence
	}
	if len(lines) == 0 {
		lines = []byte{'\n'}
	}
	if _, err := s.writer.Write(lines); err != nil {
		return fmt.Errorf("writing audit events: %w", err)
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("flushing audit events: %w", err)
	}
	return nil
}
