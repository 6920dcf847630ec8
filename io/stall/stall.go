// Package stall makes HTTP calls that end when nothing arrives any more. A limit on the
// whole call does not fit answers of any length: on a narrow link a long one would never
// arrive, and each new call would begin at its first byte again.
package stall

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ErrSilent means that nothing arrived for too long.
var ErrSilent = errors.New("the other end is silent")

// ErrTooSlow means that the answer did not arrive completely in time.
var ErrTooSlow = errors.New("the answer takes too long")

// Limits are the limits of one call.
type Limits struct {
	// Header is the time until the header of the answer, Silence the time between two
	// parts of its body, and Body the time for the whole body.
	Header, Silence, Body time.Duration
	// MaxBytes is the length of the longest body that is accepted.
	MaxBytes int64
}

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call and reads the whole answer. Errors wrap ErrSilent or ErrTooSlow if a limit
// ended the call.
func Do(client *http.Client, req *http.Request, limits Limits) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	silence := time.AfterFunc(limits.Header, func() { cancel(ErrSilent) })
	defer silence.Stop()
	res, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, fmt.Errorf("call: %w", withCause(ctx, err))
	}
	whole := time.AfterFunc(limits.Body, func() { cancel(ErrTooSlow) })
	defer whole.Stop()
	reader := &progressReader{reader: res.Body, silence: silence, limit: limits.Silence}
	body, err := io.ReadAll(io.LimitReader(reader, limits.MaxBytes+1))
	if err = errors.Join(err, res.Body.Close()); err != nil {
		return nil, fmt.Errorf("read the answer, %d bytes so far: %w", len(body), withCause(ctx, err))
	}
	if int64(len(body)) > limits.MaxBytes {
		return nil, fmt.Errorf("the answer is longer than %d bytes", limits.MaxBytes)
	}
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// withCause adds the reason for which a call was ended.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// progressReader starts the silence timer again before each read.
type progressReader struct {
	reader  io.Reader
	silence *time.Timer
	limit   time.Duration
}

// Read reads from the body.
func (r *progressReader) Read(p []byte) (int, error) {
	r.silence.Reset(r.limit)
	return r.reader.Read(p)
}
