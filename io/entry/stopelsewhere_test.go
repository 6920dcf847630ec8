package entry_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/versn/table"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/entry"
)

const (
	_lastingEvents = 100
	_lastingPause  = 30 * time.Millisecond
	// _lostEvent is the event after which the engine's connections to a host are lost.
	_lostEvent = 40
	// _maxOverlap is how long two engines may work on a stream at a time.
	_maxOverlap = 400 * time.Millisecond
)

// lastingEngines are fake engines that work on a run until it is done or was stopped, whatever becomes of its
// connection.
type lastingEngines struct {
	// lost is called after _lostEvent of the first run.
	lost func(address string)

	mu   sync.Mutex
	runs []*lastingRun
}

type lastingRun struct {
	address, from string
	begun, end    time.Time
	stopped       chan struct{}
}

func (e *lastingEngines) handle(c *routed.Call) bool {
	switch {
	case c.URL.Path == "/move":
		e.move(c)
		return true
	case strings.HasPrefix(c.URL.Path, "/handle/"):
		c.Answer(http.StatusOK, "")
		return true
	default:
		return e.run(c)
	}
}

func (e *lastingEngines) move(c *routed.Call) {
	var move struct{ Last bool }
	e.mu.Lock()
	defer e.mu.Unlock()
	if json.Unmarshal([]byte(c.BodyText), &move) != nil || len(e.runs) == 0 || e.runs[0].address != c.LocalAddress() || !e.runs[0].end.IsZero() {
		c.Answer(http.StatusNotFound, "")
		return
	}
	if move.Last {
		e.runs[0].end = time.Now()
		close(e.runs[0].stopped)
	}
	c.Answer(http.StatusOK, `{"handle":"h9","created":1}`)
}

func (e *lastingEngines) run(c *routed.Call) bool {
	run := &lastingRun{address: c.LocalAddress(), from: c.Header.Get("Continue-From"), begun: time.Now(), stopped: make(chan struct{})}
	e.mu.Lock()
	isFirst := len(e.runs) == 0
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if run.end.IsZero() {
			run.end = time.Now()
		}
	}()
	c.BeginStream("Request-Id: "+c.Header.Get("Request-Id"), "Seal: s")
	first := 0
	if last, err := strconv.Atoi(c.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for id := first; id < _lastingEvents; id++ {
		select {
		case <-run.stopped:
			return false
		case <-time.After(_lastingPause):
		}
		c.Chunk(pieceText("v1", id, id))
		if isFirst && id == _lostEvent {
			e.lost(run.address)
		}
	}
	c.EndStream()
	return true
}

// A stream went on at another engine while its own, cut off from its host alone, worked on.
func TestStreamOfAnEngineThatOnlyOtherHostsReachRunsOnce(t *testing.T) {
	for name, state := range map[string]cut{"resetting": _resetting, "hanging": _hanging} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engines, s := &lastingEngines{}, newStoppedSite(t, 3)
			var addresses []string // of the engines to which connections are cut
			dialer := &cutDialer{dialer: entry.NewDialer(), isEndpoint: func(address string) bool {
				engines.mu.Lock()
				defer engines.mu.Unlock()
				return slices.Contains(addresses, address)
			}}
			for i := range s.Settings {
				s.Settings[i].Decode = decodeLastingSite
				s.Settings[i].Names.Backup, s.Settings[i].Names.ContinueFrom = "Backup", "Continue-From"
				s.Settings[i].Paths.Move, s.Settings[i].Paths.Handle = "/move", "/handle/"
			}
			s.Settings[_cutHost].Dialer = dialer
			s.store.Put("config", "1")
			addresses = []string{s.endpoint("engine-0", engines.handle).Address, s.endpoint("engine-1", engines.handle).Address}
			for i := range s.Settings {
				s.start(i)
			}
			s.eventually("all hosts are ready", 5*time.Second, func() bool {
				for _, address := range s.ready {
					if status, _ := s.get(address, "/ready"); status != http.StatusOK {
						return false
					}
				}
				return true
			})
			time.Sleep(time.Second) // heartbeats have told which hosts reach endpoints
			engines.lost = func(address string) {
				engines.mu.Lock()
				addresses = []string{address}
				engines.mu.Unlock()
				dialer.setCut(state)
			}
			status, body := s.get(s.front[_cutHost], "/x", "Request-Id: r1", "Deadline-Ms: 12000", "Tokens: 3000,400", "Parts: common:2000,own:1000")
			if want := pieceText("v1", 0, _lastingEvents-1); status != http.StatusOK || body != want {
				t.Errorf("status %d, %d bytes of %d", status, len(body), len(want))
			}
			time.Sleep(_lastingEvents * _lastingPause) // the first run ends by itself, if it was not stopped
			engines.mu.Lock()
			defer engines.mu.Unlock()
			if len(engines.runs) != 2 {
				t.Fatalf("%d runs, want 2", len(engines.runs))
			}
			before, run := engines.runs[0], engines.runs[1]
			t.Logf("the stream went on from %q, %v after the end of its run", run.from, run.begun.Sub(before.end).Round(time.Millisecond))
			if before.end.IsZero() || before.end.After(run.begun.Add(_maxOverlap)) {
				t.Errorf("the second run began %v before the first ended", before.end.Sub(run.begun))
			}
		})
	}
}

func decodeLastingSite(d core.Document) (know.Content, error) {
	if d.Name != "config" {
		return decode(d)
	}
	built, err := table.Build(table.Source{
		Version: 1,
		Services: []core.RoutedService{{Name: "desk", Engine: &core.EngineSpec{
			Slots: 9, MemoryTokens: 100_000, EventTokens: 4, Backups: true, Moves: true,
		}}},
		Routes: []core.Route{{
			Name: "r", HostName: "h", Prefix: "/", Kind: core.RouteStreaming, MaxAttempts: 1, Timeout: 15 * time.Second, Goal: time.Second,
			GapGoal: 200 * time.Millisecond, Services: []core.WeightedService{{Service: "desk", Weight: 1}},
		}},
	})
	return know.Content{Table: built}, err
}
