// Command 10 plays a request that crashes each worker that begins to run it and that comes again with the
// same path, caller and body, and with another query each time. With SAMEQUERY=1 the query is the same.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"apricotproxy/review/rig"
)

const (
	_workers = 12
	// _down is how long a worker that crashed is away: "some seconds".
	_down = 3 * time.Second
	// _contact is the settings' contactMs.
	_contact = 3 * time.Second
	_warmUp  = 4 * time.Second
	_length  = 40 * time.Second
	// The rule: more than _allowed retries, sent later than contactMs after the crash of that number.
	_allowed     = 3
	_countedFrom = 3
	_deadline    = 4 * time.Second
	_work        = 60 * time.Millisecond
	_soundPause  = 10 * time.Millisecond
	_deadlyPause = 500 * time.Millisecond
	_path        = "/orders/gate"
)

var _deadly = []byte("an order that crashes its worker")

type run struct {
	record *rig.Record

	mu sync.Mutex
	// arrivals are those of the deadly request at workers.
	arrivals, crashes       []time.Time
	sent, answered, dropped int
}

func main() { os.Exit(rig.Main("review/10/record.txt", play)) }

func play(record *rig.Record) (int, error) {
	r := &run{record: record}
	site, err := rig.NewSite(&rig.Configuration{
		Version: 1, Limits: rig.SiteLimits, Tenants: rig.Tenants(), Services: []rig.Service{rig.DeskService()},
		Routes: []rig.Route{{Name: "engrave-order", Host: rig.HostName, Prefix: "/orders/", Kind: "non_idempotent", TimeoutMs: 2000, GoalMs: 300, Priority: 2,
			Service: "card-desk", MaxAttempts: 1}},
	}, 134, rig.Pool{Count: _workers, Settings: rig.WorkerSettings{Service: "card-desk", Slots: 6, Handle: r.handle}})
	if err != nil {
		return 0, err
	}
	defer site.Close()
	time.Sleep(_warmUp)
	r.load(site.Fleet)
	return r.judge(), nil
}

func (r *run) handle(w *rig.Worker, c *rig.Call) {
	if !bytes.Equal(c.Body, _deadly) {
		time.Sleep(_work)
		c.Answer(http.StatusOK, "done "+c.ID, c.Seal())
		return
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, c.At)
	r.crashes = append(r.crashes, time.Now())
	r.mu.Unlock()
	r.record.Printf("worker %s crashes at %s %s", w.ID(), c.ID, c.RequestURI)
	name, _, _ := strings.Cut(w.ID(), "-")
	w.Crash(name, _down)
}

func (r *run) load(fleet *rig.Fleet) {
	var group sync.WaitGroup
	end := time.Now().Add(_length)
	send := func(n int, target string, body []byte, isDeadly bool) {
		host := fleet.Hosts[n%len(fleet.Hosts)]
		reply := rig.Send(host.Front, &rig.Request{Method: http.MethodPost, Target: target, HostName: rig.HostName, Body: body, Deadline: _deadline,
			Header: map[string]string{"Api-Key": rig.APIKey}})
		r.record.Printf("request %s to %s, %s, deadly %v: status %d after %v, %v", reply.ID, host.Name, target, isDeadly, reply.Status, reply.Took.Round(time.Millisecond), reply.Err)
		if isDeadly {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.sent++
		if reply.Status == http.StatusOK {
			r.answered++
		}
		if reply.Status == http.StatusBadGateway {
			r.dropped++
		}
	}
	group.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			group.Go(func() { send(n, fmt.Sprintf("/orders/%d", n), fmt.Appendf(nil, "order %d", n), false) })
			time.Sleep(_soundPause)
		}
	})
	if rig.HasTrouble() {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				target := fmt.Sprintf("%s?sent=%d", _path, n)
				if os.Getenv("SAMEQUERY") == "1" {
					target = _path + "?sent=0"
				}
				group.Go(func() { send(n, target, _deadly, true) })
				time.Sleep(_deadlyPause)
			}
		})
	}
	group.Wait()
}

func (r *run) judge() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := 0
	for _, at := range r.arrivals {
		if len(r.crashes) >= _countedFrom && at.After(r.crashes[_countedFrom-1].Add(_contact)) {
			late++
		}
	}
	r.record.Conclude("%d crashes; the request reached workers %d times later than contactMs after the third crash (more than %d break BUDGET); of %d other orders %d were answered, %d ended with 502",
		len(r.crashes), late, _allowed, r.sent, r.answered, r.dropped)
	if late > _allowed {
		return rig.Broken
	}
	return rig.Held
}
