package proof_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"apricotproxy/fakes/addrs"
	"apricotproxy/fakes/cutoff"
	"apricotproxy/fakes/routed"
)

// Hosts run as processes while their engines fall silent, act late, leave and end, and while hosts and the links between
// them are disturbed. Streams of the route once may not run twice; those of the route feed are taken up by their
// callers at other hosts when they break off. The disturbances are drawn from the seed before the run.

const (
	_endHosts       = 3
	_endEngines     = 4
	_endDropping    = 2 // engines that drop a run when its connection closes
	_endOnceCallers = 15
	_endFeedCallers = 6
	_endTakeUps     = 3
	_endDuration    = 12 * time.Second // of the sending of new streams
	_endDeadline    = 10 * time.Second // of a stream
	_endWarmUp      = 1500 * time.Millisecond
	_endMaxActive   = 3 // disturbances at a time
	_endStopGrace   = 6 * time.Second
	// _endContact is the time after a disturbance of a host or of its link to an engine in which it is not bound.
	_endContact = 3 * time.Second
	// _endUnlistAfter is after how long the site's file no longer names an engine that has ended.
	_endUnlistAfter = 2 * time.Second
	// _endTraceLines bounds the lines of the hosts' logs that are printed for a stream.
	_endTraceLines = 200
)

// endFault is one disturbance.
type endFault struct {
	at, length   time.Duration
	kind         string
	engine, host int
	// cut is what the connections of a disturbance meet, where it has a choice.
	cut cutoff.Kind
	by  time.Duration
}

func (f endFault) String() string {
	return fmt.Sprintf("%v %s engine %d host %d for %v (%v, by %v)", f.at.Round(time.Millisecond), f.kind, f.engine, f.host, f.length, f.cut, f.by)
}

// _endKinds holds the functions that carry out the disturbances, by kind.
var _endKinds = []struct {
	name   string
	inject func(r *endSeries, f endFault)
}{
	{"silent", func(r *endSeries, f endFault) { r.engines[f.engine].silence(f.length) }},
	{"silent, new connections cut", func(r *endSeries, f endFault) {
		r.engines[f.engine].silence(f.length)
		r.cut(r.linksTo(f.engine), [...]cutoff.Kind{cutoff.HangNew, cutoff.RefuseNew}[f.host%2], f.length, false)
	}},
	{"reset", func(r *endSeries, f endFault) { r.resetOpen(r.linksTo(f.engine)) }},
	{"reset, new connections cut", func(r *endSeries, f endFault) {
		r.cut(r.linksTo(f.engine), [...]cutoff.Kind{cutoff.HangNew, cutoff.RefuseNew}[f.host%2], f.length, true)
	}},
	{"half reached", func(r *endSeries, f endFault) { r.cut([]*endLink{r.links[f.host][f.engine]}, f.cut, f.length, false) }},
	{"half reset", func(r *endSeries, f endFault) {
		r.cut([]*endLink{r.links[f.host][f.engine]}, [...]cutoff.Kind{cutoff.HangNew, cutoff.RefuseNew}[f.engine%2], f.length, true)
	}},
	{"late", func(r *endSeries, f endFault) { r.engines[f.engine].delay(f.length, f.by, f.host%2 == 1) }},
	{"late and reset", func(r *endSeries, f endFault) {
		r.engines[f.engine].delay(f.length, f.by, f.host%2 == 1)
		r.resetOpen(r.linksTo(f.engine))
	}},
	{"leaves", func(r *endSeries, f endFault) { r.leave(f) }},
	{"ends", func(r *endSeries, f endFault) { r.restart(f.engine, _endUnlistAfter+f.length) }},
	{"starts again", func(r *endSeries, f endFault) { r.restart(f.engine, f.length/10) }},
	{"host frozen", func(r *endSeries, f endFault) { r.freeze(f) }},
	{"host stopped", func(r *endSeries, f endFault) { r.replace(f.host, syscall.SIGTERM) }},
	{"host killed", func(r *endSeries, f endFault) { r.replace(f.host, syscall.SIGKILL) }},
	{"host cut off", func(r *endSeries, f endFault) { r.cut(r.links[f.host], f.cut, f.length, false) }},
}

