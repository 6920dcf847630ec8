package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// A worker that registered while it was cold becomes cold again later, and writes so to the store
// at once. Like any cold worker it crashes at a rate well above what it bears.
const (
	_coldWorkers  = 3
	_coldTime     = 4 * time.Second
	_orderPause   = 17 * time.Millisecond
	_orderTime    = 9 * time.Second
	_coldBound    = 11 // coldPerS 4 x coldOverage 1.5 + coldSlack 5
	_crashFactor  = 1.5
	_coldOrderRun = 60 * time.Millisecond
)

// coldCount counts the requests that reach a cold worker.
type coldCount struct {
	mu     sync.Mutex
	recent []time.Time
	most   int
	// lateMost is the most within a second that began a second or more after the worker
	// became cold.
	lateMost int
}

// add counts a request and returns how many came within a second.
func (c *coldCount) add(at, coldAt time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent = append(c.recent, at)
	for at.Sub(c.recent[0]) >= time.Second {
		c.recent = c.recent[1:]
	}
	c.most = max(c.most, len(c.recent))
	if c.recent[0].Sub(coldAt) >= time.Second {
		c.lateMost = max(c.lateMost, len(c.recent))
	}
	return len(c.recent)
}

func runCold(s *site, trouble bool) (verdict, error) {
	var count coldCount
	var again time.Time // when the worker becomes cold again
	serve := func(w http.ResponseWriter, c *call) {
		if c.worker.coldLeft() > 0 && !again.IsZero() && c.arrived.After(again) {
			n := count.add(c.arrived, again)
			s.note("cold worker %s gets %s from %s, the %dth within a second", c.worker.id, c.id, c.entry, n)
			if os.Getenv("CRASH") != "0" && float64(n) > _crashFactor*_coldBound && c.worker.isUp(c.boot) {
				c.worker.crash()
			}
		}
		time.Sleep(_coldOrderRun)
		if !c.worker.isUp(c.boot) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(s.headers.Seal, "seal-"+c.worker.id)
		_, _ = w.Write([]byte("engraved"))
	}
	if os.Getenv("START") != "warm" {
		s.coldStart = _coldTime
	}
	if err := s.addWorkers("press", _coldWorkers, 6, serve); err != nil {
		return verdict{}, err
	}
	if err := s.addEntries(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(_coldTime)
	begin := time.Now()
	again = begin.Add(3 * time.Second)
	if trouble {
		time.AfterFunc(time.Until(again), func() { s.workers[0].chill(_coldTime) })
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	sent, lost := 0, 0
	for n := 0; time.Since(begin) < _orderTime; n++ {
		group.Go(func() {
			a := s.send(s.entries[n%len(s.entries)], &request{method: http.MethodPost, path: fmt.Sprintf("/press/%d", n), body: "card", deadline: 4 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			sent++
			if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
				lost++
			}
		})
		time.Sleep(_orderPause)
	}
	group.Wait()
	return verdict{broken: count.most > _coldBound, text: fmt.Sprintf(
		"a cold worker got up to %d requests within a second, %d in a second that began a second or more after it became cold (at most %d allowed); %d of %d orders were lost",
		count.most, count.lateMost, _coldBound, lost, sent)}, nil
}
