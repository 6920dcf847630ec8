package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

const (
	// _pieces is the number of events of a stream, and _pieceInterval the time between those
	// of a stream from its start; one that is taken up gets the others at once.
	_pieces        = 100
	_pieceInterval = 30 * time.Millisecond
	// _brokenStreams is how many streams break off, and _enginesPerBuild how many engines
	// each build has.
	_brokenStreams   = 20
	_enginesPerBuild = 2
	// _piecesBeforeBreak is how many events of each stream the caller has when it breaks off.
	_piecesBeforeBreak = 5
	// _refusedAtOnce bounds the time until a stream that cannot go on is refused.
	_refusedAtOnce = 500 * time.Millisecond
	_probePath     = "/a/probe"
)

// buildSite is hosts before engines of several builds that name their build in each event.
type buildSite struct {
	*site
	engines map[string][]*routed.Endpoint
	// idPrefix begins the IDs of the requests of streams.
	idPrefix string
}

func newBuildSite(s *site, builds ...string) *buildSite {
	return newBuildSiteOf(s, buildHandler, builds...)
}

// newBuildSiteOf uses engines with handlers of their own.
func newBuildSiteOf(s *site, newHandler func(build string) routed.Handler, builds ...string) *buildSite {
	b := &buildSite{site: s, engines: make(map[string][]*routed.Endpoint)}
	s.store.Put("config", `{"Version":1,"Prefix":"/a/","Streams":true}`)
	for _, build := range builds {
		for i := range _enginesPerBuild {
			name := fmt.Sprint(build, "-", i)
			engine := s.listen(newHandler(build))
			s.store.Put(name, engine.Address+" "+build)
			b.engines[build] = append(b.engines[build], engine)
		}
	}
	return b
}

// pieceText returns the events from up to and including to.
func pieceText(build string, from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += fmt.Sprintf("id: %d\ndata: %s %d\n\n", id, build, id)
	}
	return text
}

func buildHandler(build string) routed.Handler {
	return func(c *routed.Call) bool {
		if !strings.HasPrefix(c.URL.Path, "/a/") {
			c.Answer(404, "")
			return true
		}
		c.BeginStream("Request-Id: "+c.Header.Get("Request-Id"), "Seal: s", "Connection: close")
		first := 0
		if id, err := strconv.Atoi(c.Header.Get("Last-Event-Id")); err == nil {
			first = id + 1
		}
		for id := first; id < _pieces; id++ {
			c.Chunk(pieceText(build, id, id))
			if first == 0 && c.URL.Path != _probePath && c.WaitClosed(_pieceInterval) {
				return false
			}
		}
		c.EndStream()
		return false
	}
}

// waitReady waits until each of the hosts sends requests to engines of all the given builds, and to no
// others.
func (s *buildSite) waitReady(builds []string, hosts ...int) {
	s.t.Helper()
	const probes = 12
	s.eventually("the hosts know the engines", _leavingSpread, func() bool {
		for _, host := range hosts {
			seen := make(map[string]bool)
			for range probes {
				status, body := s.get(s.front[host], _probePath)
				if status != http.StatusOK {
					return false
				}
				seen[buildOf(body)] = true
			}
			for _, build := range builds {
				if !seen[build] {
					return false
				}
			}
			if len(seen) != len(builds) {
				return false
			}
		}
		return true
	})
}

// buildOf returns the build that wrote the first event of a stream.
func buildOf(text string) string {
	_, data, _ := strings.Cut(text, "data: ")
	build, _, _ := strings.Cut(data, " ")
	return build
}

// brokenStream is a stream of a caller that broke off.
type brokenStream struct {
	id    string
	path  string
	build string
	// last is the id of the last event that the caller has.
	last   int
	answer *http.Response
	body   *bufio.Reader
}

// begin starts streams at a host and returns when the caller has some events of each.
func (s *buildSite) begin(host, count int) []*brokenStream {
	s.t.Helper()
	streams := make([]*brokenStream, count)
	for i := range streams {
		b := &brokenStream{id: fmt.Sprint(s.idPrefix, "r", i), path: fmt.Sprint("/a/", i)}
		answer, err := s.open(s.front[host], b.path, b.headers(b.id)...)
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { _ = answer.Body.Close() })
		b.answer, b.body = answer, bufio.NewReader(answer.Body)
		streams[i] = b
	}
	for _, b := range streams {
		if _, err := b.body.Peek(len(pieceText("v1", 0, _piecesBeforeBreak-1))); b.answer.StatusCode != http.StatusOK || err != nil {
			s.t.Fatalf("stream %s: status %d, %v in its first events", b.id, b.answer.StatusCode, err)
		}
	}
	return streams
}

func (b *brokenStream) headers(id string) []string {
	return []string{"Request-Id: " + id, "Tokens: 30,400", fmt.Sprintf("Parts: common:20,own%s:10", b.id)}
}

// kill ends the host of streams, reads what the caller got of them and checks that each is
// the beginning of a stream of one build.
func (s *buildSite) kill(host int, streams []*brokenStream) {
	s.t.Helper()
	s.killHost(host)
	for _, b := range streams {
		text, err := io.ReadAll(b.body)
		events := strings.Count(string(text), "\n\n")
		b.build, b.last = buildOf(string(text)), events-1
		if err == nil || events == 0 || !strings.HasPrefix(pieceText(b.build, 0, _pieces-1), string(text)) {
			s.t.Fatalf("stream %s: %q, %v; want it broken off", b.id, text, err)
		}
	}
}

// takeUp takes a stream up at a host.
func (s *buildSite) takeUp(host int, b *brokenStream) (int, http.Header, string) {
	headers := append(b.headers(b.id+"-again"), "Resumes: "+b.id, fmt.Sprint("Last-Event-Id: ", b.last))
	return s.request(s.front[host], b.path, headers...)
}

