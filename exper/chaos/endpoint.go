package chaos

import (
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/slots"
)

// publish keeps the endpoint's state for reports that lag.
func (f *Fleet) publish() {
	for _, c := range f.configs[0].Endpoints {
		e := f.endpoints[c.Name]
		e.published = append(e.published, core.Report{
			Endpoint: c.Name, Incarnation: e.incarnation, Phase: e.phase, Running: len(e.inFlight),
			FreeTokens: 100000, TotalTokens: 100000, AskedAt: f.Now,
		})
		if len(e.published) > 100 {
			e.published = e.published[50:]
		}
	}
	f.After(50*time.Millisecond, f.publish)
}

// lagging gives the first state at or after a time: never older than asked for.
func (e *simEndpoint) lagging(since time.Time) core.Report {
	for _, report := range e.published {
		if !report.AskedAt.Before(since) {
			return report
		}
	}
	return core.Report{Endpoint: e.config.Name, Incarnation: e.incarnation, Phase: e.phase, Running: len(e.inFlight)}
}

func (f *Fleet) turnCold(e *simEndpoint, restart bool) {
	if restart {
		e.incarnation++
		clear(e.inFlight)
	}
	if e.phase == core.PhaseWarm || restart {
		e.coldSince = f.Now
	}
	e.phase = core.PhaseCold
}

// arrive counts a request at the endpoint.
func (f *Fleet) arrive(e *simEndpoint, who string, lasts time.Duration) {
	f.nextWork++
	work := f.nextWork
	incarnation := e.incarnation
	e.inFlight[work] = who
	f.Dispatched++
	terms := slots.TermsOf(f.configs[0].Limits)
	known := f.Now.Sub(e.coldSince) > terms.Validity+terms.Lag+2*_arrivalGap
	if e.phase == core.PhaseCold && known {
		f.ColdWork++
		if len(e.inFlight) > e.config.ColdSlots {
			f.ColdOver++
			f.Violation = fmt.Sprintf("%s: %d in flight on cold %s of %d, cold for %s: %v",
				f.Now.Sub(_epoch), len(e.inFlight), e.config.Name, e.config.ColdSlots, f.Now.Sub(e.coldSince), e.inFlight)
		}
	}
	if e.phase == core.PhaseWarm && len(e.inFlight) > e.config.WarmSlots {
		f.WarmOver++
	}
	f.After(lasts, func() {
		if e.incarnation == incarnation {
			delete(e.inFlight, work)
		}
	})
}
