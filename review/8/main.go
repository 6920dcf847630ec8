// Command 8 plays workers that are in need for a moment: they turn requests away and say when to come back,
// and how many requests they take from all machines together: LIMIT, a very large number by default.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"apricotproxy/review/rig"
)

const (
	_workers = 4
	// _limit is the decimal number that the workers name.
	_limit = "10000000000"
	// _retryAfter is how long a worker wants nothing, in seconds.
	_retryAfter = "0.5"
	_warmUp     = 5 * time.Second
	// The workers are in need for _need, _calm after the load began.
	_calm     = 5 * time.Second
	_need     = time.Second
	_length   = 20 * time.Second
	_pause    = 30 * time.Millisecond
	_work     = 60 * time.Millisecond
	_timeout  = 2 * time.Second
	_deadline = 4 * time.Second
	// _late is how long after its route's timeoutMs a request must have its answer.
	_late = 500 * time.Millisecond
)

type run struct {
	record *rig.Record
	site   *rig.Site
	inNeed atomic.Bool

	mu sync.Mutex
	// sent counts all requests, answered those with any answer; unanswered are those that had none at their
	// route's timeoutMs, and late those that had none half a second later.
	sent, answered, served, unanswered, late int
}

func main() { os.Exit(rig.Main("review/8/record.txt", play)) }

func play(record *rig.Record) (int, error) {
	r := &run{record: record}
	var err error
	r.site, err = rig.NewSite(&rig.Configuration{
		Version: 1, Limits: rig.SiteLimits, Tenants: rig.Tenants(), Services: []rig.Service{rig.DeskService()},
		Routes: []rig.Route{{Name: "roster-lookup", Host: rig.HostName, Prefix: "/roster/", Kind: "idempotent", TimeoutMs: int(_timeout.Milliseconds()), GoalMs: 300, Priority: 2,
			Service: "card-desk", MaxAttempts: 2}},
	}, 134, rig.Pool{Count: _workers, Settings: rig.WorkerSettings{Service: "card-desk", Slots: 6, Handle: r.handle}})
	if err != nil {
		return 0, err
	}
	defer r.site.Close()
	time.Sleep(_warmUp)
	if rig.HasTrouble() {
		time.AfterFunc(_calm, func() {
			record.Printf("the workers are in need")
			r.inNeed.Store(true)
			time.Sleep(_need)
			r.inNeed.Store(false)
			record.Printf("the workers are no longer in need")
		})
	}
	var group sync.WaitGroup
	end := time.Now().Add(_length)
	for n := 0; time.Now().Before(end); n++ {
		group.Go(func() { r.send(n) })
		time.Sleep(_pause)
	}
	group.Wait()
	for _, h := range r.site.Fleet.Hosts {
		record.Conclude("%s runs: %v, says that it is ready: %v", h.Name, h.Lives(), h.IsReady())
	}
	return r.judge(), nil
}

func (r *run) handle(w *rig.Worker, c *rig.Call) {
	if r.inNeed.Load() {
		r.record.Printf("worker %s turns %s away", w.ID(), c.ID)
		c.Answer(http.StatusServiceUnavailable, "", rig.Headers.NotRun+": 1", "Retry-After: "+_retryAfter, rig.Headers.RateLimit+": "+limit())
		return
	}
	time.Sleep(_work)
	c.Answer(http.StatusOK, "found "+c.ID, c.Seal())
}

func limit() string {
	if text := os.Getenv("LIMIT"); text != "" {
		return text
	}
	return _limit
}

func (r *run) send(n int) {
	host := r.site.Fleet.Hosts[n%len(r.site.Fleet.Hosts)]
	reply := rig.Send(host.Front, &rig.Request{Method: http.MethodGet, Target: fmt.Sprintf("/roster/%d", n), HostName: rig.HostName, Deadline: _deadline,
		Header: map[string]string{"Api-Key": rig.APIKey}})
	r.record.Printf("request %s to %s: status %d after %v, %v", reply.ID, host.Name, reply.Status, reply.Took.Round(time.Millisecond), reply.Err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if reply.Status != 0 {
		r.answered++
	}
	if reply.Status == http.StatusOK {
		r.served++
	}
	if reply.Took >= _timeout {
		r.unanswered++
	}
	if reply.Took >= _timeout+_late {
		r.late++
	}
}

func (r *run) judge() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Conclude("%d requests, %d answered, %d served; %d had no answer at their route's timeoutMs, %d of them had none half a second later (more than half breaks CONFIG)",
		r.sent, r.answered, r.served, r.unanswered, r.late)
	if 2*r.late > r.unanswered {
		return rig.Broken
	}
	return rig.Held
}
