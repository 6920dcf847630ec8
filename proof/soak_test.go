package proof_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"apricotproxy/fakes/addrs"
	"apricotproxy/fakes/routed"
)

// The soak runs hosts for routed requests as processes under a series of signals, restarts and
// changes that overlap. Their endpoints leave, name rate limits and end at certain requests.
// The series is drawn from the seed before the run.

const (
	_soakDuration = 20 * time.Second
	// _soakSettle is the time after the last fault by which all hosts serve again.
	_soakSettle    = 6 * time.Second
	_soakInterval  = 700 * time.Millisecond
	_soakStopGrace = 6 * time.Second
	_soakCallers   = 4 // of each host
	// _soakContact is the time after which hosts know what others know. A host that was
	// killed, stopped or frozen less than that ago is excused.
	_soakContact = 3 * time.Second
	// The users' bounds for rate limits, requests that crash endpoints, and lost answers.
	_soakLimitWindow = 4 * time.Second
	_soakLimitFactor = 1.5
	_soakLimitExtra  = 5
	_soakMinCrashes  = 3
	_soakMaxLate     = 3
	_soakMaxLost     = 3
)

// soakFault is one fault of a series. target selects a host or an endpoint, length is how long
// it lasts where it has a duration.
type soakFault struct {
	at     time.Duration
	kind   string // see soakRun.inject
	target int
	length time.Duration
}

func drawSoak(seed uint64) []soakFault {
	random := rand.New(rand.NewPCG(seed, 7))
	kinds := []string{"kill", "stop", "freeze", "hangup", "change", "limit", "limit", "poison", "leave", "pair"}
	var faults []soakFault
	for at := 3 * time.Second; at < _soakDuration-_soakSettle; at += time.Duration(random.Int64N(int64(2 * _soakInterval))) {
		f := soakFault{at: at, kind: kinds[random.IntN(len(kinds))], target: random.IntN(1 << 16), length: time.Duration(500+random.IntN(3000)) * time.Millisecond}
		if f.kind == "pair" { // a host is stopped while the next one is killed
			faults = append(faults, soakFault{at: at, kind: "stop", target: f.target})
			f.kind, f.target = "kill", f.target+1
		}
		faults = append(faults, f)
	}
	return faults
}

type soakArrival struct {
	at   time.Time
	host int
}

type soakEndpoint struct {
	*routed.Endpoint

	name    string
	build   string
	leaving bool
	// limit is the rate limit that it names since limitAt; 0 for none.
	limit    float64
	limitAt  time.Time
	arrivals []soakArrival
}

type soakHost struct {
	command                 *exec.Cmd
	exited                  chan struct{} // closed when its process has ended
	exitError               error
	caller, ready, peer, hb string
	file                    string
	// disturbed holds the start and the end of each kill, stop, start and freeze.
	disturbed [][2]time.Time
	stopping  bool
	// stopDue is true from shortly before a stop.
	stopDue bool
	// disrupted holds those of them that were not planned; terminated and hangups its signals.
	disrupted           [][2]time.Time
	terminated, hangups []time.Time

	logMu sync.Mutex
	lines []string // of its log
}

// soakRun is the state of one series.
type soakRun struct {
	t        *testing.T
	binary   string
	deadline context.Context

	mu         sync.Mutex
	hosts      []*soakHost
	endpoints  []*soakEndpoint
	started    int
	changes    int
	violations []string
	// runs counts the runs of each request by its ID, answered holds those that an endpoint
	// answered to the end, notRun those that a host reported as not run.
	runs     map[string]int
	answered map[string]bool
	notRun   map[string]bool
	// poison holds the arrivals of requests that crash endpoints, by path.
	poison map[string][]soakArrival
	// lost holds requests whose caller got no answer although an endpoint had answered.
	lost   []soakArrival
	served int
	feeds  soakFeeds
	// engines and notes are those of soak_note_test.go.
	engines []*soakEndpoint
	notes   soakNotes
	// stops counts planned stops, late the answers to requests that came late in them.
	stops int
	late  map[string]int
	// longs, aside and the rest are those of soak_stop_test.go.
	longs soakLongs
	aside sync.WaitGroup
	seed  uint64
	begun time.Time
}

func (r *soakRun) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// excused reports whether a host was disturbed in a time before and until a moment.
func (h *soakHost) excused(from, until time.Time) bool {
	return slices.ContainsFunc(h.disturbed, func(d [2]time.Time) bool {
		return d[0].Before(until) && (d[1].IsZero() || d[1].After(from))
	})
}

