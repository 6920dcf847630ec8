package front_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// _overlap is how long two endpoints may work on a stream at a time.
const _overlap = 400 * time.Millisecond

// persistentEngine is a fake engine that goes on with a run when its connection closes, as some endpoints
// do. Only a request to stop the run ends its work early.
type persistentEngine struct {
	// answerStop answers a request to stop the run, and reports whether the run stops.
	answerStop func(c *routed.Call) bool
	// trouble is called after event 4 of a run that was sent anew; it returns once the run goes on.
	trouble func(c *routed.Call, stopped <-chan struct{})

	mu   sync.Mutex
	runs []*engineRun
}

type engineRun struct {
	from       string
	begun, end time.Time
	stopped    chan struct{}
}

func (w *persistentEngine) handle(c *routed.Call) bool {
	if c.URL.Path == "/move" {
		return w.handleMove(c)
	}
	if strings.HasPrefix(c.URL.Path, "/handle/") {
		c.Answer(http.StatusOK, "")
		return true
	}
	run := &engineRun{from: c.Header.Get("Continue-From"), begun: time.Now(), stopped: make(chan struct{})}
	w.mu.Lock()
	w.runs = append(w.runs, run)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		run.end = time.Now()
	}()
	c.BeginStream(echo(c), _seal)
	if c.Header.Get("Last-Event-Id") != "" {
		events(c, 5, 6)
		c.EndStream()
		return true
	}
	for id := range 4 {
		events(c, id, id)
		time.Sleep(_backupReadyAfter / 3)
	}
	events(c, 4, 4)
	w.trouble(c, run.stopped)
	select {
	case <-run.stopped:
		return false
	default:
	}
	events(c, 5, 6)
	c.EndStream()
	return true
}

func (w *persistentEngine) handleMove(c *routed.Call) bool {
	var move struct{ Last bool }
	if err := json.Unmarshal([]byte(c.BodyText), &move); err != nil || !move.Last {
		c.Answer(http.StatusOK, `{"handle":"h1","created":1}`)
		return true
	}
	if w.answerStop(c) {
		w.mu.Lock()
		run := w.runs[0]
		w.mu.Unlock()
		close(run.stopped)
	}
	return true
}

// check waits for the ends of all runs, and fails if one went on for longer than _overlap after the next one
// began.
func (w *persistentEngine) check(t *testing.T, runs int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !w.haveEnded() && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.runs) != runs {
		t.Errorf("%d runs, want %d", len(w.runs), runs)
	}
	for i, run := range w.runs[1:] {
		before := w.runs[i]
		if before.end.IsZero() || before.end.After(run.begun.Add(_overlap)) {
			t.Errorf("run %d still worked %v after run %d began", i, before.end.Sub(run.begun), i+1)
		}
	}
}

func (w *persistentEngine) haveEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !slices.ContainsFunc(w.runs, func(run *engineRun) bool { return run.end.IsZero() })
}

// silentFor returns a trouble: the engine sends nothing for a time, unless the run is stopped.
func silentFor(length time.Duration) func(*routed.Call, <-chan struct{}) {
	return func(_ *routed.Call, stopped <-chan struct{}) {
		select {
		case <-stopped:
		case <-time.After(length):
		}
	}
}

// garbage is a trouble: the engine sends what is no event, and works on.
func garbage(c *routed.Call, stopped <-chan struct{}) {
	c.Chunk("no event\n\n")
	silentFor(_longSilence)(c, stopped)
}

// stopsRun stops the run and makes a copy, knowsNoRun answers that there is no such run, and
// declines answers with an error.
func stopsRun(c *routed.Call) bool {
	c.Answer(http.StatusOK, `{"handle":"h9","created":5}`)
	return true
}

func stopsRunWithoutCopy(c *routed.Call) bool {
	c.Answer(http.StatusServiceUnavailable, `{"handle":"h9"}`)
	return true
}
func knowsNoRun(c *routed.Call) bool { c.Answer(http.StatusNotFound, ""); return false }
func declines(c *routed.Call) bool   { c.Answer(http.StatusConflict, ""); return false }

