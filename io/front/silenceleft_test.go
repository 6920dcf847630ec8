package front_test

import (
	"net/http"
	"testing"

	"apricotproxy/fakes/routed"
)

// A silent endpoint was left for one that refused, and the answer was cut or failed.
func TestSilentEndpointIsNotLeftForARefusal(t *testing.T) {
	for _, c := range []struct {
		path   string
		silent routed.Handler
		want   string
	}{
		{"/check/", pausing(_longSilence), wantStream(4)},
		{"/draft/", growing(_longSilence), wantStream(6)},
		{"/lookup/", slowAnswer, "slow"},
	} {
		t.Run(c.path, func(t *testing.T) {
			t.Parallel()
			first := make(chan struct{}, 1)
			handle := func(call *routed.Call) bool {
				select {
				case first <- struct{}{}:
					return c.silent(call)
				default:
					return refuse(call)
				}
			}
			r := newFixture(t, handle, handle)
			got := r.send(http.MethodPost, c.path, "", "Tokens: 100,400", "Deadline-Ms: 5000")
			if got.err != nil || got.status != http.StatusOK || got.body != c.want {
				t.Errorf("status %d, %q, %v; want %q", got.status, got.body, got.err, c.want)
			}
		})
	}
}

// While no retry was left, each check of a silent endpoint opened a connection to another one.
func TestSilentEndpointIsWaitedForWithoutConnections(t *testing.T) {
	r := newFixture(t, pausing(_longSilence), pausing(_longSilence))
	r.dropRetryBudget()
	got := r.send(http.MethodPost, "/check/", "", "Tokens: 100,400", "Deadline-Ms: 5000")
	if got.err != nil || got.body != wantStream(4) {
		t.Errorf("stream %q, %v; want %q", got.body, got.err, wantStream(4))
	}
	connections := 0
	for _, e := range r.endpoints {
		connections += e.Connections()
	}
	if connections != 1 {
		t.Errorf("%d connections, want 1", connections)
	}
}

// A deadline out of range was over at once on some processors.
func TestDeadlineOutOfRangeIsLong(t *testing.T) {
	for _, deadline := range []string{"1e30", "Inf"} {
		r := newFixture(t, fine)
		if got := r.send(http.MethodPost, "/lookup/", "", "Deadline-Ms: "+deadline); got.err != nil || got.status != http.StatusOK {
			t.Errorf("%s: status %d, %v; want 200", deadline, got.status, got.err)
		}
	}
}

// The time to read a body had passed, which net/http took for the end of the caller's connection:
// the request got no answer.
func TestRequestWithoutTimeLeftIsRefused(t *testing.T) {
	for name, body := range map[string]string{"no body": "", "a body": "x"} {
		for range 5 {
			r := newFixture(t, fine)
			got := r.send(http.MethodPost, "/lookup/", body, "Deadline-Ms: 0")
			if got.err != nil || got.status == http.StatusOK {
				t.Fatalf("%s: status %d, %v; want a refusal", name, got.status, got.err)
			}
		}
	}
}
