// Command 7 plays a release: workers of one software version are replaced by those of another one, one after
// the other. During it all entry hosts are killed at the same moment, and clients take up their streams.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"apricotproxy/review/rig"
)

const (
	_workers = 8
	// _replaced workers are replaced, a share of .5, with _gap between two of them: release of the bench's kinds.
	_replaced = 4
	_gap      = time.Second
	// _drain is how long a worker goes on after it has reported that it leaves: drainMs and a little longer.
	_drain = 2300 * time.Millisecond
	// _sessions ask for something short; of those that the new version answered _longStreams ask for something long.
	_sessions    = 480
	_longStreams = 150
	_prefix      = "/check/"
	// _deadline and _pause are those of a stream; a long one has _longEvents events.
	_deadline    = 6 * time.Second
	_pause       = 100 * time.Millisecond
	_shortEvents = 2
	_longEvents  = 42
	// _down is how long a host that was killed is away: herd_kill of the site file.
	_down       = 2 * time.Second
	_retryPause = 250 * time.Millisecond
	// _tries is how often a client sends a request: "a few times".
	_tries       = 3
	_minTimeLeft = 300 * time.Millisecond
	// _allowed is the rule's "more than two streams".
	_allowed = 2
	// _beforeDrain is when the first worker drains that long streams run on.
	_beforeDrain = 500 * time.Millisecond
)

type run struct {
	record *rig.Record
	site   *rig.Site

	mu sync.Mutex
	// fresh are the sessions whose first request the new version answered.
	fresh                        []int
	mixed, taken, refused, whole int
}

func main() { os.Exit(rig.Main("review/7/record.txt", play)) }

func settings(version string) rig.WorkerSettings {
	return rig.WorkerSettings{Service: "scribe", Slots: 24, Version: version, Handle: func(w *rig.Worker, c *rig.Call) { handle(w, c, version) }}
}

