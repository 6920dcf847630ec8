package caller_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"apricotproxy/core"
	fakeengine "apricotproxy/fakes/engine"
	"apricotproxy/io/runs"
	"apricotproxy/io/wire"
)

// startAndLeave streams until a time has passed and then closes the caller's
// connection.
func (r *rig) startAndLeave(host string, after time.Duration) *received {
	s := &received{}
	ctx, cancel := context.WithCancel(r.t.Context())
	defer cancel()
	request := r.request(http.MethodPost, "http://"+host+":80/v1/completions", _draft).WithContext(ctx)
	time.AfterFunc(after, cancel)
	if err := r.stream(r.client("caller"), request, s); err == nil {
		r.t.Errorf("the stream ended by itself with %d tokens", len(s.texts))
	}
	return s
}

// comeBack continues a stream at a host.
func (r *rig) comeBack(host string, s *received) error {
	generation, _, err := runs.ParseEventID(s.id())
	if err != nil {
		r.t.Fatal(err)
	}
	request := r.request(http.MethodGet, "http://"+host+":80/v1/completions/"+string(generation), "")
	request.Header.Set("Last-Event-ID", s.id())
	return r.stream(r.client("caller"), request, s)
}

func (r *rig) engineRuns() (runs []fakeengine.Run) {
	for _, e := range r.engines {
		runs = append(runs, e.Runs()...)
	}
	return runs
}

func TestCallerComesBackAtAnyHost(t *testing.T) {
	for _, host := range []string{"entry-0", "entry-1"} {
		t.Run(host, func(t *testing.T) {
			inRig(t, testConfig(), func(r *rig) {
				s := r.startAndLeave("entry-0", 300*time.Millisecond)
				time.Sleep(200 * time.Millisecond)
				if err := r.comeBack(host, s); err != nil {
					t.Fatal(err)
				}
				r.wantWhole(s)
				if ran := r.engineRuns(); len(ran) != 1 || ran[0].Cancelled {
					t.Errorf("runs %+v; want one, not cancelled", ran)
				}
				r.hosts["entry-0"].runner.Wait()
				if used := r.hosts["entry-0"].dispatcher.InUse(); used != 0 {
					t.Errorf("%d slots are still counted; want 0", used)
				}
			})
		})
	}
}

// A caller that is slower than the grace keeps its generation while a host reads
// it for it.
func TestAdoptionOutlivesTheGrace(t *testing.T) {
	config := testConfig()
	config.Limits.AbandonGrace = 400 * time.Millisecond
	inRig(t, config, func(r *rig) {
		s := r.startAndLeave("entry-0", 100*time.Millisecond)
		if err := r.comeBack("entry-1", s); err != nil {
			t.Fatal(err)
		}
		r.wantWhole(s)
	})
}

// One adoption that is lost on its way does not end the adoption.
func TestAdoptionOutlivesALostMessage(t *testing.T) {
	config := testConfig()
	config.Limits.AbandonGrace = 400 * time.Millisecond
	inRig(t, config, func(r *rig) {
		calls := 0
		r.wrap = func(_, _ core.HostName, peer wire.Peer) wire.Peer {
			return brokenPeer{Peer: peer, before: func(method string) error {
				if method != "Adopt" {
					return nil
				}
				if calls++; calls%2 == 1 {
					return errBroken
				}
				return nil
			}}
		}
		s := r.startAndLeave("entry-0", 100*time.Millisecond)
		if err := r.comeBack("entry-1", s); err != nil {
			t.Fatal(err)
		}
		r.wantWhole(s)
	})
}

// The host that started a generation loses its own link to the engine. It does
// not cancel what another host goes on reading for the caller.
func TestAdoptionOutlivesTheFirstHostsLink(t *testing.T) {
	config := testConfig()
	config.Limits.AbandonGrace = 400 * time.Millisecond
	config.Limits.SilenceTimeout = 100 * time.Millisecond
	inRig(t, config, func(r *rig) {
		s := r.startAndLeave("entry-0", 100*time.Millisecond)
		r.network.Stall("entry-0", "engine-0")
		r.network.Stall("entry-0", "engine-1")
		heal := time.AfterFunc(600*time.Millisecond, func() {
			r.network.Heal("entry-0", "engine-0")
			r.network.Heal("entry-0", "engine-1")
		})
		defer heal.Stop()
		if err := r.comeBack("entry-1", s); err != nil {
			t.Fatal(err)
		}
		r.wantWhole(s)
	})
}

func TestAbandonedGenerationIsCancelledAfterTheGrace(t *testing.T) {
	config := testConfig()
	config.Limits.AbandonGrace = 200 * time.Millisecond
	inRig(t, config, func(r *rig) {
		r.startAndLeave("entry-0", 100*time.Millisecond)
		r.hosts["entry-0"].runner.Wait()
		if ran := r.engineRuns(); len(ran) != 1 || !ran[0].Cancelled {
			t.Errorf("runs %+v; want one, cancelled", ran)
		}
		ended := r.hosts["entry-0"].dispatcher.Ended()
		if len(ended) != 1 || ended[0].Result != core.ResultCancelled {
			t.Errorf("ended %+v; want one ResultCancelled", ended)
		}
	})
}

