package entry

import (
	"expvar"
	"slices"
	"time"

	"apricotproxy/core/procs/gossip"
	"apricotproxy/core/procs/pace"
	"apricotproxy/core/procs/place"
	"apricotproxy/io/news"
)

const (
	// _remotePacesInterval is how often a host tells other data centres what it saw of the paces of
	// engines, if that changes them noticeably: bytes between data centres are expensive. It
	// tells those of its own with each heartbeat.
	_remotePacesInterval = 4 * gossip.Interval
	// _allPacesInterval is how often it tells everything: a fraction of the time in which
	// observations lose half of their weight.
	_allPacesInterval = 20 * gossip.Interval
)

// paceGauges are the metrics of the paces of engines as this process knows them.
var _paceGauges = newPaceGauges()

type paceGauges struct {
	slowest *expvar.Float
	tooSlow *expvar.Int
}

func newPaceGauges() paceGauges {
	g := paceGauges{slowest: new(expvar.Float), tooSlow: new(expvar.Int)}
	paces := expvar.NewMap("apricotproxy.Routed.Pace")
	paces.Set("Slowest", g.slowest)
	paces.Set("TooSlow", g.tooSlow)
	return g
}

// receivePaces records what another host saw of the paces of engines.
func (p *peers) receivePaces(now time.Time, report *news.Paces) {
	if report.Host == p.self.Host {
		return
	}
	p.sharedPlacer.WithLock(func(placer *place.Placer) { placer.MergePaces(now, report.DataCentre, report.Reports) })
}

// sendPaces sends what this host saw of the paces of engines to the hosts of its data centre, and
// now and then to hosts of others.
func (p *peers) sendPaces(now time.Time, local, remote []string) {
	all, tellRemote := !now.Before(p.allPacesDueAt), !now.Before(p.remotePacesDueAt)
	var toLocal, toRemote []pace.Report
	var summary place.PaceSummary
	p.sharedPlacer.WithLock(func(placer *place.Placer) {
		toLocal = placer.PaceReports(now, pace.SameDataCentre, all)
		if tellRemote {
			toRemote = placer.PaceReports(now, pace.OtherDataCentres, all)
		}
		summary = placer.PaceSummary(now)
	})
	if all {
		p.allPacesDueAt = now.Add(_allPacesInterval)
	}
	if tellRemote {
		p.remotePacesDueAt = now.Add(_remotePacesInterval)
	}
	_paceGauges.slowest.Set(summary.Slowest)
	_paceGauges.tooSlow.Set(int64(summary.TooSlow))
	p.sendPaceReports(toLocal, local)
	p.sendPaceReports(toRemote, remote)
}

func (p *peers) sendPaceReports(reports []pace.Report, targets []string) {
	for reports := range slices.Chunk(reports, pace.MaxReports) {
		datagram, err := news.EncodePaces(&news.Paces{Host: p.self.Host, DataCentre: p.self.DataCentre, Reports: reports})
		p.sendTo(datagram, err, targets)
	}
}