// wantGoesOn takes streams up at hosts in turn and checks that each goes on at its build.
func (s *buildSite) wantGoesOn(streams []*brokenStream, hosts ...int) {
	s.t.Helper()
	refused, joined := 0, 0
	for i, b := range streams {
		status, _, body := s.takeUp(hosts[i%len(hosts)], b)
		switch {
		case status == http.StatusOK && body == pieceText(b.build, b.last+1, _pieces-1):
		case status == http.StatusOK && buildOf(body) != b.build:
			joined++
		case status == http.StatusServiceUnavailable:
			refused++
			s.t.Logf("stream %s of %s is refused: %s", b.id, b.build, body)
		default:
			s.t.Errorf("stream %s of %s: status %d with %q", b.id, b.build, status, body)
		}
	}
	if joined+refused > 0 {
		s.t.Errorf("of %d streams taken up, %d of them of v1, %d went on at another build and %d were refused; want none",
			len(streams), len(ofBuild(streams, "v1")), joined, refused)
	}
}

// ofBuild returns the streams of a build.
func ofBuild(streams []*brokenStream, build string) []*brokenStream {
	var found []*brokenStream
	for _, b := range streams {
		if b.build == build {
			found = append(found, b)
		}
	}
	return found
}

// Streams that were taken up at other hosts after their own had ended went on at another build.
func TestTakeUpAtAnotherHostGoesOnAtItsBuild(t *testing.T) {
	s := newBuildSite(newSite(t, 4), "v1", "v2")
	s.waitReady([]string{"v1", "v2"}, 0, 1, 2, 3)
	streams := s.begin(0, _brokenStreams)
	s.kill(0, streams)
	if n := len(ofBuild(streams, "v1")); n == 0 || n == len(streams) {
		t.Fatalf("%d of %d streams began at v1", n, len(streams))
	}
	s.wantGoesOn(streams, 1, 2, 3)
}

// So they did at a host that was started after they had begun.
func TestTakeUpAtHostStartedLaterGoesOnAtItsBuild(t *testing.T) {
	s := newBuildSite(newStoppedSite(t, 4), "v1", "v2")
	for host := range 3 {
		s.start(host)
	}
	s.waitReady([]string{"v1", "v2"}, 0, 1, 2)
	streams := s.begin(0, _brokenStreams)
	s.start(3)
	s.waitReady([]string{"v1", "v2"}, 3)
	s.kill(0, streams)
	s.wantGoesOn(streams, 3)
}

// A stream whose build has left went on at another one. It must be refused at once, while the
// streams of the other build go on.
func TestTakeUpAtAnotherHostIsRefusedWhenItsBuildHasLeft(t *testing.T) {
	s := newBuildSite(newSite(t, 4), "v1", "v2")
	s.waitReady([]string{"v1", "v2"}, 0, 1, 2, 3)
	streams := s.begin(0, _brokenStreams)
	s.kill(0, streams)
	for i := range _enginesPerBuild {
		s.store.Delete(fmt.Sprint("v1-", i))
	}
	for host := 1; host < 4; host++ {
		s.waitReady([]string{"v2"}, host)
	}
	for i, b := range ofBuild(streams, "v1") {
		began := time.Now()
		status, header, body := s.takeUp(1+i%3, b)
		if took := time.Since(began); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || took > _refusedAtOnce {
			t.Errorf("stream %s of v1: status %d after %v, Retry-After %q, from %q; want 503 at once", b.id, status, took, header.Get("Retry-After"), buildOf(body))
		}
	}
	for build, engines := range s.engines {
		for _, engine := range engines {
			for _, call := range engine.Calls() {
				if call.Header.Get("Resumes") != "" {
					t.Errorf("an engine of %s got the stream %s of v1", build, call.Header.Get("Resumes"))
				}
			}
		}
	}
	s.wantGoesOn(ofBuild(streams, "v2"), 1, 2, 3)
}

// restartAll ends all hosts at once, the one of the streams among them, and starts them again.
func (s *buildSite) restartAll(host int, streams []*brokenStream, builds ...string) {
	s.t.Helper()
	for i := range s.front {
		if i != host {
			s.killHost(i)
		}
	}
	s.kill(host, streams)
	for i := range s.front {
		s.start(i)
	}
	for i := range s.front {
		s.waitReady(builds, i)
	}
}

// Hosts that remember nothing let streams go on as long as there was only one build.
func TestTakeUpAfterRestartOfAllHostsGoesOnWithOneBuild(t *testing.T) {
	s := newBuildSite(newSite(t, 3), "v1")
	s.waitReady([]string{"v1"}, 0, 1, 2)
	streams := s.begin(0, _brokenStreams/2)
	s.restartAll(0, streams, "v1")
	s.wantGoesOn(streams, 0, 1, 2)
}

// Hosts that remembered nothing let streams go on at any build.
func TestTakeUpAfterRestartOfAllHostsJoinsNoBuilds(t *testing.T) {
	s := newBuildSite(newSite(t, 3), "v1", "v2")
	s.waitReady([]string{"v1", "v2"}, 0, 1, 2)
	streams := s.begin(0, _brokenStreams)
	s.restartAll(0, streams, "v1", "v2")
	for i, b := range streams {
		status, _, body := s.takeUp(i%len(s.front), b)
		if status == http.StatusServiceUnavailable || status == http.StatusOK && buildOf(body) == b.build {
			continue
		}
		t.Errorf("stream %s of %s: status %d, from %q; want it refused or of its own build", b.id, b.build, status, buildOf(body))
	}
}
