package entry_test

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// sayingHandler counts calls and answers them with a status and a header.
func sayingHandler(calls *atomic.Int64, status int, header string) routed.Handler {
	return func(c *routed.Call) bool {
		calls.Add(1)
		headers := []string{"Request-Id: " + c.Header.Get("Request-Id"), header}
		if status == 200 {
			headers = append(headers, "Seal: s")
		} else {
			headers = append(headers, "Not-Run: 1")
		}
		c.Answer(status, "one", headers...)
		return true
	}
}

// An endpoint that says in an answer that it is leaving gets no more requests from any
// host, also when its document is written again.
func TestEndpointThatSaysItLeavesGetsNoRequests(t *testing.T) {
	s := newSite(t, 2)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	var calls atomic.Int64
	e1 := s.endpoint("e1", sayingHandler(&calls, 200, "Leaving: 1"))
	s.eventually("e1 serves", 2*time.Second, func() bool { status, _ := s.get(s.front[0], "/a/"); return status == 200 })
	s.endpoint("e2", okHandler("two"))
	s.eventually("all use e2", _leavingSpread, s.allServe("/a/", "two"))
	s.store.Put("e1", e1.Address)
	s.store.Delete("e1")
	time.Sleep(400 * time.Millisecond)
	s.store.Put("e1", e1.Address)
	time.Sleep(400 * time.Millisecond)
	before := calls.Load()
	for range 20 {
		for _, address := range s.front {
			if status, body := s.get(address, "/a/"); status != 200 || body != "two" {
				t.Fatalf("status %d with %q, want an answer of the endpoint that stays", status, body)
			}
		}
	}
	if n := calls.Load(); n != before {
		t.Errorf("the leaving endpoint got %d more requests", n-before)
	}
}

// An endpoint that turned a request away until some time gets no requests before. When
// that is true of all, callers are refused at once and told when to come back.
func TestEndpointThatAsksForNoRequestsGetsNone(t *testing.T) {
	const pause = 3 * time.Second
	s := newSite(t, 1)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	var calls atomic.Int64
	s.endpoint("e1", sayingHandler(&calls, 503, "Retry-After: 3"))
	s.eventually("e1 turns a request away", 2*time.Second, func() bool {
		_, _ = s.get(s.front[0], "/a/")
		return calls.Load() > 0
	})
	closedAt, before := time.Now(), calls.Load()
	for range 10 {
		began := time.Now()
		status, header := s.getHeader(s.front[0], "/a/")
		retryAfter, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		left := time.Until(closedAt.Add(pause)).Seconds()
		if status != 503 || err != nil || retryAfter < left-0.5 || time.Since(began) > 500*time.Millisecond {
			t.Errorf("status %d with Retry-After %q after %v, want 503 at once and %.1f s at least", status, header.Get("Retry-After"), time.Since(began), left)
		}
	}
	if n := calls.Load() - before; n > 0 {
		t.Errorf("the endpoint got %d requests although it wants none", n)
	}
	s.eventually("e1 gets requests again", pause+2*time.Second, func() bool {
		_, _ = s.get(s.front[0], "/a/")
		return calls.Load() > before
	})
	if took := time.Since(closedAt); took < pause-500*time.Millisecond {
		t.Errorf("the endpoint got a request %v after it turned one away, want %v at least", took, pause)
	}
}
