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

// A process that was suspended resumes after the grace period is over. It could
// not receive an adoption meanwhile, so the grace period restarts, once.
func TestGraceRestartsAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &run{grace: 10 * time.Second}
		g.runCtx, g.cancelRun = context.WithCancelCause(t.Context())
		g.abandonAt = time.Now().Add(-time.Minute)
		g.abandonTimer = time.AfterFunc(time.Hour, g.abandonIfDue)
		g.abandonIfDue()
		if g.runCtx.Err() != nil {
			t.Fatal("the generation is abandoned at the moment the process resumes")
		}
		time.Sleep(g.grace + time.Millisecond)
		synctest.Wait()
		if g.runCtx.Err() == nil {
			t.Fatal("the generation outlives the grace period after the suspension")
		}
	})
}

// fakeClient returns the given errors one after the other, then none.
type fakeClient struct {
	core.EndpointClient
	errs []error
}

func (c *fakeClient) next() error {
	if len(c.errs) == 0 {
		return nil
	}
	err := c.errs[0]
	c.errs = c.errs[1:]
	return err
}

func (c *fakeClient) Resume(context.Context, core.Endpoint, core.GenerationID, int) (core.EngineStream, error) {
	return emptyStream{}, c.next()
}

func (c *fakeClient) Cancel(context.Context, core.Endpoint, core.GenerationID) error { return c.next() }

type emptyStream struct{}

func (emptyStream) Next() (core.Token, error) { return core.Token{}, io.EOF }
func (emptyStream) Close() error              { return nil }

func refusal(status int) error {
	return &core.EndpointError{Endpoint: "e", Result: core.ResultRefused, Status: status, Err: errors.New("refused")}
}

func newTestRun(t *testing.T, errs ...error) *run {
	g := &run{runner: New(Config{Client: &fakeClient{errs: errs}, Logger: logr.Discard()})}
	g.runCtx, g.cancelRun = context.WithCancelCause(t.Context())
	return g
}

// A busy engine refuses a resumption and still holds the generation.
func TestResumeRetriesBusyEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestRun(t, refusal(503), refusal(429))
		if _, err := g.resume(time.Now().Add(10*time.Second), io.EOF); err != nil {
			t.Fatalf("resume = %v; want the stream that the third attempt gets", err)
		}
		g.cancelRun(nil)
		g = newTestRun(t, refusal(404))
		if _, err := g.resume(time.Now().Add(10*time.Second), io.EOF); err == nil {
			t.Fatal("a generation that the engine does not hold was resumed")
		}
	})
}

// A cancellation that a busy engine refuses counts as not answered, so it is
// retried.
func TestBusyEngineDoesNotAnswerCancel(t *testing.T) {
	g := newTestRun(t, refusal(503), refusal(404))
	if g.tryCancel() {
		t.Error("a cancellation that was refused with 503 counts as answered")
	}
	if !g.tryCancel() {
		t.Error("a cancellation of a generation that the engine does not hold counts as not answered")
	}
}
