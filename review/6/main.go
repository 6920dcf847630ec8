// Command 6 plays workers that leave and are slow to act on a call: the last move of a run is asked for, and the
// worker stops the run a second later. The streams have neither a length nor chunks.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"apricotproxy/review/rig"
)

const (
	_workers = 6
	// _leaving workers leave one after the other: a share of .17, one of 6, at a time, as scale_in of the site file.
	_leaving = 4
	_gap     = 4 * time.Second
	// _stays is how long a worker goes on after it has reported that it leaves: "at times many seconds".
	_stays  = 12 * time.Second
	_prefix = "/draft/"
	// A stream has _events events with _pause between two of them.
	_events   = 120
	_pause    = 100 * time.Millisecond
	_warmUp   = 4 * time.Second
	_calm     = 3 * time.Second
	_length   = 24 * time.Second
	_request  = 150 * time.Millisecond
	_deadline = 39 * time.Second
	// _delay is how long a worker takes until it acts on the last move: "a second or so".
	_delay = time.Second
)

type run struct {
	record *rig.Record
	site   *rig.Site

	mu sync.Mutex
	// running holds the runs that go on, by the worker's ID and the request's; true for those that are to
	// stop.
	running map[string]bool
	// lastMoves counts the calls to stop a run.
	lastMoves int
	// whole, short and cut count the clients' streams: complete with all events, complete with some
	// missing, and not complete.
	whole, short, cut, other int
}

func main() { os.Exit(rig.Main("review/6/record.txt", play)) }

func play(record *rig.Record) (int, error) {
	r := &run{record: record, running: make(map[string]bool)}
	scribe := rig.ScribeService()
	scribe.Engine.Moves = true
	var err error
	r.site, err = rig.NewSite(&rig.Configuration{
		Version: 1, Limits: rig.SiteLimits, Tenants: rig.Tenants(), Services: []rig.Service{scribe},
		Routes: []rig.Route{{Name: "card-set-draft", Host: rig.HostName, Prefix: _prefix, Kind: "streaming", TimeoutMs: 39000, GoalMs: 1800, Priority: 1, Service: "scribe",
			MaxAttempts: 1, Sticky: true, GapTargetMs: 180}},
	}, 134, rig.Pool{Count: _workers, Settings: rig.WorkerSettings{Service: "scribe", Slots: 24, Handle: r.handle, Move: r.move}})
	if err != nil {
		return 0, err
	}
	defer r.site.Close()
	time.Sleep(_warmUp)
	var group sync.WaitGroup
	begun := time.Now()
	group.Go(func() {
		time.Sleep(_calm)
		for i := range _leaving {
			record.Printf("worker %s leaves", r.site.Workers[i].ID())
			r.site.Workers[i].Drain(_stays)
			time.Sleep(_gap)
		}
	})
	for n := 0; time.Since(begun) < _length; n++ {
		group.Go(func() { r.send(n) })
		time.Sleep(_request)
	}
	group.Wait()
	return r.judge(), nil
}

// handle writes a stream until its end, or until the run is stopped.
func (r *run) handle(w *rig.Worker, c *rig.Call) {
	first := 0
	if last, err := strconv.Atoi(c.Header.Get(rig.Headers.LastEventID)); err == nil {
		first = last + 1
	}
	time.Sleep(20 * time.Millisecond)
	key := w.ID() + " " + c.ID
	r.begin(key)
	defer r.end(key)
	c.BeginUnframed(c.Seal())
	defer c.Close()
	for id := first; id < _events; id++ {
		if r.isToStop(key) {
			r.record.Printf("worker %s stops %s after event %d", w.ID(), c.ID, id-1)
			return
		}
		if !c.UnframedEvent(id, w.ID()) {
			return
		}
		time.Sleep(_pause)
	}
}

func (r *run) begin(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[key] = false
}

func (r *run) end(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, key)
}

func (r *run) isToStop(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[key]
}

// stop has a run stop, and reports whether there is one.
func (r *run) stop(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, isRunning := r.running[key]; !isRunning {
		return false
	}
	r.running[key] = true
	r.lastMoves++
	return true
}

// move copies a run's memory. The last move stops the run first.
func (r *run) move(w *rig.Worker, c *rig.Call) {
	var call struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	_ = json.Unmarshal(c.Body, &call)
	r.record.Printf("worker %s is asked to move %s to %s, last %v", w.ID(), call.ID, call.To, call.Last)
	if call.Last {
		if rig.HasTrouble() {
			time.Sleep(delay())
		}
		if !r.stop(w.ID() + " " + call.ID) {
			c.Answer(http.StatusNotFound, "{}", "Content-Type: application/json")
			return
		}
	}
	time.Sleep(5 * time.Millisecond)
	c.Answer(http.StatusOK, `{"handle":"h-`+call.ID+`","created":1}`, "Content-Type: application/json")
}

// delay is how long a worker takes until it acts on the last move.
func delay() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("DELAY")); err == nil {
		return d
	}
	return _delay
}

func (r *run) send(n int) {
	host := r.site.Fleet.Hosts[n%len(r.site.Fleet.Hosts)]
	reply := rig.SendStream(host.Front, &rig.Request{
		Method: http.MethodPost, Target: fmt.Sprintf("%s%d", _prefix, n), HostName: rig.HostName, Body: fmt.Append(nil, "cards ", n), Deadline: _deadline,
		Header: map[string]string{"Api-Key": rig.APIKey, rig.Headers.Model: "m", rig.Headers.Tokens: "300,480", rig.Headers.Parts: fmt.Sprintf("5c1e07a2:200,%08x:100", 0xb0000+n)},
	}, "", 0)
	var ids []string
	for _, e := range reply.Events {
		ids = append(ids, strconv.Itoa(e.ID))
	}
	last := ""
	if len(ids) > 0 {
		last = ids[len(ids)-1]
	}
	r.record.Printf("request %s to %s: status %d, %d events, the last one %s, complete %v, %v", reply.ID, host.Name, reply.Status, len(reply.Events), last, reply.Complete, reply.Err)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case reply.Complete && len(reply.Events) == _events:
		r.whole++
	case reply.Complete:
		r.short++
	case len(reply.Events) > 0:
		r.cut++
	default:
		r.other++
	}
}

func (r *run) judge() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Conclude("%d streams ended as complete before their last event (any breaks ORDER); %d were whole, %d were broken off, %d did not begin; %d last moves",
		r.short, r.whole, r.cut, r.other, r.lastMoves)
	if r.short > 0 {
		return rig.Broken
	}
	return rig.Held
}
