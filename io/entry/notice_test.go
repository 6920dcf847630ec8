package entry_test

import (
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
