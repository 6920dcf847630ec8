package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
)

// Settings configure a Ledger.
type Settings struct {
	Site core.SiteName
	Self core.HostID
	Key  Key
	// Size is the maximum number of tickets in the ledger.
	Size int
	// Term is how long a ticket can start an order after it was issued. Its
	// outcome is kept for the same time again after that.
	Term time.Duration
	// MaxAnswerBytes is the size of the longest answer that is kept for repeated
	// requests.
	MaxAnswerBytes int
	// MaxTotalAnswerBytes bounds the total size of all kept answers.
	MaxTotalAnswerBytes int
	Switches            Switches
}

// Switches disable safeguards, so that tests can show that a missing safeguard is
// detected. Only tests set them.
type Switches struct {
	// RunRepeats runs an order again for each repeat that arrives while it
	// is running.
	RunRepeats bool
	// RunDuringHandover continues to start and dispatch orders while the ledger
	// is handed over.
	RunDuringHandover bool
}

// Digest identifies the content of an order: its service, call and body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an order. It covers the lengths of the names,
// so that moving bytes between the fields changes the digest.
func DigestOf(service core.ServiceName, call core.CallName, body []byte) Digest {
	data := fmt.Appendf(nil, "%d %s %d %s ", len(service), service, len(call), call)
	return sha256.Sum256(append(data, body...))
}

// Outcome is the recorded result of an order, as repeated requests get it.
type Outcome struct {
	Outcome core.Outcome
	Cause   core.Cause
	Detail  string
	Answer  []byte
}

// StepKind is what the caller of Begin must do with an order.
type StepKind uint8

// Step kinds.
const (
	// StepRun: choose an endpoint, dispatch the order, then call Finish.
	StepRun StepKind = iota + 1
	// StepRecorded: the order already has an outcome.
	StepRecorded
	// StepWait: the order is already running, or the ledger is being handed
	// over to another host. Call Begin again after a change of the ledger.
	StepWait
	// StepRefuse: the ticket does not permit the order, which did not run.
	StepRefuse
	// StepElsewhere: another host decides on the ticket. Step.Holder is set if
	// this host knows which one.
	StepElsewhere
)

// Step is the ledger's decision on an order.
type Step struct {
	Kind     StepKind
	ID       ID
	Recorded Outcome
	Err      *core.OutcomeError
	Holder   core.HostID
}

// phase is the state of a ticket.
type phase uint8

const (
	phaseIssued phase = iota
	phaseRunning
	phaseRecorded
)

// record is a ticket in the ledger and the state of its order.
type record struct {
	ticket Ticket
	phase  phase
	digest Digest
	// mayHaveRun is true once a dispatch may have reached an endpoint, until the
	// endpoint or the transport proves that it ran nothing.
	mayHaveRun bool
	outcome    Outcome
	evictAt    time.Time
}

// Ledger holds the tickets that this incarnation issued, and those that leaving
// hosts handed over to it.
type Ledger struct {
	settings Settings
	records  map[ID]*record
	// issuers is the set of incarnations whose tickets this ledger decides on.
	issuers map[core.HostID]struct{}
	serial  uint64
	running int
	// answerBytes is the total size of the kept answers.
	answerBytes int
	// nextEviction is when the records are next scanned for expired ones.
	nextEviction time.Time
	// earliestEviction is a lower bound of the time at which the next record
	// expires. With it a full ledger refuses without scanning its records.
	earliestEviction time.Time
	handover
}

// New builds an empty ledger.
func New(settings Settings) *Ledger {
	return &Ledger{
		settings: settings,
		records:  map[ID]*record{},
		issuers:  map[core.HostID]struct{}{settings.Self: {}},
		handover: newHandover(),
	}
}

// SetLimits changes the size and the term. Tickets that were already issued keep
// their expiry times.
func (l *Ledger) SetLimits(size int, term time.Duration) {
	l.settings.Size = size
	l.settings.Term = term
}

// Held returns the number of tickets in the ledger.
func (l *Ledger) Held() int { return len(l.records) }

// Running returns the number of running orders.
func (l *Ledger) Running() int { return l.running }

