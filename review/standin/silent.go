package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// One worker falls silent for a short time in the middle of its streams, and goes on. It is one of
// those that do not drop a request when its connection closes.
const (
	_draftEvents   = 60
	_draftPause    = 100 * time.Millisecond
	_draftInterval = 250 * time.Millisecond
	_silence       = 1700 * time.Millisecond
	_overlap       = 400 * time.Millisecond
)

// draftRun is a run of a request at a worker.
type draftRun struct {
	worker     string
	from       string
	begun, end time.Time
}

func runSilent(s *site, trouble bool) (verdict, error) {
	var mu sync.Mutex
	runs := make(map[string][]*draftRun)
	var silentAt time.Time
	serve := func(w http.ResponseWriter, c *call) {
		r := &draftRun{worker: c.worker.id, from: c.Header.Get(s.headers.ContinueFrom), begun: time.Now()}
		s.note("worker %s runs %s from %s, copy %q, after event %q, backup %q", r.worker, c.id, c.entry, r.from, c.Header.Get(s.headers.LastEventID), c.Header.Get(s.headers.Backup))
		mu.Lock()
		runs[c.id] = append(runs[c.id], r)
		mu.Unlock()
		defer func() {
			mu.Lock()
			defer mu.Unlock()
			r.end = time.Now()
			s.note("worker %s stops work on %s", r.worker, c.id)
		}()
		first := 0
		if last, err := strconv.Atoi(c.Header.Get(s.headers.LastEventID)); err == nil {
			first = last + 1
		}
		w.Header().Set(s.headers.Seal, "seal-"+c.worker.id)
		w.Header().Set("Content-Type", "text/event-stream")
		isSilent := c.worker.id == "i-0001"
		drops := !isSilent || os.Getenv("DROPS") == "1"
		for n := first; n < _draftEvents; n++ {
			time.Sleep(_draftPause)
			mu.Lock()
			at := silentAt
			mu.Unlock()
			if rest := time.Until(at.Add(_silence)); isSilent && !at.IsZero() && rest > 0 {
				time.Sleep(rest)
			}
			if drops && c.Context().Err() != nil {
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
			_ = http.NewResponseController(w).Flush()
		}
	}
	if err := s.addWorkers("scribe", 4, 24, serve); err != nil {
		return verdict{}, err
	}
	if err := s.addEntries(3); err != nil {
		return verdict{}, err
	}
	var group sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	if trouble {
		time.AfterFunc(5*time.Second, func() {
			mu.Lock()
			defer mu.Unlock()
			silentAt = time.Now()
			s.note("worker i-0001 falls silent")
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		group.Go(func() {
			s.send(s.entries[n%len(s.entries)], &request{
				method: http.MethodPost, path: fmt.Sprintf("/draft/%d", n), body: fmt.Sprintf("guest %d", n), deadline: 39 * time.Second,
				prompt: fmt.Sprintf("aa01:100,%x:100", 0xb000+n), tokens: 200,
			})
		})
		time.Sleep(_draftInterval)
	}
	group.Wait()
	time.Sleep(_silence)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, all := range runs {
		for i := 1; i < len(all); i++ {
			before := all[i-1]
			if before.end.IsZero() || before.end.After(all[i].begun.Add(_overlap)) {
				twice++
				s.note("TWICE %s: %s still worked on it %v after %s went on", id, before.worker, before.end.Sub(all[i].begun), all[i].worker)
			}
		}
	}
	return verdict{broken: twice > 0, text: fmt.Sprintf("%d drafts; %d went on elsewhere while the worker before still worked on them %v later", len(runs), twice, _overlap)}, nil
}
