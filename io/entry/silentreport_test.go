package entry_test

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// A stream broke off while the only other engine of its build was silent for a second, so that this
// engine could not say in time when it had started.
func TestStreamGoesOnAtAnEngineWhoseReportIsLate(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 1500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			s := newReportingSite(t, 1)
			s.store.Put("config", `{"Version":1,"Prefix":"/a/","Streams":true}`)
			var silentUntil atomic.Int64
			var broken atomic.Bool
			serve := buildHandler("v1")
			var probed sync.Map
			handle := func(c *routed.Call) bool {
				switch {
				case c.URL.Path == _probePath:
					probed.Store(c.LocalAddress(), true)
					return serve(c)
				case c.URL.Path == s.Settings[0].Paths.Report:
					time.Sleep(time.Until(time.UnixMilli(silentUntil.Load())))
					c.Answer(200, `{"BornMs":1}`)
					return true
				case broken.CompareAndSwap(false, true):
					c.BeginStream("Request-Id: "+c.Header.Get("Request-Id"), "Seal: s")
					c.Chunk(pieceText("v1", 0, 0))
					silentUntil.Store(time.Now().Add(silence).UnixMilli())
					return false
				}
				time.Sleep(time.Until(time.UnixMilli(silentUntil.Load())))
				return serve(c)
			}
			var engines []*routed.Endpoint
			for _, name := range []string{"e1", "e2"} {
				engine := s.endpoint(name, handle)
				s.store.Put(name, engine.Address+" v1 1")
				engines = append(engines, engine)
			}
			s.eventually("the host sends requests to both engines", _leavingSpread, func() bool {
				s.get(s.front[0], _probePath)
				return !slices.ContainsFunc(engines, func(engine *routed.Endpoint) bool {
					_, ok := probed.Load(engine.Address)
					return !ok
				})
			})
			status, body := s.get(s.front[0], "/a/stream")
			if n := strings.Count(body, "\n\n"); status != http.StatusOK || n != _pieces {
				t.Errorf("status %d, %d pieces, want 200, %d", status, n, _pieces)
			}
		})
	}
}
