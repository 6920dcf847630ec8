package confg

import (
	"fmt"
	"time"

	"apricotproxy/core"
)

// Sizes of request bodies, in bytes.
const (
	_kilobyte = 1 << 10
	_megabyte = 1 << 20
)

// DefaultLimits are in force where neither base nor overlay sets a limit.
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
	s := b.only(_kindLimits)
	r := b.read(s, _kindLimits)
	d := DefaultLimits()
	b.config.Limits = core.Limits{
		RequestTimeout:     r.duration("RequestTimeout", d.RequestTimeout, time.Second, time.Hour),
		QueueTimeout:       r.duration("QueueTimeout", d.QueueTimeout, 100*time.Millisecond, time.Hour),
		QueueLength:        int(r.integer("QueueLength", int64(d.QueueLength), 1, 1_000_000)),
		SilenceTimeout:     r.duration("SilenceTimeout", d.SilenceTimeout, 3*time.Second, 5*time.Minute),
		DialTimeout:        r.duration("DialTimeout", d.DialTimeout, 10*time.Millisecond, time.Minute),
		LeaseTerm:          r.duration("LeaseTerm", d.LeaseTerm, time.Second, time.Minute),
		ConfigSpread:       r.duration("ConfigSpread", d.ConfigSpread, time.Second, 14*time.Second),
		AbandonGrace:       r.duration("AbandonGrace", d.AbandonGrace, time.Second, time.Hour),
		RetryShare:         r.number("RetryShare", d.RetryShare, 0, 1),
		TicketTerm:         r.duration("TicketTerm", d.TicketTerm, 10*time.Second, 24*time.Hour),
		LedgerSize:         int(r.integer("LedgerSize", int64(d.LedgerSize), 1, 1_000_000)),
		BodyBytes:          r.integer("BodyBytes", d.BodyBytes, _kilobyte, 64*_megabyte),
		DrainNotice:        r.duration("DrainNotice", d.DrainNotice, 0, 5*time.Minute),
		ReportInterval:     r.duration("ReportInterval", d.ReportInterval, 50*time.Millisecond, 10*time.Second),
		ReportLag:          r.duration("ReportLag", d.ReportLag, time.Millisecond, 30*time.Second),
		HeartbeatInterval:  r.duration("HeartbeatInterval", d.HeartbeatInterval, 100*time.Millisecond, 10*time.Second),
		ServiceReads:       r.number("ServiceReads", d.ServiceReads, 0.1, 2000),
		WeightLoads:        r.number("WeightLoads", d.WeightLoads, 0, 100_000),
		WarmProof:          int(r.integer("WarmProof", int64(d.WarmProof), 1, 10_000)),
		OutputTokensAtMost: int(r.integer("OutputTokensAtMost", int64(d.OutputTokensAtMost), 1, 10_000_000)),
	}
	r.close()
	b.checkLimits(r)
}

// checkLimits checks pairs of limits. Worked example: with ConfigSpread = 2s
// and HeartbeatInterval = 1s only two heartbeats carry a revision before it
// must be in force; the loss of one or two would leave a host behind.
func (b *builder) checkLimits(r *reader) {
	limits := b.config.Limits
	r.ordered("QueueTimeout", limits.QueueTimeout, "RequestTimeout", limits.RequestTimeout)
	r.ordered("DialTimeout", limits.DialTimeout, "RequestTimeout", limits.RequestTimeout)
	r.ordered("LeaseTerm", limits.LeaseTerm, "ConfigSpread", limits.ConfigSpread)
	r.ordered("QueueTimeout", limits.QueueTimeout, "TicketTerm", limits.TicketTerm)
	r.ordered("ReportInterval", limits.ReportInterval, "LeaseTerm", limits.LeaseTerm)
	r.ordered("HeartbeatInterval", 3*limits.HeartbeatInterval, "a third of ConfigSpread", limits.ConfigSpread)
}

// ordered reports a limit that is above another one.
func (r *reader) ordered(key string, value time.Duration, bound string, most time.Duration) {
	if value <= most {
		return
	}
	e, found := r.section.find(key)
	if !found {
		e = entry{Key: key, Value: "its default"}
	}
	if key == "HeartbeatInterval" {
		most /= 3
	}
	r.fail(e, fmt.Sprintf("at most %s, which is %s", bound, formatDuration(most)), fmt.Sprintf("lower %s", key))
}

func (b *builder) buildTLS() {
	r := b.read(b.only(_kindTLS), _kindTLS)
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
	r.close()
	r.together("CallerCertificate", "CallerKey")
	r.together("PeerCertificate", "PeerKey", "PeerAuthority")
	r.together("EndpointCertificate", "EndpointKey")
	if b.config.TLS.EndpointCertificate != "" && b.config.TLS.EndpointAuthority == "" {
		e, _ := r.section.find("EndpointCertificate")
		r.fail(e, "EndpointAuthority as well", "name the authority that signs the endpoints' certificates")
	}
}

// together reports keys of which only some are set.
func (r *reader) together(keys ...string) {
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
	r.fail(e, fmt.Sprintf("all or none of %v", keys), fmt.Sprintf("add %s, or remove %s", unset[0], set[0]))
}
