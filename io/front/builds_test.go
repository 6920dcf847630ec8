package front_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/fakes/routed"
)

const (
	// _lastPiece is the id of the last event of a stream whose events name their build.
	_lastPiece = 5
	// _brokenAfter is the id of the last event before such a stream breaks off.
	_brokenAfter = 1
	// _atOnce bounds the time in which a stream that cannot go on is cut or refused.
	_atOnce = 200 * time.Millisecond
)

// member is an endpoint of the fixture as it is registered.
type member struct {
	index int
	build core.BuildName
	// far endpoints are in another data centre, where a run costs more.
	far  bool
	born time.Time
}

// register puts a view in force in which just these endpoints are registered.
func (r *fixture) register(members ...member) {
	view := &know.View{Table: r.view.Load().Table, OutOfService: map[core.DataCentreName]bool{}}
	for _, m := range members {
		e := core.RoutedEndpoint{
			ID: fmt.Sprint("e", m.index), Service: "all", Address: r.endpoints[m.index].Address, Build: m.build, Slots: 8, Born: m.born,
		}
		if m.far {
			e.DataCentre = "far"
		}
		view.Endpoints = append(view.Endpoints, know.Endpoint{RoutedEndpoint: e})
	}
	r.apply(view)
}

// streams returns the requests for a stream that an endpoint received.
func (r *fixture) streams(index int) []*routed.Call {
	return slices.DeleteFunc(r.endpoints[index].Calls(), func(c *routed.Call) bool { return !isStream(c) })
}

func isStream(c *routed.Call) bool {
	return strings.HasPrefix(c.URL.Path, "/check/") || strings.HasPrefix(c.URL.Path, "/draft/")
}

// piece returns an event whose data names the build that wrote it.
func piece(build core.BuildName, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", id, build, id)
}

// pieces returns the events from up to and including to.
func pieces(build core.BuildName, from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += piece(build, id)
	}
	return text
}

// whole is an endpoint of a build that serves each stream from where it is asked to.
func whole(build core.BuildName) routed.Handler {
	return func(c *routed.Call) bool {
		if !isStream(c) {
			c.Answer(404, "")
			return true
		}
		first := 0
		if id, err := strconv.Atoi(c.Header.Get("Last-Event-Id")); err == nil {
			first = id + 1
		}
		c.BeginStream(echo(c), _seal)
		c.Chunk(pieces(build, first, _lastPiece))
		c.EndStream()
		return true
	}
}

// broken is an endpoint of a build whose streams break off, after it has called before.
func broken(build core.BuildName, before func()) routed.Handler {
	return func(c *routed.Call) bool {
		if !isStream(c) {
			c.Answer(404, "")
			return true
		}
		c.BeginStream(echo(c), _seal)
		c.Chunk(pieces(build, 0, _brokenAfter))
		before()
		return false
	}
}

// wantCut checks that a stream ended after its events of one build, and not as complete.
func (r *fixture) wantCut(a answer, want string) {
	r.t.Helper()
	if a.err == nil || a.body != want {
		r.t.Errorf("stream %q, %v; want it cut after %q", a.body, a.err, want)
	}
}

// wantNoStream checks that an endpoint was asked for no stream.
func (r *fixture) wantNoStream(index int) {
	r.t.Helper()
	if n := len(r.streams(index)); n != 0 {
		r.t.Errorf("endpoint e%d was asked for %d streams, want none", index, n)
	}
}

// A resumed stream had events of two builds when an endpoint of another build had more room.
func TestStreamIsResumedAtItsBuild(t *testing.T) {
	var r *fixture
	update := func() {
		r.register(member{index: 0, build: "v1"}, member{index: 1, build: "v1", far: true}, member{index: 2, build: "v2"})
	}
	r = newFixture(t, broken("v1", update), whole("v1"), whole("v2"))
	r.register(member{index: 0, build: "v1"})
	if got := r.send("POST", "/check/x", "", "Tokens: 100,400"); got.err != nil || got.body != pieces("v1", 0, _lastPiece) {
		t.Errorf("stream %q, %v; want all events, of v1", got.body, got.err)
	}
	r.wantNoStream(2)
}

// A stream whose build has left was completed by another build.
func TestStreamIsCutWhenItsBuildHasLeft(t *testing.T) {
	var r *fixture
	update := func() { r.register(member{index: 1, build: "v2"}, member{index: 2, build: "v3"}) }
	r = newFixture(t, broken("v1", update), whole("v2"), whole("v3"))
	r.register(member{index: 0, build: "v1"})
	began := time.Now()
	r.wantCut(r.send("POST", "/check/x", "", "Tokens: 100,400"), pieces("v1", 0, _brokenAfter))
	if took := time.Since(began); took > _atOnce {
		t.Errorf("the stream was cut after %v, want at once", took)
	}
	r.wantNoStream(1)
	r.wantNoStream(2)
}