func play(record *rig.Record) (int, error) {
	r := &run{record: record}
	var err error
	r.site, err = rig.NewSite(&rig.Configuration{
		Version: 1, Limits: rig.SiteLimits, Tenants: rig.Tenants(), Services: []rig.Service{rig.ScribeService()},
		Routes: []rig.Route{{Name: "name-check", Host: rig.HostName, Prefix: _prefix, Kind: "streaming", TimeoutMs: 6000, GoalMs: 1500, Service: "scribe",
			MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMs: 180}},
	}, 134, rig.Pool{Count: _workers, Settings: settings("v1")})
	if err != nil {
		return 0, err
	}
	defer r.site.Close()
	time.Sleep(4 * time.Second)
	old := r.site.Workers[:_workers]
	// The release begins: the new worker starts first, the old one drains.
	for i := range _replaced / 2 {
		if err := r.replace(old[i], i); err != nil {
			return 0, err
		}
		time.Sleep(_gap)
	}
	time.Sleep(_drain)
	// Each session asks for something short first.
	var group sync.WaitGroup
	for n := range _sessions {
		group.Go(func() { r.session(n, _shortEvents) })
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	// Then for something long. The release goes on meanwhile, and all hosts are killed.
	fresh := r.answeredByNew()
	for _, n := range fresh[:min(len(fresh), _longStreams)] {
		group.Go(func() { r.session(n, _longEvents) })
	}
	time.Sleep(_beforeDrain)
	for i := _replaced / 2; i < _replaced; i++ {
		if err := r.replace(old[i], i); err != nil {
			return 0, err
		}
		time.Sleep(_gap)
	}
	if rig.HasTrouble() {
		r.killAll()
	}
	group.Wait()
	return r.judge(), nil
}

// replace starts a worker of the new version and has an old one drain.
func (r *run) replace(old *rig.Worker, n int) error {
	fresh := settings("v2")
	fresh.Store, fresh.Zone = r.site.Store, old.Settings.Zone
	w, err := rig.StartWorker(fmt.Sprintf("n%d", n), fresh)
	if err != nil {
		return err
	}
	r.site.Workers = append(r.site.Workers, w)
	r.record.Printf("worker %s of v2 has started, %s of v1 drains", w.ID(), old.ID())
	old.Drain(_drain)
	return nil
}

// killAll kills all hosts at the same moment; they are started again.
func (r *run) killAll() {
	r.record.Printf("all hosts are killed")
	var group sync.WaitGroup
	for _, h := range r.site.Fleet.Hosts {
		group.Go(h.Kill)
	}
	group.Wait()
	time.Sleep(_down)
	if err := r.site.Fleet.Start(); err != nil {
		r.record.Printf("a host could not be started: %v", err)
	}
	r.record.Printf("the hosts are started again")
}

// handle writes a stream, from the event after the last one that the client has.
func handle(w *rig.Worker, c *rig.Call, version string) {
	count, _ := strconv.Atoi(string(c.Body))
	first := 0
	if last, err := strconv.Atoi(c.Header.Get(rig.Headers.LastEventID)); err == nil {
		first = last + 1
	}
	time.Sleep(20 * time.Millisecond)
	c.BeginStream(c.Seal())
	for id := first; id < count; id++ {
		if !c.Event(id, version+" "+w.ID()) {
			return
		}
		time.Sleep(_pause)
	}
	c.EndStream()
}

// session asks for a stream of one session and takes it up when it breaks off. It comes back as the pages
// say: a few times, after the Retry-After of a refusal, and on a new connection each time.
func (r *run) session(n, count int) {
	prompt := fmt.Sprintf("5c1e07a2:200,%08x:100", 0xabc000+n)
	end := time.Now().Add(_deadline)
	resumes, last := "", -1
	var events []rig.Event
	for try, tries := 0, 0; tries < _tries && time.Until(end) >= _minTimeLeft; try++ {
		left := time.Until(end)
		host := r.host(n + try)
		reply := rig.SendStream(host.Front, &rig.Request{
			Method: http.MethodPost, Target: fmt.Sprintf("%s%d", _prefix, n), HostName: rig.HostName, Body: []byte(strconv.Itoa(count)), Deadline: left,
			Header: map[string]string{"Api-Key": rig.APIKey, rig.Headers.Model: "m", rig.Headers.Tokens: "300,170", rig.Headers.Parts: prompt},
		}, resumes, last)
		if reply.Status == 0 { // no machine takes connections
			time.Sleep(_retryPause)
			continue
		}
		tries++
		events = append(events, reply.Events...)
		if len(reply.Events) > 0 {
			last = events[len(events)-1].ID
			if resumes == "" {
				resumes = reply.ID
			}
		}
		r.record.Printf("session %d, attempt %s to %s, resumes %q: status %d, events %s, complete %v", n, reply.ID, host.Name, resumes, reply.Status, texts(reply.Events), reply.Complete)
		r.count(tries, &reply)
		if reply.Complete {
			break
		}
		time.Sleep(comeBackIn(&reply, time.Until(end)))
	}
	r.finish(n, events)
}

// comeBackIn returns how long a client waits before it comes back: as it was told, up to a third of the
// time that it has left.
func comeBackIn(reply *rig.StreamReply, left time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(reply.RetryAfter, 64)
	if err != nil {
		return _retryPause
	}
	return min(time.Duration(seconds*float64(time.Second)), left/3)
}

func (r *run) host(n int) *rig.Host { return r.site.Fleet.Hosts[n%len(r.site.Fleet.Hosts)] }

func (r *run) count(tries int, reply *rig.StreamReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case tries > 1 && len(reply.Events) > 0:
		r.taken++
	case reply.Status == http.StatusServiceUnavailable:
		r.refused++
	}
	if reply.Complete {
		r.whole++
	}
}

// texts tells which workers wrote events.
func texts(events []rig.Event) string {
	var parts []string
	for i, e := range events {
		if i == 0 || e.Data != events[i-1].Data {
			parts = append(parts, fmt.Sprintf("from %d %s", e.ID, e.Data))
		}
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

// answeredByNew returns the sessions whose first request the new version answered.
func (r *run) answeredByNew() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Printf("the new version answered the first requests of %d sessions", len(r.fresh))
	return r.fresh
}

// finish counts a stream that holds events of two versions.
func (r *run) finish(n int, events []rig.Event) {
	versions := make(map[string]bool)
	for _, e := range events {
		version, _, _ := strings.Cut(e.Data, " ")
		versions[version] = true
	}
	if len(versions) == 1 && versions["v2"] && len(events) == _shortEvents {
		r.mu.Lock()
		r.fresh = append(r.fresh, n)
		r.mu.Unlock()
	}
	if len(versions) > 1 {
		r.record.Printf("the stream of session %d holds events of two versions: %s", n, texts(events))
		r.mu.Lock()
		r.mixed++
		r.mu.Unlock()
	}
}

func (r *run) judge() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Conclude("%d streams hold events of workers of two software versions (more than %d break ORDER); %d answers complete, %d streams went on after a take-up, %d attempts were refused",
		r.mixed, _allowed, r.whole, r.taken, r.refused)
	if r.mixed > _allowed {
		return rig.Broken
	}
	return rig.Held
}
