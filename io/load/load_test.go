package load_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/core"
	"apricotproxy/fakes/memnet"
	"apricotproxy/io/load"
)

const _target = "10.0.0.1:8080"

func newSettings() load.Settings {
	return load.Settings{
		Targets:       []string{_target},
		Rate:          2,
		Duration:      5 * time.Second,
		AnswerTimeout: 20 * time.Second,
		Silence:       10 * time.Second,
		MaxOpen:       100,
		Seed:          1,
		Workspaces:    []core.WorkspaceName{"lake"},
		Service:       "writing",
		Call:          load.PlainCall{Service: "shop", Call: "look"},
		Order:         load.PlainCall{Service: "shop", Call: "buy"},
	}
}

// run sends a load to a handler over an in-memory network. It must be called in a
// synctest bubble.
func run(ctx context.Context, t *testing.T, settings load.Settings, handler http.Handler, progress func(load.Progress)) load.Result {
	t.Helper()
	network := memnet.New(time.Millisecond)
	listener, err := network.Listen("tcp", _target)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	result, err := load.Run(ctx, settings, network.Dialer("10.0.0.9"), progress)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// scriptedHost answers each request with the texts of a test case.
type scriptedHost struct {
	status, resumedStatus int
	first, resumed        string
	cut, silent           bool // after first: break the connection; keep it open and send nothing

	mu          sync.Mutex
	lastEventID string // of the latest resumption
}

func newScriptedHost(t *testing.T, d *datadriven.TestData) *scriptedHost {
	h := &scriptedHost{status: http.StatusOK, resumedStatus: http.StatusOK, cut: d.HasArg("cut"), silent: d.HasArg("silent")}
	d.MaybeScanArgs(t, "status", &h.status)
	d.MaybeScanArgs(t, "resumed-status", &h.resumedStatus)
	h.first, h.resumed, _ = strings.Cut(d.Input, "== resumed\n")
	return h
}

// ServeHTTP answers a request, or a resumption if it is a GET.
func (h *scriptedHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server detects a disconnected caller only after the body was read
	switch {
	case r.URL.Path == "/v1/tickets":
		_, _ = w.Write([]byte(`{"Tickets":["ticket"]}`))
	case r.Method == http.MethodGet:
		h.mu.Lock()
		h.lastEventID = r.Header.Get("Last-Event-ID")
		h.mu.Unlock()
		w.WriteHeader(h.resumedStatus)
		_, _ = w.Write([]byte(h.resumed + "\n\n"))
	default:
		w.WriteHeader(h.status)
		_, _ = w.Write([]byte(h.first + "\n\n"))
		_ = http.NewResponseController(w).Flush()
		if h.cut {
			panic(http.ErrAbortHandler)
		}
		if h.silent {
			<-r.Context().Done()
		}
	}
}

// TestAnswers sends a load to a host that gives the answer of a case in
// testdata/answers, and prints the result. The text below "== resumed" is the answer
// to the resumption of a stream.
func TestAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers", func(t *testing.T, d *datadriven.TestData) string {
		handler := newScriptedHost(t, d)
		settings := newSettings()
		settings.Resumes = 1
		switch d.Cmd {
		case "draft":
			settings.DraftShare = 1
		case "call":
			settings.CallShare = 1
		case "order":
			settings.OrderShare = 1
		default:
			d.Fatalf(t, "unknown command %s", d.Cmd)
		}
		var text strings.Builder
		synctest.Test(t, func(t *testing.T) {
			result := run(t.Context(), t, settings, handler, nil)
			if err := result.WriteTable(&text); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&text, "faulty: %d\n", result.Faulty())
			if handler.lastEventID != "" {
				fmt.Fprintf(&text, "resumed after %s\n", handler.lastEventID)
			}
		})
		return text.String()
	})
}

// TestStallIsNotOmitted guards against coordinated omission. The server stalls for
// 10 s: a closed loop would measure one slow request, but every request scheduled
// during the stall must count its wait.
func TestStallIsNotOmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := newSettings()
		settings.Rate, settings.Duration, settings.MaxOpen = 20, 20*time.Second, 1000
		settings.CallShare = 1
		healthy := time.Now().Add(10 * time.Second)
		var last load.Progress
		result := run(t.Context(), t, settings, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			time.Sleep(time.Until(healthy))
		}), func(p load.Progress) { last = p })
		calls := result.Kinds[0]
		if calls.Done != calls.Sent || calls.Sent < 300 {
			t.Fatalf("%d of %d done", calls.Done, calls.Sent)
		}
		// Half of the arrivals are during the stall, on average 5 s before its end.
		if calls.Whole.P50Millis > 1000 || calls.Whole.P95Millis < 8000 || calls.Whole.MaxMillis < 9900 {
			t.Errorf("got %+v", calls.Whole)
		}
		if last.Sent == 0 || last.Elapsed < 15*time.Second {
			t.Errorf("the last progress is %v", last)
		}
	})
}

// TestClosedTargetIsSkipped uses a target that nothing listens on. Its requests go to
// the next target; if there is none, they count as Unreached.
func TestClosedTargetIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := newSettings()
		settings.Targets, settings.OrderShare = []string{"10.0.0.2:8080", _target}, 1
		result := run(t.Context(), t, settings, &scriptedHost{status: http.StatusOK, first: "{}"}, nil)
		if orders := result.Kinds[0]; orders.Done != orders.Sent {
			t.Errorf("got %+v, %v", orders, result.Details)
		}
		settings.Targets = settings.Targets[:1]
		result = run(t.Context(), t, settings, &scriptedHost{}, nil)
		if orders := result.Kinds[0]; orders.Unreached != orders.Sent {
			t.Errorf("got %+v, %v", orders, result.Details)
		}
	})
}

func TestInterruptAndMaxOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := newSettings()
		settings.Rate, settings.MaxOpen, settings.CallShare = 10, 3, 1
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		result := run(ctx, t, settings, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server detects a disconnected caller only after the body was read
			<-r.Context().Done()
		}), nil)
		calls := result.Kinds[0]
		if calls.Abandoned != 3 || calls.Skipped != calls.Sent-3 || calls.Sent < 20 {
			t.Errorf("got %+v", calls)
		}
	})
}

func TestCheckRejectsBadSettings(t *testing.T) {
	for _, invalidate := range []func(*load.Settings){
		func(s *load.Settings) { s.Targets = nil },
		func(s *load.Settings) { s.Workspaces = nil },
		func(s *load.Settings) { s.Rate = 0 },
		func(s *load.Settings) { s.Duration = 0 },
		func(s *load.Settings) { s.MaxOpen = 0 },
		func(s *load.Settings) { s.DraftShare = 0 },
		func(s *load.Settings) { s.LookupShare = -1 },
		func(s *load.Settings) { s.Service = "" },
		func(s *load.Settings) { s.CallShare, s.Call = 1, load.PlainCall{} },
		func(s *load.Settings) { s.OrderShare, s.Order = 1, load.PlainCall{} },
	} {
		settings := newSettings()
		settings.DraftShare = 1
		if err := settings.Check(); err != nil {
			t.Fatal(err)
		}
		invalidate(&settings)
		if err := settings.Check(); err == nil {
			t.Errorf("%+v is accepted", settings)
		}
	}
}