// disturb notes a disturbance of a host and returns the function that ends it.
func (r *soakRun) disturb(h *soakHost) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.disturbed = append(h.disturbed, [2]time.Time{time.Now()})
	i := len(h.disturbed) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		h.disturbed[i][1] = time.Now()
	}
}

// disrupt is disturb for what was not planned.
func (r *soakRun) disrupt(h *soakHost) (end func()) {
	endDisturbed := r.disturb(h)
	r.mu.Lock()
	defer r.mu.Unlock()
	h.disrupted = append(h.disrupted, [2]time.Time{time.Now()})
	i := len(h.disrupted) - 1
	return func() {
		endDisturbed()
		r.mu.Lock()
		defer r.mu.Unlock()
		h.disrupted[i][1] = time.Now()
	}
}

// writeFiles writes the site's file for each host.
func (r *soakRun) writeFiles() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var common strings.Builder
	for kind, extra := range map[string]string{
		"order": "Kind = NonIdempotent", "lookup": "Kind = Idempotent\nMaxAttempts = 2", "draft": "Kind = Streaming", "feed": "Kind = Streaming\nResumable = true\nMaxAttempts = 2",
	} {
		fmt.Fprintf(&common, "[Routes %s]\nHostName = h\nPrefix = /%s/\n%s\nServices = desk\nTimeout = 3s\nGoal = 300ms\nGapGoal = 200ms\n", kind, kind, extra)
	}
	for i := range r.changes {
		fmt.Fprintf(&common, "[Routes more-%d]\nHostName = h\nPrefix = /more%d/\nKind = Idempotent\nServices = desk\n", i, i)
	}
	common.WriteString("[Routes note]\nHostName = h\nPrefix = /note/\nKind = Streaming\nServices = writer\nTimeout = 6s\nGoal = 300ms\nGapGoal = 200ms\nGenerates = true\n")
	common.WriteString("[Services writer]\nSlots = 12\nMemoryTokens = 100000\nEventTokens = 1\nBackups = true\nMoves = true\n")
	for _, e := range r.engines {
		fmt.Fprintf(&common, "[Endpoints %s]\nService = writer\nAddress = %s\nDataCentre = a\nBuild = %s\nSlots = 12\n", e.name, e.Address, e.build)
	}
	for kind, extra := range map[string]string{"tale": "Kind = Streaming", "saga": "Kind = Streaming\nResumable = true\nMaxAttempts = 2", "memo": "Kind = NonIdempotent"} {
		fmt.Fprintf(&common, "[Routes %s]\nHostName = h\nPrefix = /%s/\n%s\nServices = long\nTimeout = %v\nGoal = 10s\nGapGoal = 2s\n", kind, kind, extra, _soakLongTimeout)
	}
	common.WriteString("[Services long]\n")
	for _, e := range r.longs.endpoints {
		fmt.Fprintf(&common, "[Endpoints %s]\nService = long\nAddress = %s\nDataCentre = a\nBuild = %s\nSlots = 60\nLeaving = %t\n", e.name, e.Address, e.build, e.leaving)
	}
	common.WriteString("[Services desk]\n")
	for _, e := range r.endpoints {
		fmt.Fprintf(&common, "[Endpoints %s]\nService = desk\nAddress = %s\nDataCentre = a\nBuild = %s\nSlots = 6\nLeaving = %t\n", e.name, e.Address, e.build, e.leaving)
	}
	for i, h := range r.hosts {
		text := fmt.Sprintf("[Host]\nName = host-%d\nDataCentre = %c\nCallerAddress = %s\nReadyAddress = %s\nPeerAddress = %s\nHeartbeatAddress = %s\nSeeds = %s,%s\nStopGrace = %v\n%s",
			i, 'a'+i%2, h.caller, h.ready, h.peer, h.hb, r.hosts[0].hb, r.hosts[1].hb, _soakStopGrace, common.String())
		if err := errors.Join(os.WriteFile(h.file+".new", []byte(text), 0o600), os.Rename(h.file+".new", h.file)); err != nil {
			r.violations = append(r.violations, err.Error())
		}
	}
}

