package front_test

import (
	"net/http"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// A stream went on from its copy while an engine, which acts after its answer that it stopped the run, worked on.
func TestStreamGoesOnOnceAnEngineHasActed(t *testing.T) {
	lie := func(delay, pause time.Duration) func(s *lateSite) {
		return func(s *lateSite) {
			s.engines.answerStop = func(c *routed.Call, id string) {
				if !s.engines.stop(id, c.LocalAddress(), false) {
					c.Answer(http.StatusNotFound, "")
					return
				}
				if pause > 0 {
					s.engines.pause(c.LocalAddress(), pause)
				}
				c.Answer(http.StatusOK, `{"handle":"h9","created":1}`)
				time.AfterFunc(delay, func() { s.engines.stop(id, c.LocalAddress(), true) })
			}
		}
	}
	for _, c := range []lateCase{
		{name: "its connection was reset, acts after 1 s", engines: 2, withBackups: true, mayBeCut: true, prepare: lie(time.Second, 0), trouble: func(_ *testing.T, s *lateSite, address string) { s.links[address].ResetOpen() }},
		{name: "silent, acts after 1 s", engines: 2, withBackups: true, mayBeCut: true, prepare: lie(time.Second, 0), trouble: func(_ *testing.T, s *lateSite, address string) { s.engines.pause(address, 2500*time.Millisecond) }},
		{name: "silent, then its connection is reset, acts after 1.2 s", engines: 2, withBackups: true, mayBeCut: true, prepare: func(s *lateSite) {
			lie(1200*time.Millisecond, 0)(s)
			answer := s.engines.answerStop
			s.engines.answerStop = func(c *routed.Call, id string) {
				answer(c, id)
				time.AfterFunc(5*time.Millisecond, s.links[c.LocalAddress()].ResetOpen)
			}
		}, trouble: func(_ *testing.T, s *lateSite, address string) { s.engines.pause(address, 2500*time.Millisecond) }},
		{name: "handed over, pauses 600 ms, acts after 1.2 s", engines: 2, mayBeCut: true, prepare: lie(1200*time.Millisecond, 600*time.Millisecond), trouble: func(_ *testing.T, s *lateSite, address string) { s.leaves(address) }},
		{name: "handed over, then its connection is reset, acts after 1.2 s", engines: 2, mayBeCut: true, prepare: func(s *lateSite) {
			lie(1200*time.Millisecond, 0)(s)
			answer := s.engines.answerStop
			s.engines.answerStop = func(c *routed.Call, id string) {
				answer(c, id)
				time.AfterFunc(20*time.Millisecond, s.links[c.LocalAddress()].ResetOpen)
			}
		}, trouble: func(_ *testing.T, s *lateSite, address string) { s.leaves(address) }},
	} {
		t.Run(c.name, c.run)
	}
}
