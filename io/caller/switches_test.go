package caller_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotproxy/core/invar"
	"apricotproxy/core/procs/ticket"
	fakeengine "apricotproxy/fakes/engine"
	"apricotproxy/io/runs"
)

// violations counts broken promises, which would otherwise fail the test.
type violations struct {
	mu   sync.Mutex
	seen map[invar.Promise]int
}

func collectViolations(t *testing.T) *violations {
	v := &violations{seen: map[invar.Promise]int{}}
	t.Cleanup(invar.SetHandler(func(broken *invar.Violation) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.seen[broken.Promise]++
	}))
	return v
}

func (v *violations) want(t *testing.T, promise invar.Promise) {
	t.Helper()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.seen[promise] == 0 {
		t.Errorf("violations %v; want one of %s", v.seen, promise)
	}
}

// With the resume filter disabled, the checks on delivered tokens must detect a wrong
// event of an engine.
func TestChecksDetectADisabledResumeFilter(t *testing.T) {
	for fault, promise := range map[fakeengine.TokenFault]invar.Promise{
		fakeengine.TokenTwice:   invar.TokensOnceInOrder,
		fakeengine.TokenMissing: invar.TokensOnceInOrder,
		fakeengine.TokenForeign: invar.AnswerToOwnRequest,
	} {
		t.Run(string(promise), func(t *testing.T) {
			seen := collectViolations(t)
			inRig(t, testConfig(), func(r *rig) {
				r.switches = runs.Switches{NoResumeFilter: true}
				h := r.startHost("entry-weak", 1)
				time.AfterFunc(200*time.Millisecond, func() {
					for _, e := range r.engines {
						e.InjectTokenFault(fault)
					}
				})
				request := r.request(http.MethodPost, "http://"+string(h.id.Host)+":80/v1/completions", _draft)
				res, err := r.client("caller").Do(request)
				if err != nil {
					t.Fatal(err)
				}
				h.runner.Wait()
				_ = res.Body.Close()
			})
			seen.want(t, promise)
		})
	}
}

// With the ledger's check for repeats disabled, a copy of a running order is
// dispatched again, and the invariant check in the ledger must detect it.
func TestChecksDetectADisabledLedgerCheck(t *testing.T) {
	seen := collectViolations(t)
	inRig(t, testConfig(), func(r *rig) {
		r.ledgerSwitches = ticket.Switches{RunRepeats: true}
		h := r.startHost("entry-weak", 1)
		tickets := r.tickets("entry-weak", 1)
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() { _, _ = r.order("entry-weak", tickets[0]) })
		}
		group.Wait()
		h.runner.Wait()
		if ran := r.orderRuns(); ran < 2 {
			t.Errorf("the order ran %d times; want 2 or more with the check disabled", ran)
		}
	})
	seen.want(t, invar.OrderAtMostOnce)
}

// A request whose only try was lost may have run. When the dispatcher refuses another
// try, the outcome must not be NotRun. With ForgetEarlierTries set it is NotRun, and the
// invariant check must detect that.
func TestRefusalAfterALostTryIsUnknown(t *testing.T) {
	for name, switches := range map[string]runs.Switches{
		"all safeguards":          {},
		"earlier tries forgotten": {ForgetEarlierTries: true},
	} {
		t.Run(name, func(t *testing.T) {
			seen := collectViolations(t)
			inRig(t, testConfig(), func(r *rig) {
				r.switches = switches
				h := r.startHost("entry-weak", 1)
				h.dispatcher.MaxTries = 1
				time.AfterFunc(300*time.Millisecond, func() {
					for _, e := range r.engines {
						e.Kill()
						e.Restart()
					}
				})
				status, answer := r.post("http://entry-weak:80/v1/completions", `{"model":"m","prompt":"[[tokens=60]]"}`)
				if switches.ForgetEarlierTries {
					return
				}
				if status != http.StatusBadGateway || !strings.Contains(answer, `"Outcome":"Unknown"`) {
					t.Errorf("status %d: %s; want 502 Unknown", status, answer)
				}
			})
			if switches.ForgetEarlierTries {
				seen.want(t, invar.NotRunMeansNotRun)
			}
		})
	}
}
