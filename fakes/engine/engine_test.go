package engine_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/engine"
)

// complete starts a generation and returns its stream as text.
func complete(e *engine.Engine, id, prompt string) string {
	body, _ := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "stream": true})
	request := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(string(body)))
	request.Header.Set("Generation-Id", id)
	return serve(e, request)
}

// serve returns the answer's body up to its end or to where the connection broke.
func serve(e *engine.Engine, request *http.Request) string {
	answer := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // http.ErrAbortHandler simulates a broken connection
		e.ServeHTTP(answer, request)
	}()
	return answer.Body.String()
}

// report requests a report and returns the fields that the tests check.
func report(t *testing.T, e *engine.Engine) core.Report {
	t.Helper()
	text := serve(e, httptest.NewRequest(http.MethodGet, "/v1/report", nil))
	var body struct {
		Incarnation core.Incarnation
		Phase       string
		Running     int
		Preemptions uint64
	}
	if err := json.Unmarshal([]byte(text), &body); err != nil {
		t.Fatal(err)
	}
	phase := core.PhaseCold
	if body.Phase == "Warm" {
		phase = core.PhaseWarm
	}
	return core.Report{Incarnation: body.Incarnation, Phase: phase, Running: body.Running, Preemptions: body.Preemptions}
}

func TestStreamIsCompleteAndResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engine.New(engine.Config{StartWarm: true})
		stream := complete(e, "g", "names [[tokens=3]]")
		for _, want := range []string{"id: g.0\n", "id: g.1\n", "id: g.2\n", "id: g.3\n", `"completion_tokens":3`, "data: [DONE]"} {
			if !strings.Contains(stream, want) {
				t.Fatalf("stream lacks %q:\n%s", want, stream)
			}
		}
		request := httptest.NewRequest(http.MethodGet, "/v1/completions/g", nil)
		request.Header.Set("Last-Event-ID", "g.1")
		rest := serve(e, request)
		if strings.Contains(rest, "id: g.1\n") || !strings.Contains(rest, "id: g.2\n") {
			t.Fatalf("resume after index 1:\n%s", rest)
		}
	})
}

func TestColdOverloadIsRecordedAndCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engine.New(engine.Config{ColdLimit: 2, RestartAfter: time.Minute})
		for _, id := range []string{"a", "b", "c"} {
			go complete(e, id, "[[tokens=100]]")
			synctest.Wait()
		}
		if got := e.ColdOverloads(); len(got) != 1 || got[0].Generation != "c" || got[0].Running != 3 {
			t.Fatalf("overloads: %+v", got)
		}
		if got := complete(e, "d", "x"); got != "" {
			t.Fatalf("the engine answered %q after its crash", got)
		}
		time.Sleep(time.Minute)
		// The restart is due at this instant; wait until it has happened.
		synctest.Wait()
		if got := report(t, e); got.Incarnation != 2 || got.Phase != core.PhaseCold {
			t.Fatalf("after the restart: %+v", got)
		}
	})
}

func TestFullMemoryPreemptsAndAllFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engine.New(engine.Config{StartWarm: true, MemoryTokens: 150})
		for _, id := range []string{"a", "b", "c"} {
			go complete(e, id, "[[tokens=100]]")
		}
		time.Sleep(time.Minute)
		if e.Preemptions() == 0 {
			t.Fatal("three generations of 100 tokens in 150 tokens of memory: no preemption")
		}
		for _, run := range e.Runs() {
			if !run.Completed || run.Tokens != 100 {
				t.Fatalf("run %+v", run)
			}
		}
	})
}

func TestReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engine.New(engine.Config{StartWarm: true, ReportLag: time.Second})
		time.Sleep(time.Minute)
		go complete(e, "a", "[[tokens=1000]]")
		time.Sleep(500 * time.Millisecond)
		if got := report(t, e).Running; got != 0 {
			t.Fatalf("the report 500 ms after the start has %d running, want 0", got)
		}
		time.Sleep(time.Second)
		if got := report(t, e).Running; got != 1 {
			t.Fatalf("the report 1.5 s after the start has %d running, want 1", got)
		}
		time.Sleep(time.Hour)
	})
}