// Issue issues count tickets. If there is no room for all of them it issues none
// and returns a NotRun error with CauseLedgerFull; no record is evicted before
// it expires.
func (l *Ledger) Issue(now time.Time, workspace core.WorkspaceName, count int) ([]Ticket, *core.OutcomeError) {
	if l.sealed() {
		return nil, core.NotRun(core.CauseDraining, "this host is leaving; ask again, another host will answer", now)
	}
	l.evictIfDue(now)
	if len(l.records)+count > l.settings.Size && !now.Before(l.earliestEviction) {
		l.evictExpired(now)
	}
	if len(l.records)+count > l.settings.Size {
		return nil, core.NotRun(core.CauseLedgerFull,
			fmt.Sprintf("the host holds %d of at most %d tickets; ask again later or for fewer than %d",
				len(l.records), l.settings.Size, count),
			l.earliestEviction)
	}
	tickets := make([]Ticket, 0, count)
	expires := now.Add(l.settings.Term).Truncate(time.Millisecond)
	for range count {
		l.serial++
		t := Ticket{
			ID:        ID{Issuer: l.settings.Self, Serial: l.serial},
			Site:      l.settings.Site,
			Workspace: workspace,
			ExpiresAt: expires,
		}.withMAC(l.settings.Key)
		l.add(&record{ticket: t, evictAt: expires.Add(l.settings.Term)})
		tickets = append(tickets, t)
	}
	return tickets, nil
}

// Begin decides what happens to an order. It never returns StepRun for a ticket
// that has run, is running, or has an outcome.
func (l *Ledger) Begin(now time.Time, t Ticket, workspace core.WorkspaceName, digest Digest) Step {
	if t.Site != l.settings.Site {
		return refuse(t, core.CauseTicketInvalid, fmt.Sprintf("the ticket is of site %q, this is %q", t.Site, l.settings.Site))
	}
	if t.Workspace != workspace {
		return refuse(t, core.CauseTicketInvalid, "the ticket was issued to another workspace")
	}
	if l.moved() {
		return Step{Kind: StepElsewhere, ID: t.ID, Holder: l.holder}
	}
	if _, ok := l.issuers[t.ID.Issuer]; !ok {
		return Step{Kind: StepElsewhere, ID: t.ID}
	}
	l.evictIfDue(now)
	r, ok := l.records[t.ID]
	if !ok {
		return l.decideMissing(t)
	}
	if !hmac.Equal(t.MAC[:], r.ticket.MAC[:]) {
		return refuse(t, core.CauseTicketInvalid, "the ticket's mark is wrong")
	}
	return l.decide(now, r, digest)
}

// decideMissing decides on a ticket without a record. If the MAC is valid the
// record has expired, and whether the order ran is no longer known. If the MAC
// is wrong the ticket was never issued. The MACs of other incarnations cannot be
// checked without their records, since only the issuer has the key.
func (l *Ledger) decideMissing(t Ticket) Step {
	own := t.ID.Issuer == l.settings.Self
	signed := t.withMAC(l.settings.Key)
	if own && !hmac.Equal(t.MAC[:], signed.MAC[:]) {
		return refuse(t, core.CauseTicketInvalid, "the ticket's mark is wrong")
	}
	return Step{Kind: StepRecorded, ID: t.ID, Recorded: Outcome{
		Outcome: core.OutcomeUnknown,
		Cause:   core.CauseTicketExpired,
		Detail:  "the ticket's record is no longer held; the order may have run when the ticket was valid",
	}}
}

func (l *Ledger) decide(now time.Time, r *record, digest Digest) Step {
	id := r.ticket.ID
	if r.phase != phaseIssued && r.digest != digest {
		return refuse(r.ticket, core.CauseTicketInvalid, "the ticket was used for another order; get a new ticket")
	}
	if l.settings.Switches.RunRepeats && r.phase == phaseRunning {
		return Step{Kind: StepRun, ID: id}
	}
	switch r.phase {
	case phaseRecorded:
		return Step{Kind: StepRecorded, ID: id, Recorded: r.outcome}
	case phaseRunning:
		return Step{Kind: StepWait, ID: id}
	}
	switch {
	case l.abandoned:
		return l.decideAbandoned(r, digest)
	case l.sealed() && !l.settings.Switches.RunDuringHandover:
		return Step{Kind: StepWait, ID: id}
	}
	r.digest = digest
	if !now.Before(r.ticket.ExpiresAt) {
		l.record(r, Outcome{
			Outcome: core.OutcomeNotRun,
			Cause:   core.CauseTicketExpired,
			Detail:  "the ticket expired before the order came; get a new ticket",
		})
		return Step{Kind: StepRecorded, ID: id, Recorded: r.outcome}
	}
	r.phase = phaseRunning
	l.running++
	return Step{Kind: StepRun, ID: id}
}

