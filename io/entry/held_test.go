package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

const (
	_heldPath = "/held"
	// _heldDelay is how long an engine takes to tell which parts it holds.
	_heldDelay = 50 * time.Millisecond
	// _maxHeldCalls is how often a host asks an engine for take-ups that arrive together: once,
	// and again for those that arrive while it waits for the answer.
	_maxHeldCalls = 4
	// _laterBy is by how much a second take-up comes later than a first one, less than the time
	// in which a host waits for other hosts.
	_laterBy = 20 * time.Millisecond
)

// heldParts is what an engine holds: the parts of the prompts that it has read.
type heldParts struct {
	mu    sync.Mutex
	parts []string
}

// read adds the parts of a request's prompt, which its header lists as "ID:tokens".
func (h *heldParts) read(header http.Header) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for part := range strings.SplitSeq(header.Get("Parts"), ",") {
		if id, _, ok := strings.Cut(part, ":"); ok && !slices.Contains(h.parts, id) {
			h.parts = append(h.parts, id)
		}
	}
}

func (h *heldParts) answer(c *routed.Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	body, err := json.Marshal(h.parts)
	if err != nil {
		c.Answer(500, err.Error())
		return
	}
	c.Answer(200, string(body))
}

// heldHandler returns an engine that tells which parts of prompts it holds.
func heldHandler(build string) routed.Handler {
	held, serve := &heldParts{}, buildHandler(build)
	return func(c *routed.Call) bool {
		if c.URL.Path == _heldPath {
			time.Sleep(_heldDelay)
			held.answer(c)
			return true
		}
		held.read(c.Header)
		return serve(c)
	}
}

// newHeldSite prepares hosts that ask engines which parts they hold, and starts them.
func newHeldSite(t *testing.T, hosts int, builds ...string) *buildSite {
	t.Helper()
	s := newStoppedSite(t, hosts)
	for i := range s.Settings {
		s.Settings[i].Paths.Held = _heldPath
		s.Settings[i].DecodeHeld = func(body []byte) ([]string, error) {
			var parts []string
			err := json.Unmarshal(body, &parts)
			return parts, err
		}
	}
	b := newBuildSiteOf(s, heldHandler, builds...)
	for i := range hosts {
		b.start(i)
	}
	for i := range hosts {
		b.waitReady(builds, i)
	}
	return b
}

// heldCalls returns how often each engine was asked for its parts.
func (s *buildSite) heldCalls() map[string]int {
	calls := make(map[string]int)
	for _, engines := range s.engines {
		for _, engine := range engines {
			calls[engine.Address] = len(slices.DeleteFunc(engine.Calls(), func(c *routed.Call) bool { return c.URL.Path != _heldPath }))
		}
	}
	return calls
}

// wantNoTakeUp checks that no engine got a stream that was taken up.
func (s *buildSite) wantNoTakeUp() {
	s.t.Helper()
	for build, engines := range s.engines {
		for _, engine := range engines {
			for _, call := range engine.Calls() {
				if request := call.Header.Get("Resumes"); request != "" {
					s.t.Errorf("an engine of %s got the stream %s", build, request)
				}
			}
		}
	}
}

// Hosts that remember nothing of two builds in service ask the engines which of them read the
// stream's prompt.
func TestTakeUpAfterRestartOfAllHostsGoesOnAtTheEngineThatReadIt(t *testing.T) {
	s := newHeldSite(t, 3, "v1", "v2")
	streams := s.begin(0, _brokenStreams)
	s.restartAll(0, streams, "v1", "v2")
	if n := len(ofBuild(streams, "v1")); n == 0 || n == len(streams) {
		t.Fatalf("%d of %d streams began at v1", n, len(streams))
	}
	s.wantGoesOn(streams, 0, 1, 2)
}