// A stream must not leave a silent endpoint for one of another build.
func TestSilentEndpointIsNotLeftForAnotherBuild(t *testing.T) {
	silent := func(c *routed.Call) bool {
		if !isStream(c) {
			c.Answer(404, "")
			return true
		}
		c.BeginStream(echo(c), _seal)
		c.Chunk(pieces("v1", 0, _brokenAfter))
		if c.WaitClosed(2500 * time.Millisecond) {
			return false
		}
		c.Chunk(pieces("v1", _brokenAfter+1, _lastPiece))
		c.EndStream()
		return true
	}
	r := newFixture(t, silent, whole("v2"))
	r.register(member{index: 0, build: "v1"}, member{index: 1, build: "v2", far: true})
	if got := r.send("POST", "/check/x", "", "Tokens: 100,400"); got.err != nil || got.body != pieces("v1", 0, _lastPiece) {
		t.Errorf("stream %q, %v; want all events, of v1", got.body, got.err)
	}
	r.wantNoStream(1)
}

// The memory of a run was sent to an endpoint that may not continue it.
func TestBackupIsOnTheSameBuild(t *testing.T) {
	r := newFixture(t, whole("v1"), whole("v1"), whole("v2"), whole("v2"), whole("v3"))
	builds := []core.BuildName{"v1", "v1", "v2", "v2", "v3"}
	var members []member
	buildAt := make(map[string]core.BuildName)
	for i, build := range builds {
		members = append(members, member{index: i, build: build})
		buildAt[r.endpoints[i].Address] = build
	}
	r.register(members...)
	for range 48 {
		r.send("POST", "/draft/x", "", "Tokens: 100,400")
	}
	for i, build := range builds {
		if len(r.streams(i)) == 0 {
			t.Errorf("endpoint e%d got no run", i)
		}
		for _, call := range r.streams(i) {
			backup, want := buildAt[call.Header.Get("Backup")], build
			if build == "v3" {
				want = "" // there is no other endpoint of this build
			}
			if backup != want {
				t.Errorf("a run of build %s has its backup on build %q, want %q", build, backup, want)
			}
		}
	}
}

// movingEngine serves drafts that wait until moved is closed and then break off, unless they
// continue from a copy. It answers each call to copy a run's memory, sends the address of its
// target to moved, and calls begun once a draft has begun.
func movingEngine(build core.BuildName, begun func(), moved chan string) routed.Handler {
	return func(c *routed.Call) bool {
		switch {
		case c.URL.Path == "/move":
			var move struct{ To string }
			_ = json.Unmarshal([]byte(c.BodyText), &move)
			c.Answer(200, `{"handle":"h7","created":2}`)
			select {
			case moved <- move.To:
			default:
			}
			return true
		case c.Header.Get("Continue-From") != "":
			return whole(build)(c)
		}
		return broken(build, func() {
			begun()
			c.WaitClosed(_backupReadyAfter / 2)
		})(c)
	}
}

// The memory of a run whose engine was leaving was copied to an engine of another build.
func TestMoveIsToTheSameBuild(t *testing.T) {
	for name, c := range map[string]struct {
		others []core.BuildName
		want   int // index of the endpoint that gets the copy; -1 for none
	}{
		"one of its build":  {[]core.BuildName{"v2", "v2", "v2", "v1", "v2", "v3"}, 4},
		"none of its build": {[]core.BuildName{"v2", "v2", "v3"}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			moved := make(chan string, 64)
			var r *fixture
			members := []member{{index: 0, build: "v1"}}
			handlers := []routed.Handler{movingEngine("v1", func() {
				r.register(members...)
				r.leave("e0")
			}, moved)}
			for i, build := range c.others {
				members = append(members, member{index: i + 1, build: build})
				handlers = append(handlers, movingEngine(build, func() {}, moved))
			}
			r = newFixture(t, handlers...)
			service, _ := r.view.Load().Table.Service("all")
			service.Engine.Backups = false
			r.register(members[0])
			got := r.send("POST", "/draft/x", "", "Tokens: 100,400")
			copies := len(moved)
			for range copies {
				if to := <-moved; c.want < 0 || to != r.endpoints[c.want].Address {
					t.Errorf("a copy to %s, want it only on the same build", to)
				}
			}
			if c.want < 0 {
				r.wantCut(got, pieces("v1", 0, _brokenAfter))
				return
			}
			if got.err != nil || got.body != pieces("v1", 0, _lastPiece) || copies == 0 {
				t.Errorf("stream %q, %v after %d copies; want all events, of v1", got.body, got.err, copies)
			}
		})
	}
}

