package entry_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr/funcr"
)

// A caller that named an over-long request made hosts send each other datagrams that are too long
// to be received, once for each host and repetition.
func TestOverLongRequestIsNotAskedFor(t *testing.T) {
	s := newStoppedSite(t, 2)
	var lost atomic.Int32
	for i := range s.Settings {
		s.Settings[i].Logger = funcr.New(func(_, line string) {
			if strings.Contains(line, "A heartbeat can") {
				lost.Add(1)
			}
		}, funcr.Options{})
	}
	for i := range s.Settings {
		s.start(i)
	}
	b := newBuildSite(s, "v1", "v2")
	b.waitReady([]string{"v1", "v2"}, 0, 1)
	stream := &brokenStream{id: strings.Repeat("x", 20<<10), path: "/a/9", build: "v1", last: 4}
	if status, _, body := b.takeUp(1, stream); status != http.StatusServiceUnavailable {
		t.Errorf("status %d from %q, want 503", status, buildOf(body))
	}
	if n := lost.Load(); n != 0 {
		t.Errorf("%d datagrams were not decoded or not sent, want none", n)
	}
}

// Streams of requests with IDs over 128 bytes had no record, so that they were refused at other hosts.
func TestTakeUpOfARequestWithALongIDGoesOn(t *testing.T) {
	s := newBuildSite(newSite(t, 4), "v1", "v2")
	s.idPrefix = strings.Repeat("x", 200)
	s.waitReady([]string{"v1", "v2"}, 0, 1, 2, 3)
	streams := s.begin(0, _brokenStreams)
	s.kill(0, streams)
	s.wantGoesOn(streams, 1, 2, 3)
}