// Many streams are taken up at once after a host has ended. They must not ask all engines each.
func TestTakeUpsThatArriveTogetherShareWhatEnginesHold(t *testing.T) {
	s := newHeldSite(t, 3, "v1", "v2")
	streams := s.begin(0, _brokenStreams)
	s.restartAll(0, streams, "v1", "v2")
	before := s.heldCalls()
	var group sync.WaitGroup
	for _, b := range streams {
		group.Go(func() {
			if status, _, body := s.takeUp(1, b); status != http.StatusOK || body != pieceText(b.build, b.last+1, _pieces-1) {
				t.Errorf("stream %s of %s: status %d, from %q", b.id, b.build, status, buildOf(body))
			}
		})
	}
	group.Wait()
	for address, calls := range s.heldCalls() {
		if n := calls - before[address]; n < 1 || n > _maxHeldCalls {
			t.Errorf("an engine was asked %d times for %d streams, want 1 to %d times", n, len(streams), _maxHeldCalls)
		}
	}
}

// With a single build in service, but no memory of what was before, a stream may have begun at
// another one.
func TestTakeUpIsRefusedWhenNothingTellsItsBuild(t *testing.T) {
	s := newBuildSite(newSite(t, 3), "v1")
	s.waitReady([]string{"v1"}, 0, 1, 2)
	streams := s.begin(0, 6)
	s.store.DropHistory()
	s.restartAll(0, streams, "v1")
	for i, b := range streams {
		began := time.Now()
		status, header, body := s.takeUp(i%len(s.front), b)
		if took := time.Since(began); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || took > _refusedAtOnce {
			t.Errorf("stream %s: status %d after %v, Retry-After %q, from %q; want 503 at once", b.id, status, took, header.Get("Retry-After"), buildOf(body))
		}
	}
	s.wantNoTakeUp()
}

// A host whose documents are out of date does not know which builds are in service.
func TestTakeUpIsRefusedWhileDocumentsAreOutOfDate(t *testing.T) {
	s := newBuildSite(newSite(t, 1), "v1")
	s.waitReady([]string{"v1"}, 0)
	// A stream that went on once is recorded, so each one is taken up only once.
	unknown := func(id string) *brokenStream { return &brokenStream{id: id, path: "/a/" + id, build: "v1", last: 4} }
	s.wantGoesOn([]*brokenStream{unknown("r6")}, 0)
	s.Clients[0].SetDown(true)
	time.Sleep(_leavingSpread + time.Second)
	before := len(s.engines["v1"][0].Calls()) + len(s.engines["v1"][1].Calls())
	for _, id := range []string{"r7", "r8"} {
		if status, _, body := s.takeUp(0, unknown(id)); status != http.StatusServiceUnavailable {
			t.Errorf("status %d from %q, want 503", status, buildOf(body))
		}
	}
	if n := len(s.engines["v1"][0].Calls()) + len(s.engines["v1"][1].Calls()) - before; n != 0 {
		t.Errorf("engines got %d calls, want none", n)
	}
	if status, body := s.get(s.front[0], _probePath); status != http.StatusOK || buildOf(body) != "v1" {
		t.Errorf("a new stream gets status %d from %q, want one of v1", status, buildOf(body))
	}
	s.Clients[0].SetDown(false)
	s.eventually("a stream goes on", 3*time.Second, func() bool {
		status, _, body := s.takeUp(0, unknown("r9"))
		return status == http.StatusOK && body == pieceText("v1", 5, _pieces-1)
	})
}

// A take-up was refused when the caller whose take-up asked the engines left: both had waited for
// hosts, one of which had just ended.
func TestTakeUpGoesOnWhenAnotherCallerLeaves(t *testing.T) {
	s := newHeldSite(t, 3, "v1", "v2")
	streams := s.begin(0, 2)
	s.restartAll(0, streams, "v1", "v2")
	s.killHost(2)
	before := s.heldCalls()
	ctx, leave := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { s.takeUpUntil(ctx, 1, streams[0]) })
	group.Go(func() {
		time.Sleep(_laterBy)
		s.wantGoesOn(streams[1:], 1)
	})
	s.eventually("the engines are asked", time.Second, func() bool {
		for address, calls := range s.heldCalls() {
			if calls == before[address] {
				return false
			}
		}
		return true
	})
	leave()
	group.Wait()
}