// A cancel that the engine does not get is repeated, and the slot counts until it
// is answered.
func TestCancelIsRetriedWhileTheEngineIsOutOfReach(t *testing.T) {
	config := testConfig()
	config.Limits.AbandonGrace = 200 * time.Millisecond
	inRig(t, config, func(r *rig) {
		r.startAndLeave("entry-0", 100*time.Millisecond)
		r.network.Stall("entry-0", "engine-0")
		r.network.Stall("entry-0", "engine-1")
		time.Sleep(20 * time.Second)
		if used := r.hosts["entry-0"].dispatcher.InUse(); used != 1 {
			t.Errorf("%d slots are counted; want 1 while the engine may be at work", used)
		}
		r.network.Heal("entry-0", "engine-0")
		r.network.Heal("entry-0", "engine-1")
		r.hosts["entry-0"].runner.Wait()
		if used := r.hosts["entry-0"].dispatcher.InUse(); used != 0 {
			t.Errorf("%d slots are counted; want 0", used)
		}
	})
}

// Each fault of a connection or an engine leaves the caller with the whole
// answer, in order, from one generation.
func TestFaultsOfOneStreamAreNotSeenByTheCaller(t *testing.T) {
	faults := map[string]func(e *fakeengine.Engine){
		"silent":  func(e *fakeengine.Engine) { e.BreakStreams(fakeengine.StreamSilent) },
		"cut":     func(e *fakeengine.Engine) { e.BreakStreams(fakeengine.StreamCut) },
		"twice":   func(e *fakeengine.Engine) { e.SpoilToken(fakeengine.TokenTwice) },
		"missing": func(e *fakeengine.Engine) { e.SpoilToken(fakeengine.TokenMissing) },
		"foreign": func(e *fakeengine.Engine) { e.SpoilToken(fakeengine.TokenForeign) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inRig(t, testConfig(), func(r *rig) {
				time.AfterFunc(200*time.Millisecond, func() {
					for _, e := range r.engines {
						fault(e)
					}
				})
				var s received
				request := r.request(http.MethodPost, "http://entry-0:80/v1/completions", _draft)
				if err := r.stream(r.client("caller"), request, &s); err != nil {
					t.Fatal(err)
				}
				r.wantWhole(&s)
				if ran := r.engineRuns(); len(ran) != 1 {
					t.Errorf("%d generations; want 1", len(ran))
				}
			})
		})
	}
}

func TestLinkThatStallsForGoodIsReplaced(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		time.AfterFunc(200*time.Millisecond, func() {
			r.network.Silence("engine-0", "entry-0")
			r.network.Silence("engine-1", "entry-0")
		})
		// Open connections are silent; new ones work after the network has
		// lost track of the old ones.
		begin := time.Now()
		time.AfterFunc(time.Second, func() {
			r.network.Heal("engine-0", "entry-0")
			r.network.Heal("engine-1", "entry-0")
		})
		var s received
		request := r.request(http.MethodPost, "http://entry-0:80/v1/completions", _draft)
		if err := r.stream(r.client("caller"), request, &s); err != nil {
			t.Fatal(err)
		}
		r.wantWhole(&s)
		if took, most := time.Since(begin), 3*_silence; took > most {
			t.Errorf("the answer took %v; want at most %v", took, most)
		}
	})
}

func TestEngineLostAfterTokensIsInterrupted(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		time.AfterFunc(300*time.Millisecond, func() {
			for _, e := range r.engines {
				e.Kill()
				e.Restart()
			}
		})
		var s received
		request := r.request(http.MethodPost, "http://entry-0:80/v1/completions", _draft)
		if err := r.stream(r.client("caller"), request, &s); err != nil {
			t.Fatal(err)
		}
		if s.whole || !strings.Contains(s.failed, `"Outcome":"Interrupted"`) || len(s.texts) == 0 {
			t.Errorf("whole=%t failed=%q tokens=%d; want Interrupted after tokens", s.whole, s.failed, len(s.texts))
		}
	})
}

// A whole answer survives the loss of its engine.
func TestWholeAnswerRunsAgainWhenItsEngineIsLost(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		time.AfterFunc(300*time.Millisecond, func() {
			r.engines[0].Kill()
			r.engines[0].Restart()
		})
		status, answer := r.post("http://entry-0:80/v1/completions", `{"service":"draft","prompt":"p [[tokens=60]]","delivery":"whole"}`)
		if status != http.StatusOK || !strings.Contains(answer, `"completion_tokens"`) {
			t.Fatalf("status %d: %s", status, answer)
		}
		if ran := r.engineRuns(); len(ran) != 2 {
			t.Errorf("%d generations; want 2", len(ran))
		}
	})
}

func TestResumptionByAnotherWorkspaceIsRefused(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		s := r.startAndLeave("entry-0", 300*time.Millisecond)
		generation, _, _ := runs.ParseEventID(s.id())
		request := r.request(http.MethodGet, "http://entry-1:80/v1/completions/"+string(generation), "")
		request.Header.Set("Workspace", "other")
		err := r.stream(r.client("caller"), request, &received{})
		if err == nil || !strings.Contains(err.Error(), "status 400") {
			t.Errorf("err = %v; want status 400", err)
		}
	})
}

// An engine that does not stop fills no memory: a whole answer beyond the bound is
// cancelled and not tried again.
func TestEngineThatDoesNotStopIsCancelled(t *testing.T) {
	config := testConfig()
	config.Limits.OutputTokensAtMost = 50
	inRig(t, config, func(r *rig) {
		status, answer := r.post("http://entry-0:80/v1/completions", `{"model":"m","prompt":"[[tokens=5000]]"}`)
		if status != http.StatusBadGateway || !strings.Contains(answer, "OutputTokensAtMost") {
			t.Errorf("status %d: %s; want 502 that names OutputTokensAtMost", status, answer)
		}
		r.hosts["entry-0"].runner.Wait()
		if ran := r.engineRuns(); len(ran) != 1 || !ran[0].Cancelled {
			t.Errorf("runs %+v; want one, cancelled", ran)
		}
	})
}
