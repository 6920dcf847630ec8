package tries_test

import (
	"testing"

	"apricotproxy/core"
	"apricotproxy/core/reqst/tries"
)

var (
	_lookup = &core.Route{Kind: core.RouteIdempotent, MaxAttempts: 2}
	_order  = &core.Route{Kind: core.RouteNonIdempotent, MaxAttempts: 1}
	_draft  = &core.Route{Kind: core.RouteStreaming, MaxAttempts: 1}
	_check  = &core.Route{Kind: core.RouteStreaming, MaxAttempts: 2, Resumable: true}
)

// try is one try: whether its request was sent, whether it continued from a copy
// of the run's memory, and how it ended.
type try struct {
	sent     bool
	fromCopy bool
	result   tries.Result
	// The situation after the try.
	delivered bool
	copy      bool
	noBudget  bool
	noTime    bool
	hadEvents bool
	ended     int
	prepared  tries.Step
}

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name  string
		route *core.Route
		tries []try
		want  tries.Step
	}{
		{"an order that was not sent goes to another endpoint", _order, []try{{result: tries.NotSent}}, tries.Again},
		{"an order that was refused goes to another endpoint", _order, []try{{sent: true, result: tries.Refused}}, tries.Again},
		{"an order that was refused, without budget", _order, []try{{sent: true, result: tries.Refused, noBudget: true}}, tries.Refuse},
		{"an order that was lost may have run", _order, []try{{sent: true, result: tries.Lost}}, tries.Fail},
		{"an order that failed keeps the endpoint's answer", _order, []try{{sent: true, result: tries.Failed}}, tries.Relay},
		{"an order refused, then lost", _order, []try{{sent: true, result: tries.Refused}, {sent: true, result: tries.Lost}}, tries.Fail},
		{"a lookup that was lost runs again", _lookup, []try{{sent: true, result: tries.Lost}}, tries.Again},
		{"a lookup that failed runs again", _lookup, []try{{sent: true, result: tries.Failed}}, tries.Again},
		{"a lookup runs no more often than its route allows", _lookup, []try{{sent: true, result: tries.Failed}, {sent: true, result: tries.Failed}}, tries.Relay},
		{"a lookup lost twice", _lookup, []try{{sent: true, result: tries.Lost}, {sent: true, result: tries.Lost}}, tries.Fail},
		{"a lookup lost, then refused", _lookup, []try{{sent: true, result: tries.Lost}, {sent: true, result: tries.Refused}}, tries.Again},
		{"a lookup lost, then refused without budget, may have run", _lookup, []try{{sent: true, result: tries.Lost}, {sent: true, result: tries.Refused, noBudget: true}}, tries.Fail},
		{"a lookup without time left", _lookup, []try{{sent: true, result: tries.Lost, noTime: true}}, tries.Fail},
		{"nothing was sent and no time is left", _lookup, []try{{result: tries.NotSent, noTime: true}}, tries.Refuse},
		{"a draft that was lost before its first event may have run", _draft, []try{{sent: true, result: tries.Lost}}, tries.Fail},
		{"a draft continues from a copy", _draft, []try{{sent: true, result: tries.Broken, delivered: true, copy: true}}, tries.Continue},
		{"a draft without a copy is cut", _draft, []try{{sent: true, result: tries.Broken, delivered: true}}, tries.Cut},
		{"a draft whose copy was refused is cut", _draft, []try{{sent: true, result: tries.Broken, delivered: true, copy: true}, {sent: true, fromCopy: true, result: tries.Refused, delivered: true}}, tries.Cut},
		{"a draft that may have run never runs again", _draft, []try{{sent: true, result: tries.Lost, copy: true}, {sent: true, fromCopy: true, result: tries.Refused}}, tries.Fail},
		// Guards against writing an endpoint's status 500 into a stream that has
		// begun, which ended the stream as if it were complete.
		{"a draft that continued and failed is cut", _draft, []try{{sent: true, result: tries.Broken, delivered: true, copy: true}, {sent: true, fromCopy: true, result: tries.Failed, delivered: true}}, tries.Cut},
		{"a draft that continued and failed, with another copy", _draft, []try{{sent: true, result: tries.Broken, delivered: true, copy: true}, {sent: true, fromCopy: true, result: tries.Failed, delivered: true, copy: true}}, tries.Continue},
		{"a check is resumed after what was delivered", _check, []try{{sent: true, result: tries.Broken, delivered: true}}, tries.Resume},
		{"a check broken off twice is cut", _check, []try{{sent: true, result: tries.Broken, delivered: true}, {sent: true, result: tries.Broken, delivered: true}}, tries.Cut},
		{"a check whose second endpoint ended goes on at a third", _check, []try{{sent: true, result: tries.Broken, delivered: true, hadEvents: true}, {sent: true, result: tries.Broken, delivered: true, ended: 1}}, tries.Resume},
		{"a check whose endpoints ended, without budget", _check, []try{{sent: true, result: tries.Broken, delivered: true}, {sent: true, result: tries.Broken, delivered: true, hadEvents: true, ended: 2, noBudget: true}}, tries.Cut},
		{"a check that ends each endpoint without an event is cut", _check, []try{{sent: true, result: tries.Broken, delivered: true, hadEvents: true}, {sent: true, result: tries.Broken, delivered: true, ended: 2}, {sent: true, result: tries.Broken, delivered: true, ended: 3}}, tries.Cut},
		{"a lookup whose endpoints ended runs no more often", _lookup, []try{{sent: true, result: tries.Lost}, {sent: true, result: tries.Lost, ended: 2}}, tries.Fail},
		{"an order whose endpoint ended may have run", _order, []try{{sent: true, result: tries.Lost, ended: 1}}, tries.Fail},
		{"a draft whose endpoint ended is cut", _draft, []try{{sent: true, result: tries.Broken, delivered: true, ended: 1}}, tries.Cut},
		{"a check with a place elsewhere goes on there", _check, []try{{sent: true, result: tries.Broken, delivered: true, noBudget: true, prepared: tries.Resume}}, tries.Resume},
		{"a lookup with a place elsewhere goes on there", _lookup, []try{{sent: true, result: tries.Lost, noBudget: true, prepared: tries.Again}}, tries.Again},
		{"a draft with a place at its copy goes on there", _draft, []try{{sent: true, result: tries.Broken, delivered: true, prepared: tries.Continue}}, tries.Continue},
		{"a check resumed and failed is cut", _check, []try{{sent: true, result: tries.Broken, delivered: true}, {sent: true, result: tries.Failed, delivered: true}}, tries.Cut},
	} {
		t.Run(c.name, func(t *testing.T) {
			history := tries.New(c.route, tries.Switches{})
			var got tries.Step
			for _, one := range c.tries {
				if one.sent {
					history.Sent(one.fromCopy)
				}
				got = history.Next(one.result, tries.Situation{
					Delivered: one.delivered, HasCopy: one.copy, TimeLeft: !one.noTime,
					SpendRetry: func() bool { return !one.noBudget },
					HadEvents:  one.hadEvents, Prepared: one.prepared, EndedEndpoints: func() int { return one.ended },
				})
			}
			if got != c.want {
				t.Errorf("next step %v, want %v", got, c.want)
			}
		})
	}
}

