package entry_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/routed"
)

// newReportingSite starts n hosts that can ask engines when they started.
func newReportingSite(t *testing.T, n int) *site {
	t.Helper()
	s := newStoppedSite(t, n)
	for i := range s.Settings {
		s.Settings[i].Paths.Report = "/report"
		s.Settings[i].DecodeReport = func(body []byte) (core.EngineState, error) {
			var report struct{ BornMs int64 }
			err := json.Unmarshal(body, &report)
			return core.EngineState{Born: time.UnixMilli(report.BornMs)}, err
		}
		s.start(i)
	}
	return s
}

// rebornHandler answers as build v1 and, once born is over 1, as v2.
func rebornHandler(s *site, born *atomic.Int64) routed.Handler {
	born.Store(1)
	before, after := buildHandler("v1"), buildHandler("v2")
	return func(c *routed.Call) bool {
		switch {
		case c.URL.Path == s.Settings[0].Paths.Report:
			c.Answer(200, fmt.Sprintf(`{"BornMs":%d}`, born.Load()))
			return true
		case born.Load() == 1:
			return before(c)
		default:
			return after(c)
		}
	}
}

// An engine that had come back under its ID and address with another build continued streams of
// the earlier one, at hosts that had not learned of it yet.
func TestTakeUpIsNotSentToEngineThatCameBackWithAnotherBuild(t *testing.T) {
	s := newReportingSite(t, 2)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/","Streams":true}`)
	var born atomic.Int64
	engine := s.endpoint("e1", rebornHandler(s, &born))
	s.store.Put("e1", engine.Address+" v1 1")
	b := &buildSite{site: s}
	b.waitReady([]string{"v1"}, 0, 1)
	streams := b.begin(0, 1)
	b.kill(0, streams)
	born.Store(2)
	if status, _, body := b.takeUp(1, streams[0]); status == http.StatusOK {
		t.Errorf("status %d with events of %q, want the stream of v1 refused or cut", status, buildOf(body))
	}
	for _, call := range engine.Calls() {
		if call.Header.Get("Resumes") != "" {
			t.Error("the engine that came back got the stream")
		}
	}
	s.store.Put("e1", engine.Address+" v2 2")
	b.waitReady([]string{"v2"}, 1)
}

// A stream was begun at an engine that had come back with another build while the store was down. It
// counted as one of the earlier build, and went on at an engine of that.
func TestStreamIsNotBegunAtEngineThatCameBackWhileTheStoreWasDown(t *testing.T) {
	s := newReportingSite(t, 1)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/","Streams":true}`)
	var born, always atomic.Int64
	reborn := s.endpoint("e1", rebornHandler(s, &born))
	other := s.endpoint("e2", rebornHandler(s, &always))
	s.store.Put("e1", reborn.Address+" v1 1")
	s.store.Put("e2", other.Address+" v1 1")
	b := &buildSite{site: s}
	b.waitReady([]string{"v1"}, 0)
	s.Clients[0].SetDown(true)
	time.Sleep(_leavingSpread)
	born.Store(2)
	for n := range 12 {
		status, body := s.get(s.front[0], _probePath)
		if status != http.StatusOK || buildOf(body) != "v1" {
			t.Errorf("stream %d: status %d with events of %q, want 200, v1", n, status, buildOf(body))
		}
	}
	if !slices.ContainsFunc(reborn.Calls(), func(c *routed.Call) bool { return c.URL.Path == s.Settings[0].Paths.Report }) {
		t.Error("the engine was not asked when it started")
	}
	s.Clients[0].SetDown(false)
	s.store.Put("e1", reborn.Address+" v2 2")
	b.waitReady([]string{"v1", "v2"}, 0)
}

// An engine that offers no reports still gets new streams while the store is down.
func TestStreamBeginsAtEngineWithoutReports(t *testing.T) {
	s := newReportingSite(t, 1)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/","Streams":true}`)
	engine := s.endpoint("e1", buildHandler("v1"))
	s.store.Put("e1", engine.Address+" v1 1")
	b := &buildSite{site: s}
	b.waitReady([]string{"v1"}, 0)
	s.Clients[0].SetDown(true)
	time.Sleep(_leavingSpread)
	if status, body := s.get(s.front[0], _probePath); status != http.StatusOK || buildOf(body) != "v1" {
		t.Errorf("status %d with events of %q, want 200, v1", status, buildOf(body))
	}
}