func drawEnds(seed uint64) (faults []endFault) {
	random := rand.New(rand.NewPCG(seed, 61))
	kinds := [...]cutoff.Kind{cutoff.Hang, cutoff.Reset, cutoff.HangAccepted, cutoff.ResetAccepted}
	for at := _endWarmUp; at < _endDuration; at += time.Duration(random.Int64N(int64(time.Second))) {
		f := endFault{
			at: at, length: time.Second + time.Duration(random.Int64N(int64(4*time.Second))).Round(time.Millisecond), kind: _endKinds[random.IntN(len(_endKinds))].name,
			engine: random.IntN(_endEngines), host: random.IntN(_endHosts), cut: kinds[random.IntN(len(kinds))],
			by: time.Duration(200+random.IntN(2500)) * time.Millisecond,
		}
		active := 0
		for _, other := range faults {
			if other.at+other.length > at {
				active++
			}
		}
		if active < _endMaxActive {
			faults = append(faults, f)
		}
	}
	return faults
}

// endLink is the link of one host to one engine. Its times are guarded by the lock of its series.
type endLink struct {
	*cutoff.Link

	// busy is locked while the link is cut.
	busy sync.Mutex
	// cuts holds when no bytes passed over the link.
	cuts [][2]time.Time
}

// endCount counts streams of a route, and tries of them that a caller sent to take them up.
type endCount struct{ sent, whole, takeUps, wentOn int }

type endSeries struct {
	*cutRun

	seed    uint64
	begun   time.Time
	ledger  endLedger
	engines []*endEngine
	links   [][]*endLink // of each host
	// changing is locked for an engine that ends, and for a host that is disturbed.
	changing [_endEngines + _endHosts]sync.Mutex

	mu sync.Mutex
	// unlisted and leaving tell what the site's file says of engines; boots counts their starts.
	unlisted, leaving map[int]bool
	boots             [_endEngines]int
	counts            map[string]*endCount
	// causes counts what ended tries, by the route and the cause.
	causes map[string]int
	// whole holds the paths of streams that their callers got as a whole.
	whole map[string]bool
	wrong []string
}

// during records a time in a list for as long as a disturbance lasts.
func (r *endSeries) during(list *[][2]time.Time) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, [2]time.Time{time.Now()})
	i := len(*list) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		(*list)[i][1] = time.Now()
	}
}

func (r *endSeries) linksTo(engine int) (links []*endLink) {
	for _, ofHost := range r.links {
		links = append(links, ofHost[engine])
	}
	return links
}

func (r *endSeries) resetOpen(links []*endLink) {
	for _, link := range links {
		link.ResetOpen()
	}
}

// cut cuts those of some links that are not cut already, and resets their open connections if resets is true.
func (r *endSeries) cut(links []*endLink, kind cutoff.Kind, length time.Duration, resets bool) {
	var group sync.WaitGroup
	for _, link := range links {
		if !link.busy.TryLock() {
			continue
		}
		group.Go(func() {
			defer link.busy.Unlock()
			// Connections of all hosts that are reset while new ones are refused are what the end of an engine looks like.
			if kind != cutoff.HangNew && kind != cutoff.RefuseNew || kind == cutoff.RefuseNew && resets && len(links) == len(r.links) {
				defer r.during(&link.cuts)()
			}
			if err := link.Cut(kind); err != nil {
				r.t.Error(err)
			}
			if resets {
				link.ResetOpen()
			}
			time.Sleep(length)
			if err := link.Restore(); err != nil {
				r.t.Error(err)
			}
		})
	}
	group.Wait()
}

// leave has an engine announce that it leaves, act late on calls, and end.
func (r *endSeries) leave(f endFault) {
	e := r.engines[f.engine]
	if !r.changing[f.engine].TryLock() {
		return
	}
	e.delay(_endDuration, f.by, f.host%2 == 1)
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	r.mu.Lock()
	r.leaving[f.engine] = true
	r.mu.Unlock()
	r.writeFiles()
	time.Sleep(_endContact + f.length)
	r.changing[f.engine].Unlock()
	r.restart(f.engine, f.length)
}