// A request is refused after a limited number of tries that reach no endpoint.
func TestTriesThatReachNoEndpointAreLimited(t *testing.T) {
	history := tries.New(_lookup, tries.Switches{})
	for n := range 100 {
		if step := history.Next(tries.NotSent, tries.Situation{TimeLeft: true}); step == tries.Refuse {
			t.Logf("refused after %d tries", n+1)
			return
		}
	}
	t.Error("not refused after 100 tries that reached no endpoint")
}

// Where a request goes on if its silent endpoint is left. The last try is the silent one.
func TestElsewhere(t *testing.T) {
	for _, c := range []struct {
		name  string
		route *core.Route
		tries []try
		want  tries.Step
	}{
		{"an order may have run", _order, []try{{}}, 0},
		{"a lookup goes to another endpoint", _lookup, []try{{}}, tries.Again},
		{"a lookup that used its attempts", _lookup, []try{{result: tries.Lost}, {}}, 0},
		{"a lookup without time left", _lookup, []try{{noTime: true}}, 0},
		{"a draft without a copy", _draft, []try{{delivered: true, hadEvents: true}}, 0},
		{"a draft with a copy", _draft, []try{{delivered: true, hadEvents: true, copy: true}}, tries.Continue},
		{"a check before its first event", _check, []try{{}}, tries.Again},
		{"a check after its first event", _check, []try{{delivered: true, hadEvents: true}}, tries.Resume},
		{"a check that used its attempts", _check, []try{{result: tries.Broken, delivered: true}, {delivered: true}}, 0},
		{"a check whose first endpoint ended", _check, []try{{result: tries.Broken, delivered: true, hadEvents: true}, {delivered: true, ended: 1}}, tries.Resume},
		{"a check that gets no event after two endpoints ended", _check, []try{{result: tries.Broken, delivered: true}, {delivered: true, ended: 2}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			history := tries.New(c.route, tries.Switches{})
			var got tries.Step
			for i, one := range c.tries {
				history.Sent(one.fromCopy)
				situation := tries.Situation{
					Delivered: one.delivered, HasCopy: one.copy, TimeLeft: !one.noTime, HadEvents: one.hadEvents,
					SpendRetry: func() bool { return true }, EndedEndpoints: func() int { return one.ended },
				}
				if i < len(c.tries)-1 {
					history.Next(one.result, situation)
				}
				got = history.Elsewhere(situation)
			}
			if got != c.want {
				t.Errorf("step %v, want %v", got, c.want)
			}
		})
	}
}
