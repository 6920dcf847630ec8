package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A worker's machine loses power while the store is down. The worker comes back under its id with
// another version of its software, begins streams, and crashes.
const (
	_upgradeEvents   = 40
	_upgradePause    = 100 * time.Millisecond
	_upgradeInterval = 100 * time.Millisecond
	_mixedAllowed    = 2
)

func runUpgrade(s *site, trouble bool) (verdict, error) {
	serve := func(w http.ResponseWriter, c *call) {
		s.note("worker %s (%s) runs %s from %s, after event %q", c.worker.id, c.boot.version, c.id, c.entry, c.Header.Get(s.headers.LastEventID))
		if !c.stream(w, _upgradeEvents, _upgradePause, func(int) bool { return true }) {
			panic(http.ErrAbortHandler)
		}
	}
	if err := s.addWorkers("scribe", 3, 24, serve); err != nil {
		return verdict{}, err
	}
	if err := s.addEntries(3); err != nil {
		return verdict{}, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var attempts []*attempt
	begin := time.Now()
	end := begin.Add(10 * time.Second)
	group.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			group.Go(func() {
				a := s.sendAndTakeUp(n, &request{
					method: http.MethodPost, path: fmt.Sprintf("/check/%d", n), body: fmt.Sprintf("guest %d", n), deadline: 6 * time.Second,
					prompt: fmt.Sprintf("aa01:100,%x:100", 0xb000+n), tokens: 200,
				})
				mu.Lock()
				defer mu.Unlock()
				attempts = append(attempts, a)
			})
			time.Sleep(_upgradeInterval)
		}
	})
	if trouble {
		if err := s.upgradeWorker(s.workers[0], begin); err != nil {
			return verdict{}, err
		}
	}
	group.Wait()
	served, mixed := 0, 0
	for _, a := range attempts {
		if a.whole {
			served++
		}
		if wrote := versions(a.body); len(slices.Compact(slices.Sorted(slices.Values(wrote)))) > 1 {
			mixed++
			s.note("MIXED %s: %v", a.id, wrote)
		}
	}
	return verdict{broken: mixed > _mixedAllowed, text: fmt.Sprintf("%d streams, %d whole; %d hold events of two versions (at most %d allowed)", len(attempts), served, mixed, _mixedAllowed)}, nil
}

// sendAndTakeUp sends a request and, if its stream breaks off, takes it up once at the next
// machine. The body that it returns is that of both attempts.
func (s *site) sendAndTakeUp(n int, r *request) *attempt {
	begun := time.Now()
	first := s.send(s.entries[n%len(s.entries)], r)
	events := strings.Count(first.body, "\n\n")
	if first.whole || events == 0 {
		return first
	}
	r.deadline -= time.Since(begun)
	r.headers = map[string]string{s.headers.LastEventID: strconv.Itoa(events - 1), s.headers.Resumes: first.id}
	second := s.send(s.entries[(n+1)%len(s.entries)], r)
	if second.status == http.StatusOK {
		second.body = first.body[:strings.LastIndex(first.body, "\n\n")+2] + second.body
		return second
	}
	return first
}

func (s *site) upgradeWorker(k *worker, begin time.Time) error {
	at := func(seconds float64) {
		time.Sleep(time.Until(begin.Add(time.Duration(seconds * float64(time.Second)))))
	}
	at(2)
	if os.Getenv("OUTAGE") != "0" {
		s.note("the store is silent")
		s.store.setSilent(true)
	}
	at(2.5)
	if err := k.goDark(); err != nil {
		return err
	}
	at(3.5)
	k.endDark()
	if err := k.start("v2"); err != nil {
		return err
	}
	at(6.8)
	k.crash()
	at(7)
	s.note("the store answers")
	s.store.setSilent(false)
	at(8.5)
	return k.start("v2")
}
