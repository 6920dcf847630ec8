package stall_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"apricotproxy/io/stall"
)

var _limits = stall.Limits{Header: 500 * time.Millisecond, Silence: 500 * time.Millisecond, Body: 1200 * time.Millisecond, MaxBytes: 100}

// send answers with parts of ten bytes, so many milliseconds apart.
func send(parts int, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for range parts {
			_, _ = w.Write([]byte("0123456789"))
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
		}
	}
}

func TestDo(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		bytes   int
		err     error
		fails   bool
	}{
		{name: "a short answer", handler: send(2, 0), bytes: 20},
		{name: "a slow answer that goes on", handler: send(8, 100*time.Millisecond), bytes: 80},
		{name: "no header", handler: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, err: stall.ErrSilent, fails: true},
		{name: "a body that stops", handler: send(2, time.Minute), err: stall.ErrSilent, fails: true},
		{name: "a body that takes too long", handler: send(10, 200*time.Millisecond), err: stall.ErrTooSlow, fails: true},
		{name: "a body that is too long", handler: send(11, 0), fails: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			answer, err := stall.Do(server.Client(), req, _limits)
			switch took := time.Since(began); {
			case c.fails != (err != nil) || (c.err != nil && !errors.Is(err, c.err)):
				t.Errorf("error %v, want %v", err, c.err)
			case err == nil && (answer.Status != http.StatusOK || len(answer.Body) != c.bytes):
				t.Errorf("status %d with %d bytes, want 200 with %d", answer.Status, len(answer.Body), c.bytes)
			case took > 2*time.Second:
				t.Errorf("it took %v", took)
			}
		})
	}
}
