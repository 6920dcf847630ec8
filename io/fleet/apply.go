package fleet

import (
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/member"
	"apricotproxy/core/procs/spread"
)

// offer hands a bundle to the spread and puts it in force when accepted.
func (f *Fleet) offer(source string, decide func() spread.Decision) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	decision := decide()
	f.mu.Unlock()
	switch decision.Verdict {
	case spread.VerdictAccepted:
		f.apply(source, decision)
	case spread.VerdictRejected:
		f.log.Info("Rejected a revision. The last good one stays.",
			"Revision", decision.Stamp.Revision, "Source", source, "Cause", decision.Err.Error())
		f.audit(core.AuditRevisionRejected, decision.Stamp.Revision, source, decision.Err.Error())
	case spread.VerdictConflict:
		if decision.FirstSeen {
			f.alarmConflict(source, decision.Stamp.Revision)
		}
	default:
	}
}

func (f *Fleet) alarmConflict(source string, revision core.Revision) {
	f.log.Info("Two contents have one revision number. The first stays. Publish a higher revision.",
		"Revision", revision, "Source", source)
	f.audit(core.AuditRevisionConflict, revision, source,
		"another content has this number; publish a higher revision")
}

// apply is called with applying held. Peers are told only after the callback
// has returned, because an acknowledged revision is one in force.
func (f *Fleet) apply(source string, decision spread.Decision) {
	config := decision.Config
	f.mu.Lock()
	before := f.config
	f.config = config
	f.member.SetRoster(config.Hosts)
	f.member.SetTimings(config.Limits.HeartbeatInterval, config.Limits.TicketTerm)
	if config.Limits.HeartbeatInterval > 0 {
		f.interval = config.Limits.HeartbeatInterval
	}
	addresses := f.addresses()
	f.mu.Unlock()
	if f.settings.Callbacks.Apply != nil {
		f.settings.Callbacks.Apply(config)
	}
	f.mu.Lock()
	f.applied = decision.Stamp
	f.member.SetSelf(decision.Stamp.Revision, f.draining)
	known := f.member.Acknowledgements()
	f.mu.Unlock()
	// Peers that were ahead have acknowledged this revision already.
	f.tell(member.Change{Acknowledged: known})
	if f.settings.Callbacks.KeepPeers != nil {
		f.settings.Callbacks.KeepPeers(addresses)
	}
	if f.settings.Callbacks.SetReads != nil {
		f.settings.Callbacks.SetReads(spread.ReaderBudget(len(config.Hosts), config.Limits.ServiceReads))
	}
	f.auditAccepted(source, before, config)
	poke(f.kick)
}

func (f *Fleet) auditAccepted(source string, before, config core.Config) {
	f.log.Info("Put a revision in force.", "Revision", config.Revision, "Source", source)
	f.audit(core.AuditRevisionAccepted, config.Revision, source, "valid, and higher than the one before")
	for _, centre := range config.DataCentres {
		was, known := before.DataCentre(centre.Name)
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

// addresses is called with mu held.
func (f *Fleet) addresses() []string {
	var addresses []string
	for _, name := range f.member.Hosts() {
		if address, ok := f.address(name); ok {
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