// startHost starts a host's process. What it logs of broken promises and panics is a violation.
func (r *soakRun) startHost(i int) {
	h := r.hosts[i]
	command := exec.Command(r.binary, "route", "--site-file", h.file, "--metrics-address", "")
	out, err := command.StdoutPipe()
	if err != nil {
		r.violate("%v", err)
		return
	}
	command.Stderr = command.Stdout
	if err := command.Start(); err != nil {
		r.violate("%v", err)
		return
	}
	exited := make(chan struct{})
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			h.logMu.Lock()
			h.lines = append(h.lines, lines.Text())
			h.logMu.Unlock()
			if line := lines.Bytes(); bytes.Contains(line, []byte("A promise is broken")) || bytes.HasPrefix(line, []byte("panic:")) {
				r.violate("host %d: %s", i, line)
			}
		}
		err := command.Wait()
		r.mu.Lock()
		h.exitError = err
		r.mu.Unlock()
		close(exited)
	}()
	r.mu.Lock()
	h.command, h.exited, h.stopping, h.stopDue = command, exited, false, false
	r.mu.Unlock()
}

// inject carries out one fault.
func (r *soakRun) inject(f soakFault) {
	i := f.target % len(r.hosts)
	h := r.hosts[i]
	r.mu.Lock()
	command, exited, stopping := h.command, h.exited, h.stopping || h.stopDue
	if f.kind == "stop" {
		h.stopDue = true
	}
	var e *soakEndpoint
	if n := len(r.endpoints); n > 0 {
		e = r.endpoints[f.target%n]
	}
	r.mu.Unlock()
	switch f.kind {
	case "kill", "stop", "freeze", "hangup":
		if stopping {
			return
		}
	case "limit", "leave":
		if e == nil { // all have crashed, and others have not started yet
			return
		}
	}
	switch f.kind {
	case "kill":
		defer r.disrupt(h)()
		_ = command.Process.Kill()
		<-exited
		r.startHost(i)
	case "stops": // again right after its start
		for range 2 {
			f.kind = "stop"
			r.inject(f)
			time.Sleep(f.length)
		}
	case "stop":
		r.mu.Lock()
		r.stops++
		stop := r.stops
		r.mu.Unlock()
		r.disturbStop(command.Process, i, stop)
		defer r.disturb(h)()
		r.mu.Lock()
		h.stopping = true
		h.terminated = append(h.terminated, time.Now())
		r.mu.Unlock()
		_ = command.Process.Signal(syscall.SIGTERM)
		r.sendLate(i, stop)
		if !r.awaitExit(h, exited, time.Now()) {
			r.violate("host %d still runs after its time to stop:\n%s", i, h.lastLines())
			_ = command.Process.Kill()
			<-exited
		} else if err := h.exitError; err != nil {
			r.violate("host %d ended a planned stop with %v", i, err)
		}
		r.startHost(i)
	case "freeze":
		defer r.disrupt(h)()
		_ = command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(f.length)
		_ = command.Process.Signal(syscall.SIGCONT)
	case "hangup":
		r.hangUp(i, command.Process)
	case "change":
		r.mu.Lock()
		r.changes++
		r.mu.Unlock()
		r.writeFiles()
	case "limit":
		r.mu.Lock()
		if e.limit == 0 {
			e.limit, e.limitAt = 2+float64(f.target%80)/10, time.Now()
		}
		r.mu.Unlock()
		time.Sleep(_soakContact + 2*f.length)
		r.mu.Lock()
		r.checkLimit(e)
		r.mu.Unlock()
	case "poison":
		path := fmt.Sprintf("/%s/poison-%d", [...]string{"lookup", "order"}[f.target%2], f.target)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		for n := range 40 {
			host := (f.target + n) % len(r.hosts)
			r.call(client, host, fmt.Sprintf("lookup-%d-%d-%d", host, 1000+f.target, n*17*29), path)
			time.Sleep(f.length / 10)
		}
	case "leave":
		r.mu.Lock()
		e.leaving = true
		r.mu.Unlock()
		r.writeFiles()
		time.Sleep(_soakContact)
		r.replace(e, 0)
	}
}