// restart ends an engine and starts it again at its address. It is no longer listed after a while.
func (r *endSeries) restart(engine int, after time.Duration) {
	if !r.changing[engine].TryLock() {
		return
	}
	defer r.changing[engine].Unlock()
	e := r.engines[engine]
	var group sync.WaitGroup
	up := make(chan struct{})
	for _, link := range r.linksTo(engine) {
		if link.busy.TryLock() { // nothing listens while the engine is down
			if err := link.Cut(cutoff.RefuseNew); err != nil {
				r.t.Error(err)
			}
			group.Go(func() {
				defer link.busy.Unlock()
				<-up
				if err := link.Restore(); err != nil {
					r.t.Error(err)
				}
			})
		}
	}
	e.kill()
	unlisted := min(after, _endUnlistAfter)
	time.Sleep(unlisted)
	r.mu.Lock()
	r.unlisted[engine] = after > unlisted
	r.mu.Unlock()
	r.writeFiles()
	time.Sleep(after - unlisted)
	if err := e.start(); err != nil {
		r.t.Error(err)
	}
	r.mu.Lock()
	r.unlisted[engine], r.leaving[engine] = false, false
	r.boots[engine]++
	r.mu.Unlock()
	close(up)
	group.Wait()
	r.writeFiles()
}

func (r *endSeries) freeze(f endFault) {
	if !r.changing[_endEngines+f.host].TryLock() {
		return
	}
	defer r.changing[_endEngines+f.host].Unlock()
	defer r.during(&r.hosts[f.host].disturbed)()
	process := r.hosts[f.host].command.Process
	_ = process.Signal(syscall.SIGSTOP)
	time.Sleep(min(f.length, 4*time.Second))
	_ = process.Signal(syscall.SIGCONT)
}

// replace ends the process of a host by a signal, and starts it again.
func (r *endSeries) replace(host int, signal syscall.Signal) {
	if !r.changing[_endEngines+host].TryLock() {
		return
	}
	defer r.changing[_endEngines+host].Unlock()
	h := r.hosts[host]
	if signal == syscall.SIGKILL {
		defer r.during(&h.disturbed)()
	}
	_ = h.command.Process.Signal(signal)
	select {
	case <-h.exited:
	case <-time.After(_endStopGrace + time.Second):
		r.t.Errorf("host %d still runs after its time to stop", host)
		_ = h.command.Process.Kill()
		<-h.exited
	}
	if err := r.startHost(host); err != nil {
		r.t.Error(err)
	}
}

// writeFiles writes the site's file for each host.
func (r *endSeries) writeFiles() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var common strings.Builder
	common.WriteString("[Services writer]\nSlots = 12\nMemoryTokens = 100000\nEventTokens = 1\nBackups = true\nMoves = true\n")
	for name, keys := range map[string]string{"once": "", "feed": "Resumable = true\nMaxAttempts = 2\n"} {
		fmt.Fprintf(&common, "[Routes %s]\nHostName = h\nPrefix = /%s/\nKind = Streaming\nServices = writer\nTimeout = %v\nGoal = 500ms\nGapGoal = 200ms\nGenerates = true\n%s",
			name, name, _endDeadline, keys)
	}
	for i, e := range r.engines {
		if !r.unlisted[i] {
			fmt.Fprintf(&common, "[Endpoints n%d-%d]\nService = writer\nAddress = %s\nDataCentre = %c\nBuild = v0\nSlots = 12\nLeaving = %t\n", i, r.boots[i], e.address, 'a'+i%2, r.leaving[i])
		}
	}
	for i, h := range r.hosts {
		text := fmt.Sprintf("[Host]\nName = host-%d\nDataCentre = %c\nCallerAddress = %s\nReadyAddress = %s\nPeerAddress = %s\nHeartbeatAddress = %s\nSeeds = %s,%s\nStopGrace = %v\n%s",
			i, 'a'+i%2, h.caller, h.ready, h.peer, h.hb, r.hosts[0].hb, r.hosts[1].hb, _endStopGrace, common.String())
		if err := errors.Join(os.WriteFile(h.file+".new", []byte(text), 0o600), os.Rename(h.file+".new", h.file)); err != nil {
			r.t.Error(err)
		}
	}
}

func (r *endSeries) start() error {
	for i := range _endEngines {
		e := &endEngine{index: i, address: addrs.Next(), drops: i < _endDropping, ledger: &r.ledger}
		if err := e.start(); err != nil {
			return err
		}
		r.t.Cleanup(func() { e.endpoint.Close() })
		r.engines = append(r.engines, e)
		r.endpoints = append(r.endpoints, &routed.Endpoint{Address: e.address})
	}
	for i := range _endHosts {
		r.hosts = append(r.hosts, &soakHost{caller: addrs.Next(), ready: addrs.Next(), peer: addrs.Next(), hb: addrs.Next(), file: filepath.Join(r.folder, fmt.Sprint(i, ".ini"))})
		if err := r.startLinks(i); err != nil {
			return err
		}
		var links []*endLink
		for _, link := range r.cutRun.links[i] {
			links = append(links, &endLink{Link: link})
		}
		r.links = append(r.links, links)
	}
	r.writeFiles()
	for i := range r.hosts {
		if err := r.startHost(i); err != nil {
			return err
		}
	}
	return nil
}

