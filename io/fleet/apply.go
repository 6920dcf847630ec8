package fleet

import (
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/member"
	"apricotproxy/core/procs/spread"
)

// decideAndApply calls decide with mu held and carries out its decision: it puts an
// accepted revision in force, and logs and audits a rejection or conflict.
func (f *Fleet) decideAndApply(source string, decide func() spread.Decision) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	decision := mutex.Get(&f.mu, decide)
	switch decision.Verdict {
	case spread.VerdictAccepted:
		f.apply(source, decision)
	case spread.VerdictRejected:
		f.log.Info("Rejected a revision. The last valid one stays in force.",
			"Revision", decision.Stamp.Revision, "Source", source, "Cause", decision.Err.Error())
		f.audit(core.AuditRevisionRejected, decision.Stamp.Revision, source, decision.Err.Error())
	case spread.VerdictConflict:
		if decision.FirstSeen {
			f.alertConflict(source, decision.Stamp.Revision)
		}
	default:
	}
}

func (f *Fleet) alertConflict(source string, revision core.Revision) {
	f.log.Info("Two different contents have the same revision number. The first one stays in force. Publish a higher revision.",
		"Revision", revision, "Source", source)
	f.audit(core.AuditRevisionConflict, revision, source,
		"another content has this number; publish a higher revision")
}

// setConfig puts a configuration in force, and returns the one before and the addresses of peers.
func (f *Fleet) setConfig(config core.Config) (previous core.Config, addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous = f.config
	f.config = config
	f.member.SetRoster(config.Hosts)
	f.member.SetTimings(config.Limits.HeartbeatInterval, config.Limits.TicketTerm)
	if config.Limits.HeartbeatInterval > 0 {
		f.heartbeatInterval = config.Limits.HeartbeatInterval
	}
	return previous, f.peerAddresses()
}

// apply puts an accepted revision in force. The caller holds applyMu. Heartbeats
// announce the revision only after the Apply callback has returned, because peers
// take an announced revision to be in force here.
func (f *Fleet) apply(source string, decision spread.Decision) {
	config := decision.Config
	previous, addresses := f.setConfig(config)
	if f.settings.Callbacks.Apply != nil {
		f.settings.Callbacks.Apply(config)
	}
	acknowledgements := mutex.Get(&f.mu, func() []member.Acknowledgement {
		f.applied = decision.Stamp
		f.member.SetSelf(decision.Stamp.Revision, f.draining)
		return f.member.Acknowledgements()
	})
	// Peers that got this revision before this host have acknowledged it already.
	f.reportChange(member.Change{Acknowledged: acknowledgements})
	if f.settings.Callbacks.SetPeerAddresses != nil {
		f.settings.Callbacks.SetPeerAddresses(addresses)
	}
	if f.settings.Callbacks.SetReadBudget != nil {
		f.settings.Callbacks.SetReadBudget(spread.ReaderBudget(len(config.Hosts), config.Limits.ServiceReads))
	}
	f.auditAccepted(source, previous, config)
	notify(f.heartbeatNow)
}

// auditAccepted records an accepted revision and the data centres that it takes out of
// service or puts back in service.
func (f *Fleet) auditAccepted(source string, previous, config core.Config) {
	f.log.Info("Put a revision in force.", "Revision", config.Revision, "Source", source)
	f.audit(core.AuditRevisionAccepted, config.Revision, source, "valid, and higher than the one before")
	for _, centre := range config.DataCentres {
		was, known := previous.DataCentre(centre.Name)
		if known && was.InService == centre.InService {
			continue
		}
		switch {
		case !centre.InService:
			f.audit(core.AuditDataCentreOut, config.Revision, string(centre.Name), source)
		case known:
			f.audit(core.AuditDataCentreIn, config.Revision, string(centre.Name), source)
		}
	}
}

// peerAddresses returns the known addresses of the other hosts. The caller holds mu.
func (f *Fleet) peerAddresses() []string {
	var addresses []string
	for _, name := range f.member.Hosts() {
		if address, ok := f.peerAddress(name); ok {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func (f *Fleet) audit(kind core.AuditKind, revision core.Revision, subject, cause string) {
	if f.settings.Auditor == nil {
		return
	}
	f.settings.Auditor.Record(core.AuditEvent{
		Time: time.Now(), Host: f.settings.Self, Kind: kind, Revision: revision, Subject: subject, Cause: cause,
	})
}

// auditNow records an event under the revision in force.
func (f *Fleet) auditNow(kind core.AuditKind, subject, cause string) {
	revision, _ := f.Revision()
	f.audit(kind, revision, subject, cause)
}
