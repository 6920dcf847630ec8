package chaos

import (
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/slots"
)

// recordReports records the state of all endpoints every 50 ms, so that hosts can
// receive reports that lag.
func (f *Fleet) recordReports() {
	for _, c := range f.configs[0].Endpoints {
		e := f.endpoints[c.Name]
		e.reports = append(e.reports, core.Report{
			Endpoint: c.Name, Incarnation: e.incarnation, Phase: e.phase, Running: len(e.inFlight),
			FreeTokens: 100000, TotalTokens: 100000, AskedAt: f.Now,
		})
		if len(e.reports) > 100 {
			e.reports = e.reports[50:]
		}
	}
	f.After(50*time.Millisecond, f.recordReports)
}

// reportSince returns the first recorded report that is not older than since, or the
// endpoint's current state if there is none.
func (e *simEndpoint) reportSince(since time.Time) core.Report {
	for _, report := range e.reports {
		if !report.AskedAt.Before(since) {
			return report
		}
	}
	return core.Report{Endpoint: e.config.Name, Incarnation: e.incarnation, Phase: e.phase, Running: len(e.inFlight)}
}

// turnCold makes an endpoint cold. A restart also drops the requests that run on it.
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

// receive runs a request on the endpoint and counts it if it exceeds a limit. On a cold
// endpoint, requests count only once no host may treat the endpoint as warm any more:
// every report that shows it warm has expired, and the requests placed because of such
// a report have arrived.
func (f *Fleet) receive(e *simEndpoint, description string, duration time.Duration) {
	f.lastRunID++
	id := f.lastRunID
	incarnation := e.incarnation
	e.inFlight[id] = description
	f.Dispatched++
	terms := slots.TermsOf(f.configs[0].Limits)
	warmReportsExpired := f.Now.Sub(e.coldSince) > terms.Validity+terms.Lag+2*_maxDispatchDelay
	if e.phase == core.PhaseCold && warmReportsExpired {
		f.ColdWork++
		if len(e.inFlight) > e.config.ColdSlots {
			f.ColdOver++
			f.ColdOverDetail = fmt.Sprintf("at %s: %d requests in flight on cold endpoint %s with %d cold slots, cold for %s: %v",
				f.Now.Sub(_epoch), len(e.inFlight), e.config.Name, e.config.ColdSlots, f.Now.Sub(e.coldSince), e.inFlight)
		}
	}
	if e.phase == core.PhaseWarm && len(e.inFlight) > e.config.WarmSlots {
		f.WarmOver++
	}
	f.After(duration, func() {
		if e.incarnation == incarnation {
			delete(e.inFlight, id)
		}
	})
}