// execute carries out the faults while callers send requests, and returns the violations.
func (r *soakRun) execute(seed uint64, hosts, endpoints int) {
	var cancel func()
	r.deadline, cancel = context.WithTimeout(context.Background(), _soakDuration)
	defer cancel()
	folder := r.t.TempDir()
	for i := range hosts {
		r.hosts = append(r.hosts, &soakHost{caller: addrs.Next(), ready: addrs.Next(), peer: addrs.Next(), hb: addrs.Next(), file: filepath.Join(folder, fmt.Sprint(i, ".ini"))})
	}
	if err := r.startEngines(); err != nil {
		r.violate("%v", err)
		return
	}
	for range endpoints {
		r.startEndpoint()
	}
	for range _soakLongEndpoints {
		r.startLong()
	}
	for i := range r.hosts {
		r.startHost(i)
	}
	defer func() {
		for _, h := range r.hosts {
			_ = h.command.Process.Kill()
		}
	}()
	var group sync.WaitGroup
	begun := time.Now()
	r.seed, r.begun = seed, begun
	for _, f := range slices.Concat(drawSoak(seed), drawStops(seed)) {
		group.Go(func() {
			time.Sleep(time.Until(begun.Add(f.at)))
			r.inject(f)
		})
	}
	for host := range r.hosts {
		group.Go(func() { r.sendNotes(host) })
		// The first long answers of a host's callers begin together, at some hosts late.
		shortFor := time.Duration(rand.New(rand.NewPCG(seed, uint64(100+host))).Int64N(int64(_soakDuration)))
		for caller := range _soakLongCallers {
			group.Go(func() {
				r.callLong(rand.New(rand.NewPCG(seed, uint64(200+10*host+caller))), shortFor, host, caller)
			})
		}
		for caller := range _soakCallers {
			group.Go(func() {
				transport := &http.Transport{}
				defer transport.CloseIdleConnections()
				for n := 0; r.deadline.Err() == nil; n++ {
					kind := [...]string{"order", "lookup", "draft", "feed"}[(caller+n)%4]
					if kind == "feed" {
						r.callFeed(transport, host, caller, n)
						time.Sleep(15 * time.Millisecond)
						continue
					}
					r.call(&http.Client{Transport: transport}, host, fmt.Sprintf("%s-%d-%d-%d", kind, host, caller, n), fmt.Sprintf("/%s/%d-%d-%d", kind, host, caller, n))
					time.Sleep(15 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	r.aside.Wait()
	for host := range r.hosts {
		before := r.served
		for n := range 100 {
			if r.call(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, host, fmt.Sprintf("lookup-%d-99-%d", host, 4+n*17*29), fmt.Sprint("/lookup/last", host)); r.served > before {
				break
			}
		}
		if r.served == before {
			r.violate("host %d does not serve at the end", host)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkPoison()
	running, wentOn := r.notes.check()
	r.violations = append(r.violations, running...)
	r.t.Logf("%d notes, %d went on at another engine; %d stops, answers to late requests: %v, to long ones: %v", len(r.notes.runs), wentOn, r.stops, r.late, r.longs.ends)
	if n := len(r.lost); n > _soakMaxLost {
		r.violations = append(r.violations, fmt.Sprintf("%d requests without an answer that endpoints had answered, at hosts that were stopped", n))
	}
	for id := range r.notRun {
		if r.runs[id] > 0 {
			r.violations = append(r.violations, id+" ran although a host reported it as not run")
		}
	}
}

// TestSoak runs SEEDS series of faults, one in five of CI's. Set SOAK_SEED for one of them and
// SOAK_HOSTS for another number of hosts than four.
func TestSoak(t *testing.T) {
	seeds := max(requireSeeds(t)/5, 1)
	binary := filepath.Join(t.TempDir(), "apricotproxy")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "apricotproxy/cmd/apricotproxy").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	hosts, first := 4, 0
	_, _ = fmt.Sscan(os.Getenv("SOAK_HOSTS"), &hosts)
	if _, err := fmt.Sscan(os.Getenv("SOAK_SEED"), &first); err == nil {
		seeds = 1
	}
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := &soakRun{
				t: t, binary: binary, runs: make(map[string]int), answered: make(map[string]bool), notRun: make(map[string]bool),
				poison: make(map[string][]soakArrival), late: make(map[string]int),
				longs: soakLongs{runs: make(map[string]*soakLongRun), ends: make(map[string]int)},
			}
			r.execute(uint64(seed), hosts, hosts+2)
			for _, violation := range r.violations {
				t.Error(violation)
			}
			r.feeds.check(t)
			t.Logf("%d requests served, faults %v", r.served, drawSoak(uint64(seed)))
			if r.served < 100 {
				t.Error("fewer than 100 requests were served")
			}
		})
	}
}