// readBy has an engine of a build read the last parts of streams, as when it served earlier requests of their sessions.
func (s *buildSite) readBy(build string, streams []*brokenStream) {
	s.t.Helper()
	for i, b := range streams {
		engine := s.engines[build][i%_enginesPerBuild]
		req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+engine.Address+_probePath, nil)
		if err != nil {
			s.t.Fatal(err)
		}
		for _, h := range b.headers(b.id + "-before") {
			name, value, _ := strings.Cut(h, ": ")
			req.Header.Set(name, value)
		}
		answer, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err != nil {
			s.t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
}

// removeEngine ends an engine and deletes its document.
func (s *buildSite) removeEngine(build string, i int) {
	s.store.Delete(fmt.Sprint(build, "-", i))
	s.engines[build][i].Close()
}

// After all hosts had ended, streams whose engine had left went on at another build that held the last parts of their prompts
// from earlier requests of their sessions.
func TestTakeUpIsRefusedIfAnEngineThatLeftMayHaveBegunIt(t *testing.T) {
	s := newHeldSite(t, 3, "v1", "v2")
	streams := s.begin(0, _brokenStreams)
	s.readBy("v2", streams)
	for i := range _enginesPerBuild {
		s.removeEngine("v1", i)
	}
	s.restartAll(0, streams, "v2")
	old := ofBuild(streams, "v1")
	if len(old) == 0 {
		t.Fatal("no stream began at v1")
	}
	for i, b := range old {
		if status, _, body := s.takeUp(i%3, b); status != http.StatusServiceUnavailable {
			t.Errorf("stream %s of v1: status %d, from %q; want 503", b.id, status, buildOf(body))
		}
	}
	s.wantNoTakeUp()
}

// An engine that does not say what it holds may have begun the stream.
func TestTakeUpIsRefusedIfASilentEngineMayHaveBegunIt(t *testing.T) {
	s := newHeldSite(t, 3, "v1", "v2")
	streams := s.begin(0, _brokenStreams)
	s.readBy("v2", streams)
	s.restartAll(0, streams, "v1", "v2")
	for i := range _enginesPerBuild {
		s.engines["v1"][i].Close()
	}
	for i, b := range ofBuild(streams, "v1") {
		if status, _, body := s.takeUp(i%3, b); status != http.StatusServiceUnavailable {
			t.Errorf("stream %s of v1: status %d, from %q; want 503", b.id, status, buildOf(body))
		}
	}
	s.wantNoTakeUp()
}

// Streams go on at the build of the engines that hold their parts although others of that build have left.
func TestTakeUpGoesOnAfterAnEngineOfItsBuildHasLeft(t *testing.T) {
	s := newHeldSite(t, 3, "v1", "v2")
	streams := s.begin(0, _brokenStreams)
	s.removeEngine("v2", 1)
	s.restartAll(0, streams, "v1", "v2")
	var kept []*brokenStream
	for _, b := range ofBuild(streams, "v2") {
		if slices.ContainsFunc(s.engines["v2"][0].Calls(), func(c *routed.Call) bool { return c.URL.Path == b.path }) {
			kept = append(kept, b)
		}
	}
	if len(kept) == 0 {
		t.Fatal("no stream began at the engine that stays")
	}
	s.wantGoesOn(kept, 0, 1, 2)
}

// takeUpUntil takes a stream up at a host for a caller that leaves when ctx ends.
func (s *buildSite) takeUpUntil(ctx context.Context, host int, b *brokenStream) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.front[host]+b.path, nil)
	if err != nil {
		s.t.Error(err)
		return
	}
	req.Host = "h"
	for _, h := range append(b.headers(b.id+"-left"), "Deadline-Ms: 3000", "Resumes: "+b.id, fmt.Sprint("Last-Event-Id: ", b.last)) {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	if answer, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req); err == nil {
		_ = answer.Body.Close()
	}
}
