// Command 10 plays prompts of which one part crashes each worker that begins to write an answer on it. The IDs
// of the parts are hexadecimal texts of IDLENGTH characters: 64 by default, as of a SHA-256.
package main

import (
	"crypto/sha256"
	"encoding/hex"
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
	_prefix  = "/check/"
	_events  = 8
	_pause   = 30 * time.Millisecond
	_workers = 12
	// _down is how long a worker that crashed is away: "some seconds".
	_down = 3 * time.Second
	// _contact is the settings' contactMs.
	_contact = 3 * time.Second
	_warmUp  = 4 * time.Second
	_length  = 40 * time.Second
	// The rule: more than _allowed requests, sent later than contactMs after the crash of that number.
	_allowed     = 3
	_countedFrom = 5
	_deadline    = 6 * time.Second
	_soundPause  = 50 * time.Millisecond
	_badPause    = 400 * time.Millisecond
	_idLength    = 64
)

type run struct {
	record   *rig.Record
	site     *rig.Site
	idLength int
	badPart  string

	mu sync.Mutex
	// arrivals are those of requests with the part at workers.
	arrivals, crashes []time.Time
	// sent counts the sound requests, whole those that got the whole answer, cut those of which an
	// answer that had begun was broken off.
	sent, whole, cut int
}

func main() { os.Exit(rig.Main("review/10/record.txt", play)) }

func play(record *rig.Record) (int, error) {
	r := &run{record: record, idLength: _idLength}
	if n, err := strconv.Atoi(os.Getenv("IDLENGTH")); err == nil {
		r.idLength = n
	}
	r.badPart = r.part("bad")
	var err error
	r.site, err = rig.NewSite(&rig.Configuration{
		Version: 1, Limits: rig.SiteLimits, Tenants: rig.Tenants(), Services: []rig.Service{rig.ScribeService()},
		Routes: []rig.Route{{Name: "name-check", Host: rig.HostName, Prefix: _prefix, Kind: "streaming", TimeoutMs: 6000, GoalMs: 1500, Service: "scribe",
			MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMs: 180}},
	}, 134, rig.Pool{Count: _workers, Settings: rig.WorkerSettings{Service: "scribe", Slots: 24, Handle: r.handle}})
	if err != nil {
		return 0, err
	}
	defer r.site.Close()
	time.Sleep(_warmUp)
	r.load()
	return r.judge(), nil
}

// part returns the ID of a part of a prompt.
func (r *run) part(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])[:r.idLength]
}

// handle answers a request at a worker, or crashes the worker.
func (r *run) handle(w *rig.Worker, c *rig.Call) {
	isBad := strings.Contains(c.Header.Get(rig.Headers.Parts), r.badPart)
	if isBad {
		r.mu.Lock()
		r.arrivals = append(r.arrivals, c.At)
		r.mu.Unlock()
	}
	time.Sleep(_pause)
	c.BeginStream(c.Seal())
	for id := range _events {
		if !c.Event(id, "name "+c.ID) {
			return
		}
		if isBad {
			r.crash(w, c)
			return
		}
		time.Sleep(_pause)
	}
	c.EndStream()
}

func (r *run) crash(w *rig.Worker, c *rig.Call) {
	time.Sleep(5 * time.Millisecond)
	r.mu.Lock()
	r.crashes = append(r.crashes, time.Now())
	r.mu.Unlock()
	r.record.Printf("worker %s crashes at %s", w.ID(), c.ID)
	name, _, _ := strings.Cut(w.ID(), "-")
	w.Crash(name, _down)
}

// load sends requests for _length, bad ones too with the disruption.
func (r *run) load() {
	var group sync.WaitGroup
	end := time.Now().Add(_length)
	repeat := func(pause time.Duration, isBad bool) {
		for n := 0; time.Now().Before(end); n++ {
			group.Go(func() { r.send(n, isBad) })
			time.Sleep(pause)
		}
	}
	group.Go(func() { repeat(_soundPause, false) })
	if rig.HasTrouble() {
		group.Go(func() { repeat(_badPause, true) })
	}
	group.Wait()
}

func (r *run) send(n int, isBad bool) {
	middle := r.part(fmt.Sprint("subject ", n%40))
	if isBad {
		middle = r.badPart
	}
	prompt := fmt.Sprintf("%s:200,%s:150,%s:100", r.part("shared"), middle, r.part(fmt.Sprint("own ", isBad, n)))
	host := r.site.Fleet.Hosts[n%len(r.site.Fleet.Hosts)]
	reply := rig.SendStream(host.Front, &rig.Request{
		Method: http.MethodPost, Target: fmt.Sprintf("%s%d", _prefix, n), HostName: rig.HostName, Body: fmt.Append(nil, "names ", isBad, n), Deadline: _deadline,
		Header: map[string]string{"Api-Key": rig.APIKey, rig.Headers.Model: "m", rig.Headers.Tokens: "450,32", rig.Headers.Parts: prompt},
	}, "", 0)
	r.record.Printf("request %s to %s, bad %v: status %d, %d events, complete %v, after %v", reply.ID, host.Name, isBad, reply.Status, len(reply.Events), reply.Complete, reply.Took.Round(time.Millisecond))
	if isBad {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	switch {
	case reply.Complete && len(reply.Events) == _events:
		r.whole++
	case len(reply.Events) > 0:
		r.cut++
	}
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
	r.record.Conclude("IDs of %d characters: %d crashes; %d requests with the part reached workers later than contactMs after the fifth crash (more than %d break BUDGET); of %d sound requests %d got the whole answer, %d answers were broken off",
		r.idLength, len(r.crashes), late, _allowed, r.sent, r.whole, r.cut)
	if late > _allowed {
		return rig.Broken
	}
	return rig.Held
}