// endTry is what one try of a caller brought.
type endTry struct {
	status int
	text   string
	err    error
}

func (r *endSeries) send(host int, path, id string, headers ...string) (try endTry) {
	ctx, cancel := context.WithTimeout(r.t.Context(), _endDeadline+time.Second)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.hosts[host].caller+path, http.NoBody)
	if err != nil {
		return endTry{err: err}
	}
	message.Host = "h"
	for _, h := range append([]string{"Request-Id: " + id, "Tokens: 100,100", fmt.Sprint("Deadline-Ms: ", _endDeadline.Milliseconds())}, headers...) {
		name, value, _ := strings.Cut(h, ": ")
		message.Header.Set(name, value)
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(message)
	if err != nil {
		return endTry{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return endTry{status: res.StatusCode, text: string(body), err: err}
}

// call asks a host for a stream. A stream of the route feed is taken up at the next hosts when it breaks off.
func (r *endSeries) call(kind string, host, number int) {
	path := fmt.Sprintf("/%s/%d", kind, number)
	whole, total := "", 0
	for total, _ = endEvents(number); strings.Count(whole, "\n\n") < total; {
		whole += cutEvent(path, strings.Count(whole, "\n\n"))
	}
	text, firstID, count := "", "", endCount{sent: 1}
	for n := range 1 + _endTakeUps {
		id := fmt.Sprintf("%s-%d-%d", kind, number, n)
		var headers []string
		if text != "" {
			headers = []string{"Resumes: " + firstID, fmt.Sprint("Last-Event-Id: ", strings.Count(text, "\n\n")-1)}
			count.takeUps++
		}
		try := r.send((host+n)%len(r.hosts), path, id, headers...)
		if try.status == http.StatusOK {
			added := try.text[:strings.LastIndex("\n\n"+try.text, "\n\n")]
			if text == "" {
				firstID = id
			} else if added != "" {
				count.wentOn++
			}
			text += added
			if !strings.HasPrefix(whole, text) || try.err == nil && (text != whole || added != try.text) {
				r.mu.Lock()
				r.wrong = append(r.wrong, fmt.Sprintf("%s got %d events and %.200q, %v", id, strings.Count(text, "\n\n"), try.text, try.err))
				r.mu.Unlock()
				break
			}
		}
		if text == whole {
			count.whole = 1
			r.mu.Lock()
			r.whole[path] = true
			r.mu.Unlock()
			break
		}
		cause := "complete"
		if try.err != nil {
			cause = try.err.Error()
		}
		r.mu.Lock()
		r.causes[fmt.Sprintf("%s: %d %.90s", kind, try.status, cause[strings.LastIndex(cause, ":")+1:])]++
		r.mu.Unlock()
		if kind == "once" {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := r.counts[kind]
	sum.sent, sum.whole, sum.takeUps, sum.wentOn = sum.sent+count.sent, sum.whole+count.whole, sum.takeUps+count.takeUps, sum.wentOn+count.wentOn
}

func (r *endSeries) execute() {
	if err := r.start(); err != nil {
		r.t.Fatal(err)
	}
	for i := range r.hosts {
		for deadline := time.Now().Add(10 * time.Second); r.send(i, fmt.Sprint("/feed/", 1000+i), fmt.Sprint("first-", i)).status != http.StatusOK; {
			if time.Now().After(deadline) {
				r.t.Fatalf("host %d does not serve", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
		r.whole[fmt.Sprint("/feed/", 1000+i)] = true
	}
	r.begun = time.Now()
	var group sync.WaitGroup
	for _, f := range drawEnds(r.seed) {
		for _, kind := range _endKinds {
			if kind.name == f.kind {
				group.Go(func() {
					time.Sleep(time.Until(r.begun.Add(f.at)))
					kind.inject(r, f)
				})
			}
		}
	}
	for caller := range _endOnceCallers + _endFeedCallers {
		kind := "once"
		if caller >= _endOnceCallers {
			kind = "feed"
		}
		group.Go(func() {
			for n := 0; time.Since(r.begun) < _endDuration; n++ {
				r.call(kind, (caller+n)%len(r.hosts), 100*n+caller)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(2 * _soakOverlap)
}

// isExcused reports whether the host that sent a run was disturbed then, or its link to the engine of the run before.
func (r *endSeries) isExcused(run, before *endRun) bool {
	link := &soakHost{disturbed: r.links[run.host][before.engine].cuts}
	from := run.arrived.Add(-_endContact)
	return r.hosts[run.host].excused(from, run.begun) || link.excused(from, run.begun)
}

// check compares the runs of each stream with those before, and prints what can be compared between builds.
func (r *endSeries) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	broken, again, excused, wentOn := make(map[string]int), make(map[string]int), make(map[string]int), make(map[string]int)
	ends, takenUp := make(map[string]int), 0
	for path, runs := range r.ledger.runs {
		kind, isBroken := path[1:5], false
		if last := runs[len(runs)-1]; !r.whole[path] {
			ends[fmt.Sprintf("%s: run %d %s", kind, len(runs), last.endCause)]++
		}
		for i, run := range runs {
			if i > 0 {
				wentOn[kind]++
			}
			for _, before := range runs[:i] {
				overlaps := before.engine != run.engine && (before.end.IsZero() || before.end.After(run.begun.Add(_soakOverlap)))
				isAnew := kind == "once" && run.from == ""
				switch {
				case overlaps && r.isExcused(run, before):
					excused[kind]++
				case overlaps && run.id != before.id:
					takenUp++
				case overlaps:
					broken[kind]++
					isBroken = true
				case isAnew:
					again[kind]++
					isBroken = true
				}
			}
		}
		if isBroken && kind == "once" {
			r.t.Errorf("seed %d: %s ran at two engines at a time, or anew:\n%s", r.seed, path, r.trace(path, runs))
		}
	}
	r.t.Logf("seed %d: tries that brought no whole stream: %q", r.seed, cutTop(r.causes))
	r.t.Logf("seed %d: ends of the last runs of streams that were not whole: %q", r.seed, cutTop(ends))
	for _, wrong := range r.wrong {
		r.t.Error(wrong)
	}
	for _, kind := range []string{"once", "feed"} {
		count := r.counts[kind]
		r.t.Logf("seed %d: %s: %d streams, %d whole, %d runs went on elsewhere, %d of %d take-ups went on; beside the run before %d, anew %d, excused %d, taken up beside it %d",
			r.seed, kind, count.sent, count.whole, wentOn[kind], count.wentOn, count.takeUps, broken[kind], again[kind], excused[kind], takenUp)
	}
}

// trace describes the runs of a stream, the disturbances and what the hosts logged of its requests.
func (r *endSeries) trace(path string, runs []*endRun) string {
	var text strings.Builder
	for _, run := range runs {
		fmt.Fprintln(&text, run)
	}
	fmt.Fprintln(&text, "begun", r.begun.UTC().Format("04:05.000"))
	for _, f := range drawEnds(r.seed) {
		fmt.Fprintln(&text, f)
	}
	mark := `"` + strings.ReplaceAll(path[1:], "/", "-") + "-"
	for i, h := range r.hosts {
		h.logMu.Lock()
		lines := 0
		for _, line := range h.lines {
			if lines < _endTraceLines && strings.Contains(line, mark) {
				fmt.Fprintln(&text, "host", i, line)
				lines++
			}
		}
		h.logMu.Unlock()
	}
	return text.String()
}

// Streams that must run once went on elsewhere while their engine still worked on them. RUNEND_SEEDS series are run from
// RUNEND_FIRST on; by default a few.
func TestStreamsOfHostsGoOnOnlyOnceTheirRunsHaveEnded(t *testing.T) {
	seeds, first := 3, 1
	_, _ = fmt.Sscan(os.Getenv("RUNEND_SEEDS"), &seeds)
	_, _ = fmt.Sscan(os.Getenv("RUNEND_FIRST"), &first)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel() // a series mostly waits
			r := &endSeries{
				cutRun: &cutRun{t: t, folder: t.TempDir()}, seed: uint64(seed), ledger: endLedger{runs: make(map[string][]*endRun)},
				unlisted: make(map[int]bool), leaving: make(map[int]bool), counts: map[string]*endCount{"once": {}, "feed": {}},
				causes: make(map[string]int), whole: make(map[string]bool),
			}
			r.execute()
			r.check()
		})
	}
}
