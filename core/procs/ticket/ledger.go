package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
)

// Settings are what a ledger is built from.
type Settings struct {
	Site core.SiteName
	Self core.HostID
	Key  Key
	// Size is the number of tickets held at most.
	Size int
	// Term is how long a ticket can start an order, and how much longer its
	// outcome is held after that.
	Term time.Duration
	// AnswerBytes is the longest answer that is kept for repeats, and
	// AnswersBytes bounds all of them together.
	AnswerBytes  int
	AnswersBytes int
	Switches     Switches
}

// Switches turn mechanisms off, so that a test can show that the checks
// notice. Only tests set it.
type Switches struct {
	// NoLedgerCheck runs an order for each copy that arrives while it runs.
	NoLedgerCheck bool
	// OpenWhileMoving goes on running orders after the ledger was sent.
	OpenWhileMoving bool
}

// Digest identifies what an order asks for.
type Digest [sha256.Size]byte

// DigestOf digests an order. Lengths are part of it, so that no two orders
// share one by moving bytes between the fields.
func DigestOf(service core.ServiceName, call core.CallName, body []byte) Digest {
	data := fmt.Appendf(nil, "%d %s %d %s ", len(service), service, len(call), call)
	return sha256.Sum256(append(data, body...))
}

// Outcome is what a repeat is told.
type Outcome struct {
	Outcome core.Outcome
	Cause   core.Cause
	Detail  string
	Answer  []byte
}

// StepKind tells the shell what to do with an order.
type StepKind uint8

// Kinds of step.
const (
	// StepRun: place and dispatch the order, then call Finish.
	StepRun StepKind = iota + 1
	// StepRecorded: the order has an outcome already.
	StepRecorded
	// StepWait: a copy of the order runs now, or the ledger is on its way to
	// another host; ask again when Changed tells so.
	StepWait
	// StepRefuse: the order did not run and the ticket does not allow it.
	StepRefuse
	// StepElsewhere: another host decides. Holder is set when this host knows
	// that it has the ledger.
	StepElsewhere
)

// Step is the ledger's answer to an order.
type Step struct {
	Kind     StepKind
	ID       ID
	Recorded Outcome
	Err      *core.OutcomeError
	Holder   core.HostID
}

// phase is how far a ticket has come.
type phase uint8

const (
	phaseIssued phase = iota
	phaseRunning
	phaseRecorded
)

// record is one ticket in the ledger.
type record struct {
	ticket Ticket
	phase  phase
	digest Digest
	// open tells that a dispatch may have reached an endpoint and that nothing
	// proves the contrary so far.
	open     bool
	outcome  Outcome
	forgetAt time.Time
}

// Ledger holds the tickets of this incarnation, and those that leaving hosts
// handed over to it.
type Ledger struct {
	settings Settings
	records  map[ID]*record
	// issuers are the incarnations whose tickets this ledger decides on.
	issuers map[core.HostID]struct{}
	serial  uint64
	running int
	// answers counts the bytes of the answers that are kept.
	answers int
	// forgetNext is when records are looked through again for those whose time
	// is over.
	forgetNext time.Time
	// earliest is not after the first time at which a record can be dropped, so
	// that a full ledger refuses without a look through its records.
	earliest time.Time
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

// SetLimits puts changed settings in force. Tickets issued before keep their
// times.
func (l *Ledger) SetLimits(size int, term time.Duration) {
	l.settings.Size = size
	l.settings.Term = term
}

// Held gives the number of tickets in the ledger.
func (l *Ledger) Held() int { return len(l.records) }

// Running gives the number of orders that run now.
func (l *Ledger) Running() int { return l.running }

// Issue makes tickets. When there is no room for all of them it makes none:
// the error is a NotRun with CauseLedgerFull, and nothing is forgotten early.
func (l *Ledger) Issue(now time.Time, workspace core.WorkspaceName, count int) ([]Ticket, *core.OutcomeError) {
	if l.sealed() {
		return nil, core.NotRun(core.CauseDraining, "this host is leaving; ask again, another host will answer", now)
	}
	l.forget(now)
	if len(l.records)+count > l.settings.Size && !now.Before(l.earliest) {
		l.forgetAll(now)
	}
	if len(l.records)+count > l.settings.Size {
		return nil, core.NotRun(core.CauseLedgerFull,
			fmt.Sprintf("the host holds %d of at most %d tickets; ask again later or for fewer than %d",
				len(l.records), l.settings.Size, count),
			l.earliest)
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
		}.withMark(l.settings.Key)
		l.add(&record{ticket: t, forgetAt: expires.Add(l.settings.Term)})
		tickets = append(tickets, t)
	}
	return tickets, nil
}

// Begin judges an order. A ticket that has run, is running or was refused never
// gives StepRun again.
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
	l.forget(now)
	r, ok := l.records[t.ID]
	if !ok {
		return l.judgeUnheld(t)
	}
	if !hmac.Equal(t.Mark[:], r.ticket.Mark[:]) {
		return refuse(t, core.CauseTicketInvalid, "the ticket's mark is wrong")
	}
	return l.judge(now, r, digest)
}

