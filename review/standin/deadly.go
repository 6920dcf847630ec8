package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// A request, or a part of a prompt, crashes each worker that begins to answer it, right after
// the worker wrote its first event.
const (
	_deadlyEvents   = 8
	_deadlyPause    = 40 * time.Millisecond
	_deadlyInterval = 900 * time.Millisecond
	_deadlyTime     = 30 * time.Second
	_deadlyRestart  = 2 * time.Second
	_soundInterval  = 150 * time.Millisecond
	_contact        = 3 * time.Second
	_lateAllowed    = 3
)

func runDeadly(s *site, trouble bool) (verdict, error) {
	return s.runCrashes(trouble, 3, func(n int) *request {
		return &request{method: http.MethodPost, path: "/check/deadly", body: "deadly", deadline: 6 * time.Second, prompt: "aa01:100,dead:100", tokens: 200}
	})
}

func runDeadlyPart(s *site, trouble bool) (verdict, error) {
	return s.runCrashes(trouble, 5, func(n int) *request {
		return &request{
			method: http.MethodPost, path: fmt.Sprintf("/check/deadly-%d", n), body: fmt.Sprintf("deadly %d", n), deadline: 6 * time.Second,
			prompt: fmt.Sprintf("aa01:100,dead:100,%x:100", 0xc000+n), tokens: 300,
		}
	})
}

// runDeadlyPlain is for answers that are no streams: the worker writes half of one, and crashes.
func runDeadlyPlain(s *site, trouble bool) (verdict, error) {
	return s.runCrashes(trouble, 5, func(n int) *request {
		return &request{
			method: http.MethodPost, path: fmt.Sprintf("/lookup/deadly-%d", n), body: fmt.Sprintf("deadly %d", n), deadline: 4 * time.Second,
			prompt: fmt.Sprintf("aa01:100,dead:100,%x:100", 0xc000+n), tokens: 300,
		}
	})
}

// runCrashes sends what crashes workers beside sound requests. enough is the number of crashes after which
// the system must know.
func (s *site) runCrashes(trouble bool, enough int, deadly func(n int) *request) (verdict, error) {
	var mu sync.Mutex
	var crashedAt, arrivals []time.Time
	beforeFirst := os.Getenv("EVENTS") == "0" // the crash comes before the first event
	serve := func(w http.ResponseWriter, c *call) {
		isDeadly := strings.Contains(c.URL.Path, "/deadly")
		if isDeadly {
			s.note("worker %s runs the deadly %s from %s, after event %q", c.worker.id, c.id, c.entry, c.Header.Get(s.headers.LastEventID))
			mu.Lock()
			arrivals = append(arrivals, c.arrived)
			mu.Unlock()
		}
		crashes := isDeadly && trouble
		whole := false
		switch {
		case isDeadly && c.worker.service == "desk":
			whole = c.answerHalf(w, !crashes)
		case crashes && beforeFirst:
			w.Header().Set(s.headers.Seal, "seal-"+c.worker.id)
			w.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(w).Flush()
		default:
			whole = c.stream(w, _deadlyEvents, _deadlyPause, func(int) bool { return !crashes })
		}
		switch {
		case whole:
		case crashes && c.worker.isUp(c.boot):
			time.Sleep(_deadlyPause / 2)
			mu.Lock()
			crashedAt = append(crashedAt, time.Now())
			mu.Unlock()
			c.worker.crash()
			time.AfterFunc(_deadlyRestart, func() { _ = c.worker.start("v1") })
			panic(http.ErrAbortHandler)
		default:
			panic(http.ErrAbortHandler)
		}
	}
	for _, service := range []string{"scribe", "desk"} {
		if err := s.addWorkers(service, 6, 24, serve); err != nil {
			return verdict{}, err
		}
	}
	if err := s.addEntries(3); err != nil {
		return verdict{}, err
	}
	sound, served := s.sendMixed(deadly)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashedAt) >= enough {
		for _, at := range arrivals {
			if at.After(crashedAt[enough-1].Add(_contact)) {
				late++
			}
		}
	}
	return verdict{broken: late > _lateAllowed, text: fmt.Sprintf("%d crashes; of %d arrivals %d came later than contactMs after crash %d (at most %d allowed); %d of %d sound requests were served",
		len(crashedAt), len(arrivals), late, enough, _lateAllowed, served, sound)}, nil
}

// answerHalf writes the first half of an answer with a length and, if asked, the rest.
func (c *call) answerHalf(w http.ResponseWriter, rest bool) bool {
	w.Header().Set(c.worker.site.headers.Seal, "seal-"+c.worker.id)
	w.Header().Set("Content-Length", "200")
	_, _ = w.Write(make([]byte, 100))
	_ = http.NewResponseController(w).Flush()
	if rest {
		_, _ = w.Write(make([]byte, 100))
	}
	return rest
}

// sendMixed sends deadly and sound requests for _deadlyTime.
func (s *site) sendMixed(deadly func(n int) *request) (sound, served int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(_deadlyTime)
	group.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			group.Go(func() { s.send(s.entries[n%len(s.entries)], deadly(n)) })
			time.Sleep(_deadlyInterval)
		}
	})
	for n := 0; time.Now().Before(end); n++ {
		group.Go(func() {
			a := s.send(s.entries[n%len(s.entries)], &request{
				method: http.MethodPost, path: fmt.Sprintf("/check/%d", n), body: fmt.Sprintf("guest %d", n), deadline: 6 * time.Second,
				prompt: fmt.Sprintf("aa01:100,%x:100", 0xb000+n), tokens: 200,
			})
			mu.Lock()
			defer mu.Unlock()
			sound++
			if a.whole && a.status == http.StatusOK {
				served++
			}
		})
		time.Sleep(_soundInterval)
	}
	group.Wait()
	return sound, served
}