// An endpoint came back under its ID and address with another build, and continued the streams
// of the earlier one.
func TestEndpointThatCameBackWithAnotherBuildGetsNoOldStream(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		lasts time.Duration
	}{
		"resumed":               {"/check/x", 0},
		"continued from a copy": {"/draft/x", _backupReadyAfter},
	} {
		t.Run(name, func(t *testing.T) {
			var r *fixture
			first, second := time.UnixMilli(1), time.UnixMilli(2)
			comeBack := func() {
				time.Sleep(c.lasts)
				r.register(member{index: 0, build: "v1", born: first}, member{index: 1, build: "v2", born: second})
			}
			r = newFixture(t, broken("v1", comeBack), whole("v2"))
			r.register(member{index: 0, build: "v1", born: first}, member{index: 1, build: "v1", born: first, far: true})
			r.wantCut(r.send("POST", c.path, "", "Tokens: 100,400"), pieces("v1", 0, _brokenAfter))
			r.wantNoStream(1)
		})
	}
}

// A request of which the caller has no event may go on at any build.
func TestFirstEventMayComeFromAnyBuild(t *testing.T) {
	silent := func(c *routed.Call) bool { c.BeginStream(echo(c), _seal); return false }
	for name, first := range map[string]routed.Handler{"refused": refuse, "lost": reset, "without an event": silent} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, first, whole("v2"))
			r.register(member{index: 0, build: "v1"}, member{index: 1, build: "v2", far: true})
			if got := r.send("POST", "/check/x", "", "Tokens: 100,400"); got.err != nil || got.body != pieces("v2", 0, _lastPiece) {
				t.Errorf("stream %q, %v; want all events, of v2", got.body, got.err)
			}
			if n := len(r.streams(0)); n != 1 {
				t.Errorf("the first endpoint was asked %d times, want once", n)
			}
		})
	}
}

// abandon sends a request for a stream and disconnects after its first two events.
func (r *fixture) abandon(path string) {
	r.t.Helper()
	ctx, cancel := context.WithCancel(r.t.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.server.URL+path, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", "r1")
	req.Header.Set("Key", "k")
	req.Header.Set("Tokens", "100,400")
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	want := pieces("v1", 0, _brokenAfter)
	got := make([]byte, len(want))
	if _, err := io.ReadFull(bufio.NewReader(res.Body), got); err != nil || string(got) != want {
		r.t.Fatalf("stream %q, %v; want it to begin with %q", got, err, want)
	}
}

// takeUp sends the request again under an ID of its own, from after the events that the caller
// has.
func (r *fixture) takeUp(path string) answer {
	r.t.Helper()
	return r.send("POST", path, "", "Request-Id: r2", "Tokens: 100,400", "Resumes: r1", "Last-Event-Id: "+strconv.Itoa(_brokenAfter))
}

// newTakeUp returns a fixture in which a caller has the first events of a stream of v1.
func newTakeUp(t *testing.T) *fixture {
	t.Helper()
	var waiting routed.Handler = func(c *routed.Call) bool {
		return broken("v1", func() { c.WaitClosed(2 * time.Second) })(c)
	}
	r := newFixture(t, waiting, whole("v1"), whole("v2"))
	r.register(member{index: 0, build: "v1"})
	r.abandon("/check/x")
	return r
}

// A caller that took its stream up got events of another build.
func TestTakeUpGoesOnAtItsBuild(t *testing.T) {
	r := newTakeUp(t)
	r.register(member{index: 1, build: "v1", far: true}, member{index: 2, build: "v2"})
	got := r.takeUp("/check/x")
	if got.err != nil || got.status != 200 || got.body != pieces("v1", _brokenAfter+1, _lastPiece) {
		t.Errorf("status %d with %q, %v; want the rest of the stream, of v1", got.status, got.body, got.err)
	}
	r.wantNoStream(2)
}

// A caller that took up a stream whose build has left got events of another build.
func TestTakeUpIsRefusedWhenItsBuildHasLeft(t *testing.T) {
	r := newTakeUp(t)
	r.register(member{index: 2, build: "v2"})
	began := time.Now()
	got := r.takeUp("/check/x")
	if took := time.Since(began); got.status != 503 || got.header.Get("Retry-After") == "" || took > _atOnce {
		t.Errorf("status %d after %v, Retry-After %q; want 503 at once, with Retry-After", got.status, took, got.header.Get("Retry-After"))
	}
	r.wantNoStream(2)
}