// A ticket with a good mark and no record was forgotten after its time; whether
// it ran is not known any more. One with a wrong mark was never issued. The
// marks of another incarnation can only be compared with its records.
func (l *Ledger) judgeUnheld(t Ticket) Step {
	own := t.ID.Issuer == l.settings.Self
	signed := t.withMark(l.settings.Key)
	if own && !hmac.Equal(t.Mark[:], signed.Mark[:]) {
		return refuse(t, core.CauseTicketInvalid, "the ticket's mark is wrong")
	}
	return Step{Kind: StepRecorded, ID: t.ID, Recorded: Outcome{
		Outcome: core.OutcomeUnknown,
		Cause:   core.CauseTicketExpired,
		Detail:  "the ticket's record is no longer held; the order may have run when the ticket was valid",
	}}
}

func (l *Ledger) judge(now time.Time, r *record, digest Digest) Step {
	id := r.ticket.ID
	if r.phase != phaseIssued && r.digest != digest {
		return refuse(r.ticket, core.CauseTicketInvalid, "the ticket was used for another order; get a new ticket")
	}
	if l.settings.Switches.NoLedgerCheck && r.phase == phaseRunning {
		return Step{Kind: StepRun, ID: id}
	}
	switch r.phase {
	case phaseRecorded:
		return Step{Kind: StepRecorded, ID: id, Recorded: r.outcome}
	case phaseRunning:
		return Step{Kind: StepWait, ID: id}
	}
	switch {
	case l.closed:
		return l.judgeClosed(r, digest)
	case l.sealed() && !l.settings.Switches.OpenWhileMoving:
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

// MayDispatch is asked right before the first byte of the order leaves for an
// endpoint, and counts that byte as sent when the answer is true. A host that
// slept through its own handover is told false.
func (l *Ledger) MayDispatch(now time.Time, id ID) bool {
	r, ok := l.records[id]
	if !ok || r.phase != phaseRunning {
		return l.settings.Switches.NoLedgerCheck && ok
	}
	if l.sent() && !l.settings.Switches.OpenWhileMoving {
		return false
	}
	if !now.Before(r.forgetAt) {
		return false
	}
	invar.Check(invar.OrderAtMostOnce, !r.open, "order %s is dispatched a second time", id)
	r.open = true
	return true
}

// TryProvedNotRun tells that the latest dispatch certainly ran nothing: no byte
// left, or the endpoint definitely refused. Another endpoint may be tried.
func (l *Ledger) TryProvedNotRun(id ID) {
	if r, ok := l.records[id]; ok {
		r.open = false
	}
}

// Finish records an order's outcome and gives it as it is kept for repeats.
func (l *Ledger) Finish(now time.Time, id ID, outcome Outcome) Outcome {
	r, ok := l.records[id]
	if !ok || r.phase != phaseRunning {
		return outcome
	}
	invar.Check(invar.NotRunMeansNotRun, outcome.Outcome != core.OutcomeNotRun || !r.open,
		"order %s is called NotRun though a dispatch may have run", id)
	l.running--
	l.record(r, outcome)
	// An order that took longer than its ticket's time is still told to those
	// who wait for it.
	if least := now.Add(l.settings.Term); r.forgetAt.Before(least) {
		r.forgetAt = least
	}
	return r.outcome
}

func (l *Ledger) record(r *record, outcome Outcome) {
	if !l.keeps(len(outcome.Answer)) {
		outcome.Detail = fmt.Sprintf("the answer of %d bytes was not kept; only the first reply carries it", len(outcome.Answer))
		outcome.Answer = nil
	}
	l.answers += len(outcome.Answer)
	r.phase = phaseRecorded
	r.outcome = outcome
}

// keeps tells whether an answer of this length is kept for repeats.
func (l *Ledger) keeps(length int) bool {
	return length <= l.settings.AnswerBytes && l.answers+length <= l.settings.AnswersBytes
}

// _forgetShare is the part of the term between two looks through the records:
// looking at each order would cost as much as the ledger is long.
const _forgetShare = 64

// forget drops records whose time is over, from time to time. What is dropped
// later than it might be is told as recorded until then.
func (l *Ledger) forget(now time.Time) {
	if now.Before(l.forgetNext) {
		return
	}
	l.forgetNext = now.Add(l.settings.Term / _forgetShare)
	l.forgetAll(now)
}

// forgetAll drops all records whose time is over. A running order is never
// dropped.
func (l *Ledger) forgetAll(now time.Time) {
	l.earliest = now.Add(l.settings.Term)
	for id, r := range l.records {
		switch {
		case r.phase == phaseRunning:
		case !now.Before(r.forgetAt):
			l.answers -= len(r.outcome.Answer)
			delete(l.records, id)
		case r.forgetAt.Before(l.earliest):
			l.earliest = r.forgetAt
		}
	}
}

func (l *Ledger) add(r *record) {
	l.records[r.ticket.ID] = r
	l.answers += len(r.outcome.Answer)
	if r.forgetAt.Before(l.earliest) {
		l.earliest = r.forgetAt
	}
}
