package confg

import (
	"fmt"
	"time"

	"apricotproxy/core"
)

// Units for sizes of request bodies, in bytes.
const (
	_kilobyte = 1 << 10
	_megabyte = 1 << 20
)

// DefaultLimits returns the limits that apply where neither the base nor the
// overlay sets one.
func DefaultLimits() core.Limits {
	return core.Limits{
		RequestTimeout:     2 * time.Minute,
		QueueTimeout:       30 * time.Second,
		QueueLength:        2000,
		SilenceTimeout:     5 * time.Second,
		DialTimeout:        2 * time.Second,
		LeaseTerm:          5 * time.Second,
		ConfigSpread:       14 * time.Second,
		AbandonGrace:       15 * time.Second,
		RetryShare:         0.1,
		TicketTerm:         10 * time.Minute,
		LedgerSize:         20_000,
		BodyBytes:          4 * _megabyte,
		DrainNotice:        10 * time.Second,
		ReportInterval:     time.Second,
		ReportLag:          time.Second,
		HeartbeatInterval:  time.Second,
		ServiceReads:       20,
		WeightLoads:        6,
		WarmProof:          8,
		OutputTokensAtMost: 32_768,
	}
}

func (b *builder) buildLimits() {
	s := b.single(_kindLimits)
	r := b.newReader(s, _kindLimits)
	defaults := DefaultLimits()
	b.config.Limits = core.Limits{
		RequestTimeout:     r.duration("RequestTimeout", defaults.RequestTimeout, time.Second, time.Hour),
		QueueTimeout:       r.duration("QueueTimeout", defaults.QueueTimeout, 100*time.Millisecond, time.Hour),
		QueueLength:        int(r.integer("QueueLength", int64(defaults.QueueLength), 1, 1_000_000)),
		SilenceTimeout:     r.duration("SilenceTimeout", defaults.SilenceTimeout, 3*time.Second, 5*time.Minute),
		DialTimeout:        r.duration("DialTimeout", defaults.DialTimeout, 10*time.Millisecond, time.Minute),
		LeaseTerm:          r.duration("LeaseTerm", defaults.LeaseTerm, time.Second, time.Minute),
		ConfigSpread:       r.duration("ConfigSpread", defaults.ConfigSpread, time.Second, 14*time.Second),
		AbandonGrace:       r.duration("AbandonGrace", defaults.AbandonGrace, time.Second, time.Hour),
		RetryShare:         r.number("RetryShare", defaults.RetryShare, 0, 1),
		TicketTerm:         r.duration("TicketTerm", defaults.TicketTerm, 10*time.Second, 24*time.Hour),
		LedgerSize:         int(r.integer("LedgerSize", int64(defaults.LedgerSize), 1, 1_000_000)),
		BodyBytes:          r.integer("BodyBytes", defaults.BodyBytes, _kilobyte, 64*_megabyte),
		DrainNotice:        r.duration("DrainNotice", defaults.DrainNotice, 0, 5*time.Minute),
		ReportInterval:     r.duration("ReportInterval", defaults.ReportInterval, 50*time.Millisecond, 10*time.Second),
		ReportLag:          r.duration("ReportLag", defaults.ReportLag, time.Millisecond, 30*time.Second),
		HeartbeatInterval:  r.duration("HeartbeatInterval", defaults.HeartbeatInterval, 100*time.Millisecond, 10*time.Second),
		ServiceReads:       r.number("ServiceReads", defaults.ServiceReads, 0.1, 2000),
		WeightLoads:        r.number("WeightLoads", defaults.WeightLoads, 0, 100_000),
		WarmProof:          int(r.integer("WarmProof", int64(defaults.WarmProof), 1, 10_000)),
		OutputTokensAtMost: int(r.integer("OutputTokensAtMost", int64(defaults.OutputTokensAtMost), 1, 10_000_000)),
	}
	r.reportUnknownKeys()
	b.checkLimits(r)
}

// checkLimits checks limits against each other. ConfigSpread must span at least
// three heartbeats: with ConfigSpread = 2s and HeartbeatInterval = 1s only two
// heartbeats announce a revision before it must be in force, and losing one or
// both could leave a host on the old revision.
func (b *builder) checkLimits(r *reader) {
	limits := b.config.Limits
	r.checkAtMost("QueueTimeout", limits.QueueTimeout, "RequestTimeout", limits.RequestTimeout)
	r.checkAtMost("DialTimeout", limits.DialTimeout, "RequestTimeout", limits.RequestTimeout)
	r.checkAtMost("LeaseTerm", limits.LeaseTerm, "ConfigSpread", limits.ConfigSpread)
	r.checkAtMost("QueueTimeout", limits.QueueTimeout, "TicketTerm", limits.TicketTerm)
	r.checkAtMost("ReportInterval", limits.ReportInterval, "LeaseTerm", limits.LeaseTerm)
	r.checkAtMost("HeartbeatInterval", 3*limits.HeartbeatInterval, "a third of ConfigSpread", limits.ConfigSpread)
}

// checkAtMost reports a fault if the value of a key exceeds another limit. For
// HeartbeatInterval, value is three intervals and limit is ConfigSpread; the fault
// shows a third of it.
func (r *reader) checkAtMost(key string, value time.Duration, limitName string, limit time.Duration) {
	if value <= limit {
		return
	}
	e, found := r.section.find(key)
	if !found {
		e = entry{Key: key, Value: "its default"}
	}
	if key == "HeartbeatInterval" {
		limit /= 3
	}
	r.reportInvalid(e, fmt.Sprintf("at most %s, which is %s", limitName, formatDuration(limit)), fmt.Sprintf("lower %s", key))
}

func (b *builder) buildTLS() {
	r := b.newReader(b.single(_kindTLS), _kindTLS)
	b.config.TLS = core.TLS{
		CallerCertificate:   r.text("CallerCertificate", ""),
		CallerKey:           r.text("CallerKey", ""),
		PeerCertificate:     r.text("PeerCertificate", ""),
		PeerKey:             r.text("PeerKey", ""),
		PeerAuthority:       r.text("PeerAuthority", ""),
		EndpointAuthority:   r.text("EndpointAuthority", ""),
		EndpointCertificate: r.text("EndpointCertificate", ""),
		EndpointKey:         r.text("EndpointKey", ""),
	}
	r.reportUnknownKeys()
	r.requireAllOrNone("CallerCertificate", "CallerKey")
	r.requireAllOrNone("PeerCertificate", "PeerKey", "PeerAuthority")
	r.requireAllOrNone("EndpointCertificate", "EndpointKey")
	if b.config.TLS.EndpointCertificate != "" && b.config.TLS.EndpointAuthority == "" {
		e, _ := r.section.find("EndpointCertificate")
		r.reportInvalid(e, "EndpointAuthority as well", "name the authority that signs the endpoints' certificates")
	}
}

// requireAllOrNone reports a fault if some but not all of the keys are set.
func (r *reader) requireAllOrNone(keys ...string) {
	var set, unset []string
	for _, key := range keys {
		if e, found := r.section.find(key); found && e.Value != "" {
			set = append(set, key)
		} else {
			unset = append(unset, key)
		}
	}
	if len(set) == 0 || len(unset) == 0 {
		return
	}
	e, _ := r.section.find(set[0])
	r.reportInvalid(e, fmt.Sprintf("all or none of %v", keys), fmt.Sprintf("add %s, or remove %s", unset[0], set[0]))
}