// A stream went on at another endpoint while the one that was left, which goes on when its
// connection closes, still worked on it.
func TestStreamDoesNotRunTwice(t *testing.T) {
	for _, c := range []struct {
		name, path string
		trouble    func(*routed.Call, <-chan struct{})
		answerStop func(*routed.Call) bool
		runs       int
		// from is the copy that the second run continues from, without its address.
		from string
	}{
		{"silent and stops", "/draft/", silentFor(4 * time.Second), stopsRun, 2, "/h9"},
		{"silent and stops without a copy", "/draft/", silentFor(4 * time.Second), stopsRunWithoutCopy, 2, "/r1"},
		{"silent for 1.7 s, not stopped", "/draft/", silentFor(1700 * time.Millisecond), knowsNoRun, 1, ""},
		{"silent for 2.5 s, not stopped", "/draft/", silentFor(_longSilence), declines, 1, ""},
		{"no event, and stops", "/draft/", garbage, stopsRun, 2, "/h9"},
		{"no event, goes on for 2.5 s", "/draft/", garbage, declines, 1, ""},
		{"resumable, silent and stops", "/check/", silentFor(4 * time.Second), stopsRun, 2, "/h9"},
		{"resumable, no event, and stops", "/check/", garbage, stopsRun, 2, "/h9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := &persistentEngine{trouble: c.trouble, answerStop: c.answerStop}
			got := newFixture(t, w.handle, w.handle).send(http.MethodPost, c.path, "", "Tokens: 100,400", "Deadline-Ms: 5000")
			cut := strings.HasPrefix(c.name, "no event, goes on")
			if !cut && (got.err != nil || got.body != wantStream(6)) {
				t.Errorf("stream %q, %v; want %q", got.body, got.err, wantStream(6))
			}
			if cut && (got.err == nil || got.body != wantStream(4)) {
				t.Errorf("stream %q, %v; want %q and its end missing", got.body, got.err, wantStream(4))
			}
			w.check(t, c.runs)
			if c.runs == 2 && !strings.HasSuffix(w.runs[1].from, c.from) {
				t.Errorf("the second run continues from %q, want %q", w.runs[1].from, c.from)
			}
		})
	}
}

// A run was taken for stopped when its leaving engine had declined to stop it.
func TestRunIsNotHandedOverUnlessItStopped(t *testing.T) {
	for name, c := range map[string]struct {
		answerStop func(*routed.Call) bool
		runs       int
	}{
		"declined": {declines, 1},
		"stopped":  {stopsRun, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := &persistentEngine{answerStop: c.answerStop}
			r := newFixture(t, w.handle, w.handle)
			service, _ := r.view.Load().Table.Service("all")
			service.Engine.Backups = false
			w.trouble = func(call *routed.Call, stopped <-chan struct{}) {
				r.leave(call.Header.Get("Expect-Endpoint"))
				silentFor(1300*time.Millisecond)(call, stopped) // beyond the delay of a handover
			}
			if got := r.send(http.MethodPost, "/draft/", "", "Tokens: 100,400", "Deadline-Ms: 5000"); got.err != nil || got.body != wantStream(6) {
				t.Errorf("stream %q, %v; want %q", got.body, got.err, wantStream(6))
			}
			w.check(t, c.runs)
		})
	}
}

// A silent endpoint that has ended is left at once.
func TestSilentEndpointThatHasEndedIsLeft(t *testing.T) {
	var r *fixture
	w := &persistentEngine{answerStop: declines}
	w.trouble = func(c *routed.Call, stopped <-chan struct{}) {
		endpoint := r.endpointOf(c)
		time.AfterFunc(time.Second, endpoint.Close)
		c.WaitClosed(3 * time.Second)
	}
	r = newFixture(t, w.handle, w.handle)
	began := time.Now()
	if got := r.send(http.MethodPost, "/draft/", "", "Tokens: 100,400", "Deadline-Ms: 5000"); got.err != nil || got.body != wantStream(6) {
		t.Errorf("stream %q, %v; want %q", got.body, got.err, wantStream(6))
	}
	if took := time.Since(began); took > 4*_backupReadyAfter/3+2*time.Second {
		t.Errorf("took %v", took)
	}
	w.check(t, 2)
}