func refuse(t Ticket, cause core.Cause, detail string) Step {
	return Step{Kind: StepRefuse, ID: t.ID, Err: core.NotRun(cause, detail, time.Time{})}
}

// StartDispatch reports whether the order may be sent to an endpoint, and if so
// records that it may have run. It must be called right before the first byte
// of the order is sent. It returns false once the commit of a handover was sent,
// also on a host that was paused meanwhile, and once the record has expired.
func (l *Ledger) StartDispatch(now time.Time, id ID) bool {
	r, ok := l.records[id]
	if !ok || r.phase != phaseRunning {
		return l.settings.Switches.RunRepeats && ok
	}
	if l.commitSent() && !l.settings.Switches.RunDuringHandover {
		return false
	}
	if !now.Before(r.evictAt) {
		return false
	}
	invar.Check(invar.OrderAtMostOnce, !r.mayHaveRun, "order %s is dispatched a second time", id)
	r.mayHaveRun = true
	return true
}

// DispatchDidNotRun records that the latest dispatch certainly did not run the
// order: no byte was sent, or the endpoint definitely refused. The order may then
// be dispatched to another endpoint.
func (l *Ledger) DispatchDidNotRun(id ID) {
	if r, ok := l.records[id]; ok {
		r.mayHaveRun = false
	}
}

// Finish records an order's outcome and returns it in the form that repeated
// requests get.
func (l *Ledger) Finish(now time.Time, id ID, outcome Outcome) Outcome {
	r, ok := l.records[id]
	if !ok || r.phase != phaseRunning {
		return outcome
	}
	invar.Check(invar.NotRunMeansNotRun, outcome.Outcome != core.OutcomeNotRun || !r.mayHaveRun,
		"order %s is reported as NotRun although a dispatch may have run", id)
	l.running--
	l.record(r, outcome)
	// The outcome of an order that ran for longer than its ticket's lifetime is
	// still kept for requests that wait for it.
	if least := now.Add(l.settings.Term); r.evictAt.Before(least) {
		r.evictAt = least
	}
	return r.outcome
}

func (l *Ledger) record(r *record, outcome Outcome) {
	if !l.canKeepAnswer(len(outcome.Answer)) {
		outcome.Detail = fmt.Sprintf("the answer of %d bytes was not kept; only the first reply carries it", len(outcome.Answer))
		outcome.Answer = nil
	}
	l.answerBytes += len(outcome.Answer)
	r.phase = phaseRecorded
	r.outcome = outcome
}

// canKeepAnswer reports whether an answer of this length fits the limits for kept
// answers.
func (l *Ledger) canKeepAnswer(length int) bool {
	return length <= l.settings.MaxAnswerBytes && l.answerBytes+length <= l.settings.MaxTotalAnswerBytes
}

// _evictionsPerTerm is how often the records are scanned for expired ones in one
// term. A scan at each order would cost time in proportion to the size of the
// ledger.
const _evictionsPerTerm = 64

// evictIfDue evicts expired records if enough time has passed since the last scan.
// Until then a request whose record has expired still gets the recorded outcome.
func (l *Ledger) evictIfDue(now time.Time) {
	if now.Before(l.nextEviction) {
		return
	}
	l.nextEviction = now.Add(l.settings.Term / _evictionsPerTerm)
	l.evictExpired(now)
}

// evictExpired removes all expired records, except those of running orders.
func (l *Ledger) evictExpired(now time.Time) {
	l.earliestEviction = now.Add(l.settings.Term)
	for id, r := range l.records {
		switch {
		case r.phase == phaseRunning:
		case !now.Before(r.evictAt):
			l.answerBytes -= len(r.outcome.Answer)
			delete(l.records, id)
		case r.evictAt.Before(l.earliestEviction):
			l.earliestEviction = r.evictAt
		}
	}
}

func (l *Ledger) add(r *record) {
	l.records[r.ticket.ID] = r
	l.answerBytes += len(r.outcome.Answer)
	if r.evictAt.Before(l.earliestEviction) {
		l.earliestEviction = r.evictAt
	}
}
