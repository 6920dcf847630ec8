package runs

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
)

// A process that slept finds the grace over as it wakes up. It could not have
// heard of an adoption meanwhile, so that the grace starts anew, once.
func TestGraceStartsAnewAfterASleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &run{grace: 10 * time.Second}
		g.life, g.endLife = context.WithCancelCause(t.Context())
		g.keepUntil = time.Now().Add(-time.Minute)
		g.keeper = time.AfterFunc(time.Hour, g.expire)
		g.expire()
		if g.life.Err() != nil {
			t.Fatal("the generation is given up at the moment the process wakes up")
		}
		time.Sleep(g.grace + time.Millisecond)
		synctest.Wait()
		if g.life.Err() == nil {
			t.Fatal("the generation outlives the grace after the sleep")
		}
	})
}

// busyClient answers with errors in turn, then well.
type busyClient struct {
	core.EndpointClient
	errs []error
}

func (c *busyClient) next() error {
	if len(c.errs) == 0 {
		return nil
	}
	err := c.errs[0]
	c.errs = c.errs[1:]
	return err
}

func (c *busyClient) Resume(context.Context, core.Endpoint, core.GenerationID, int) (core.EngineStream, error) {
	return emptyStream{}, c.next()
}

func (c *busyClient) Cancel(context.Context, core.Endpoint, core.GenerationID) error { return c.next() }

type emptyStream struct{}

func (emptyStream) Next() (core.Token, error) { return core.Token{}, io.EOF }
func (emptyStream) Close() error              { return nil }

func refusal(status int) error {
	return &core.EndpointError{Endpoint: "e", Result: core.ResultRefused, Status: status, Err: errors.New("refused")}
}

func runWith(t *testing.T, errs ...error) *run {
	g := &run{runner: New(Config{Client: &busyClient{errs: errs}, Logger: logr.Discard()})}
	g.life, g.endLife = context.WithCancelCause(t.Context())
	return g
}

// An engine that is busy refuses a resumption, and still holds the generation.
func TestBusyEngineIsAskedAgainToResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := runWith(t, refusal(503), refusal(429))
		if _, err := g.resume(time.Now().Add(10*time.Second), io.EOF); err != nil {
			t.Fatalf("resume = %v; want the stream that the third attempt gets", err)
		}
		g.endLife(nil)
		g = runWith(t, refusal(404))
		if _, err := g.resume(time.Now().Add(10*time.Second), io.EOF); err == nil {
			t.Fatal("a generation is resumed that the engine does not hold")
		}
	})
}

func TestBusyEngineHasNotCancelled(t *testing.T) {
	g := runWith(t, refusal(503), refusal(404))
	if g.tryCancel() {
		t.Error("a cancel that was refused with 503 counts as answered")
	}
	if !g.tryCancel() {
		t.Error("a cancel of what the engine does not hold does not count as answered")
	}
}
