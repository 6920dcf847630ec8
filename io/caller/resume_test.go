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

// streamThenDisconnect starts a stream and closes the caller's connection after the
// given time.
func (r *rig) streamThenDisconnect(host string, after time.Duration) *receivedStream {
	s := &receivedStream{}
	ctx, cancel := context.WithCancel(r.t.Context())
	defer cancel()
	request := r.request(http.MethodPost, "http://"+host+":80/v1/completions", _draft).WithContext(ctx)
	time.AfterFunc(after, cancel)
	if err := r.stream(r.client("caller"), request, s); err == nil {
		r.t.Errorf("the stream ended with %d tokens before the caller disconnected", len(s.texts))
	}
	return s
}

// resume continues a stream at the given host.
func (r *rig) resume(host string, s *receivedStream) error {
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

func TestCallerResumesAtAnyHost(t *testing.T) {
	for _, host := range []string{"entry-0", "entry-1"} {
		t.Run(host, func(t *testing.T) {
			inRig(t, testConfig(), func(r *rig) {
				s := r.streamThenDisconnect("entry-0", 300*time.Millisecond)
				time.Sleep(200 * time.Millisecond)
				if err := r.resume(host, s); err != nil {
					t.Fatal(err)
				}
				r.wantComplete(s)
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

// A generation that takes longer than the abandon grace is not cancelled while
// another host reads it for the caller.
func TestAdoptionKeepsGenerationBeyondTheGrace(t *testing.T) {
	config := testConfig()
	config.Limits.AbandonGrace = 400 * time.Millisecond
	inRig(t, config, func(r *rig) {
		s := r.streamThenDisconnect("entry-0", 100*time.Millisecond)
		if err := r.resume("entry-1", s); err != nil {
			t.Fatal(err)
		}
		r.wantComplete(s)
	})
}

// Adopt calls are repeated, so losing one of them does not end the adoption.
func TestAdoptionSurvivesALostMessage(t *testing.T) {
	config := testConfig()
	config.Limits.AbandonGrace = 400 * time.Millisecond
	inRig(t, config, func(r *rig) {
		calls := 0
		r.wrapPeer = func(_, _ core.HostName, peer wire.Peer) wire.Peer {
			return faultyPeer{Peer: peer, before: func(method string) error {
				if method != "Adopt" {
					return nil
				}
				if calls++; calls%2 == 1 {
					return errConnectionBroken
				}
				return nil
			}}
		}
		s := r.streamThenDisconnect("entry-0", 100*time.Millisecond)
		if err := r.resume("entry-1", s); err != nil {
			t.Fatal(err)
		}
		r.wantComplete(s)
	})
}

// A host that started a generation and loses its connection to the engine must not
// cancel the generation while another host reads it for the caller.
func TestAdoptionSurvivesLossOfTheFirstHostsLink(t *testing.T) {
	config := testConfig()
	config.Limits.AbandonGrace = 400 * time.Millisecond
	config.Limits.SilenceTimeout = 100 * time.Millisecond
	inRig(t, config, func(r *rig) {
		s := r.streamThenDisconnect("entry-0", 100*time.Millisecond)
		r.network.Stall("entry-0", "engine-0")
		r.network.Stall("entry-0", "engine-1")
		heal := time.AfterFunc(600*time.Millisecond, func() {
			r.network.Heal("entry-0", "engine-0")
			r.network.Heal("entry-0", "engine-1")
		})
		defer heal.Stop()
		if err := r.resume("entry-1", s); err != nil {
			t.Fatal(err)
		}
		r.wantComplete(s)
	})
}

func TestAbandonedGenerationIsCancelledAfterTheGrace(t *testing.T) {
	config := testConfig()
	config.Limits.AbandonGrace = 200 * time.Millisecond
	inRig(t, config, func(r *rig) {
		r.streamThenDisconnect("entry-0", 100*time.Millisecond)
		r.hosts["entry-0"].runner.Wait()
		if ran := r.engineRuns(); len(ran) != 1 || !ran[0].Cancelled {
			t.Errorf("runs %+v; want one, cancelled", ran)
		}
		ended := r.hosts["entry-0"].dispatcher.FinishedTries()
		if len(ended) != 1 || ended[0].Result != core.ResultCancelled {
			t.Errorf("ended %+v; want one ResultCancelled", ended)
		}
	})
}

// A cancel that does not reach the engine is retried, and the slot counts as in use
// until the engine has answered.
func TestCancelIsRetriedWhileTheEngineIsUnreachable(t *testing.T) {
	config := testConfig()
	config.Limits.AbandonGrace = 200 * time.Millisecond
	inRig(t, config, func(r *rig) {
		r.streamThenDisconnect("entry-0", 100*time.Millisecond)
		r.network.Stall("entry-0", "engine-0")
		r.network.Stall("entry-0", "engine-1")
		time.Sleep(20 * time.Second)
		if used := r.hosts["entry-0"].dispatcher.InUse(); used != 1 {
			t.Errorf("%d slots are counted; want 1 while the generation may be running", used)
		}
		r.network.Heal("entry-0", "engine-0")
		r.network.Heal("entry-0", "engine-1")
		r.hosts["entry-0"].runner.Wait()
		if used := r.hosts["entry-0"].dispatcher.InUse(); used != 0 {
			t.Errorf("%d slots are counted; want 0", used)
		}
	})
}

// Whatever the fault of the connection or the engine, the caller receives the
// complete answer, in order, from one generation.
func TestStreamFaultsAreHiddenFromTheCaller(t *testing.T) {
	faults := map[string]func(e *fakeengine.Engine){
		"silent":  func(e *fakeengine.Engine) { e.InjectStreamFault(fakeengine.StreamSilent) },
		"cut":     func(e *fakeengine.Engine) { e.InjectStreamFault(fakeengine.StreamCut) },
		"twice":   func(e *fakeengine.Engine) { e.InjectTokenFault(fakeengine.TokenTwice) },
		"missing": func(e *fakeengine.Engine) { e.InjectTokenFault(fakeengine.TokenMissing) },
		"foreign": func(e *fakeengine.Engine) { e.InjectTokenFault(fakeengine.TokenForeign) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inRig(t, testConfig(), func(r *rig) {
				time.AfterFunc(200*time.Millisecond, func() {
					for _, e := range r.engines {
						fault(e)
					}
				})
				var s receivedStream
				request := r.request(http.MethodPost, "http://entry-0:80/v1/completions", _draft)
				if err := r.stream(r.client("caller"), request, &s); err != nil {
					t.Fatal(err)
				}
				r.wantComplete(&s)
				if ran := r.engineRuns(); len(ran) != 1 {
					t.Errorf("%d generations; want 1", len(ran))
				}
			})
		})
	}
}

func TestStalledConnectionIsReplaced(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		time.AfterFunc(200*time.Millisecond, func() {
			r.network.Silence("engine-0", "entry-0")
			r.network.Silence("engine-1", "entry-0")
		})
		// The open connections lose every byte to the host for good; new connections
		// work.
		begin := time.Now()
		time.AfterFunc(time.Second, func() {
			r.network.Heal("engine-0", "entry-0")
			r.network.Heal("engine-1", "entry-0")
		})
		var s receivedStream
		request := r.request(http.MethodPost, "http://entry-0:80/v1/completions", _draft)
		if err := r.stream(r.client("caller"), request, &s); err != nil {
			t.Fatal(err)
		}
		r.wantComplete(&s)
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
		var s receivedStream
		request := r.request(http.MethodPost, "http://entry-0:80/v1/completions", _draft)
		if err := r.stream(r.client("caller"), request, &s); err != nil {
			t.Fatal(err)
		}
		if s.complete || !strings.Contains(s.errorData, `"Outcome":"Interrupted"`) || len(s.texts) == 0 {
			t.Errorf("complete=%t error=%q tokens=%d; want Interrupted after some tokens", s.complete, s.errorData, len(s.texts))
		}
	})
}

// A buffered answer has not reached the caller, so its request can run again.
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
		s := r.streamThenDisconnect("entry-0", 300*time.Millisecond)
		generation, _, _ := runs.ParseEventID(s.id())
		request := r.request(http.MethodGet, "http://entry-1:80/v1/completions/"+string(generation), "")
		request.Header.Set("Workspace", "other")
		err := r.stream(r.client("caller"), request, &receivedStream{})
		if err == nil || !strings.Contains(err.Error(), "status 400") {
			t.Errorf("err = %v; want status 400", err)
		}
	})
}

// A buffered answer must not grow without limit if the engine does not stop: beyond
// OutputTokensAtMost the generation is cancelled and not tried again.
func TestGenerationBeyondTheTokenLimitIsCancelled(t *testing.T) {
	config := testConfig()
	config.Limits.OutputTokensAtMost = 50
	inRig(t, config, func(r *rig) {
		status, answer := r.post("http://entry-0:80/v1/completions", `{"model":"m","prompt":"[[tokens=5000]]"}`)
		if status != http.StatusBadGateway || !strings.Contains(answer, "OutputTokensAtMost") {
			t.Errorf("status %d: %s; want 502 with OutputTokensAtMost", status, answer)
		}
		r.hosts["entry-0"].runner.Wait()
		if ran := r.engineRuns(); len(ran) != 1 || !ran[0].Cancelled {
			t.Errorf("runs %+v; want one, cancelled", ran)
		}
	})
}
