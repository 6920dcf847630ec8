package ticket

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
)

// stage is how far the ledger has come on its way to another host.
type stage uint8

const (
	// stageOpen: this host decides.
	stageOpen stage = iota
	// stageSealed: no order starts any more; copies may be on their way, but no
	// other host decides on them.
	stageSealed
	// stageCommitting: another host may decide from now on.
	stageCommitting
	// stageMoved: another host decides.
	stageMoved
)

// handover is the part of the ledger that moves it.
//
// The leaving host seals its ledger, sends a copy (prepare), and once the
// successor has it, gives up its right to decide (commit). Until the commit is
// sent a copy is worth nothing, so that a successor that dies or does not
// answer can be replaced by another. From the moment that the commit is sent
// the old host never decides again, whether or not an answer comes: two holders
// cannot be. A commit without an answer is repeated to the same successor only.
type handover struct {
	stage  stage
	holder core.HostID
	// closed is set when no handover is tried any more.
	closed bool
	// attempt numbers the prepares of this ledger.
	attempt uint64
	// prepared holds copies from leaving hosts that are not committed yet.
	prepared map[core.HostID]preparedCopy
	// settled holds, for each leaving host, the highest attempt that this host
	// has committed or refused; copies up to it never come into force.
	settled map[core.HostID]settlement
}

type preparedCopy struct {
	attempt uint64
	data    exported
}

type settlement struct {
	attempt   uint64
	committed uint64
}

func newHandover() handover {
	return handover{prepared: map[core.HostID]preparedCopy{}, settled: map[core.HostID]settlement{}}
}

func (h *handover) sealed() bool { return h.stage != stageOpen }
func (h *handover) sent() bool   { return h.stage >= stageCommitting }
func (h *handover) moved() bool  { return h.stage == stageMoved }

// Holder gives the host that has the ledger after a finished handover.
func (l *Ledger) Holder() (core.HostID, bool) { return l.holder, l.moved() }

// exported is a ledger on the wire.
type exported struct {
	Issuers []core.HostID
	Records []exportedRecord
}

type exportedRecord struct {
	Issuer       core.HostID
	Serial       uint64
	Workspace    core.WorkspaceName
	ExpiresAt    time.Time
	ForgetMillis int64 // from the time of the export
	Mark         []byte
	Used         bool
	Digest       []byte
	Outcome      core.Outcome
	Cause        core.Cause
	Detail       string
	Answer       []byte
}

// Seal stops the start of orders and the issue of tickets. Orders that run go
// on.
func (l *Ledger) Seal() {
	if l.stage == stageOpen {
		l.stage = stageSealed
	}
}

// Close ends a handover that failed: no attempt follows. Orders that waited for
// it are judged from now on, and none of them runs here.
func (l *Ledger) Close() { l.closed = l.sealed() }

// judgeClosed judges an order that has not run when the handover failed. While
// no commit was sent no other host decides, so that the order certainly did not
// run; its ticket is burned. After one the successor may have run it.
func (l *Ledger) judgeClosed(r *record, digest Digest) Step {
	if l.sent() {
		return Step{Kind: StepRecorded, ID: r.ticket.ID, Recorded: Outcome{
			Outcome: core.OutcomeUnknown,
			Cause:   core.CauseIssuerGone,
			Detail:  fmt.Sprintf("the host is stopping and %s did not confirm that it has the ledger; the order may have run", l.holder),
		}}
	}
	r.digest = digest
	l.record(r, Outcome{
		Outcome: core.OutcomeNotRun,
		Cause:   core.CauseDraining,
		Detail:  "the host is stopping and no other host took its ledger; get a new ticket",
	})
	return Step{Kind: StepRecorded, ID: r.ticket.ID, Recorded: r.outcome}
}

// Prepare gives a copy of the sealed ledger and the number of the attempt. An
// order that still runs is Unknown in the copy: the successor cannot learn its
// outcome. Whoever can wait for Running to be 0 avoids that.
func (l *Ledger) Prepare(now time.Time) (data []byte, attempt uint64, err error) {
	if l.stage != stageSealed || l.closed {
		return nil, 0, fmt.Errorf("prepare a handover: the ledger is not sealed, or is given away")
	}
	l.forget(now)
	l.attempt++
	var e exported
	for issuer := range l.issuers {
		e.Issuers = append(e.Issuers, issuer)
	}
	slices.SortFunc(e.Issuers, compareHosts)
	for _, r := range l.records {
		e.Records = append(e.Records, exportRecord(now, r))
	}
	slices.SortFunc(e.Records, func(a, b exportedRecord) int {
		return cmp.Or(compareHosts(a.Issuer, b.Issuer), cmp.Compare(a.Serial, b.Serial))
	})
	data, err = json.Marshal(e)
	if err != nil {
		return nil, 0, fmt.Errorf("encode the ledger: %w", err)
	}
	return data, l.attempt, nil
}

func compareHosts(a, b core.HostID) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}

func exportRecord(now time.Time, r *record) exportedRecord {
	e := exportedRecord{
		Issuer:       r.ticket.ID.Issuer,
		Serial:       r.ticket.ID.Serial,
		Workspace:    r.ticket.Workspace,
		ExpiresAt:    r.ticket.ExpiresAt,
		ForgetMillis: r.forgetAt.Sub(now).Milliseconds(),
		Mark:         r.ticket.Mark[:],
		Used:         r.phase != phaseIssued,
		Digest:       r.digest[:],
		Outcome:      r.outcome.Outcome,
		Cause:        r.outcome.Cause,
		Detail:       r.outcome.Detail,
		Answer:       r.outcome.Answer,
	}
	if r.phase == phaseRunning {
		e.Outcome = core.OutcomeUnknown
		e.Cause = core.CauseIssuerGone
		e.Detail = "the order was running when its host left"
	}
	return e
}

// Commit gives up the right to decide in favour of a successor that has the
// copy of this attempt. It is called before the commit is sent, and may be
// called again for the same successor and attempt only.
func (l *Ledger) Commit(successor core.HostID, attempt uint64) error {
	switch {
	case l.stage == stageCommitting && l.holder == successor && l.attempt == attempt:
		return nil
	case l.stage != stageSealed || l.closed:
		return fmt.Errorf("commit to %s: the ledger is not sealed, or is given away", successor)
	case attempt != l.attempt:
		return fmt.Errorf("commit to %s: attempt %d is not the latest, %d", successor, attempt, l.attempt)
	}
	l.stage = stageCommitting
	l.holder = successor
	return nil
}

// Committed tells the successor's answer to the commit. A definite refusal
// proves that it never decided and never will on this attempt, so that the
// ledger is sealed again and may go to another host.
func (l *Ledger) Committed(successor core.HostID, attempt uint64, accepted bool) {
	if l.stage != stageCommitting || l.holder != successor || l.attempt != attempt {
		return
	}
	if accepted {
		l.stage = stageMoved
		return
	}
	l.stage = stageSealed
	l.holder = core.HostID{}
}

// AcceptPrepare takes a copy from a leaving host, to come into force on commit.
// False is a definite refusal.
func (l *Ledger) AcceptPrepare(from core.HostID, attempt uint64, data []byte) (bool, error) {
	if l.sealed() || from == l.settings.Self || attempt <= l.settled[from].attempt {
		return false, nil
	}
	if p, ok := l.prepared[from]; ok && p.attempt >= attempt {
		return p.attempt == attempt, nil
	}
	var e exported
	if err := json.Unmarshal(data, &e); err != nil {
		return false, fmt.Errorf("decode the ledger of %s: %w", from, err)
	}
	if err := e.check(); err != nil {
		return false, fmt.Errorf("check the ledger of %s: %w", from, err)
	}
	// A host has room for its own tickets and as many of others.
	if l.holdsAny(e.Issuers) || len(l.records)+len(e.Records) > 2*l.settings.Size ||
		l.answers+e.answers() > 2*l.settings.AnswersBytes {
		return false, nil
	}
	l.prepared[from] = preparedCopy{attempt: attempt, data: e}
	return true, nil
}

// AcceptCommit puts a copy in force. False is a definite refusal: this host will
// never decide on the attempt, even when a late copy of the prepare arrives.
//
// The commit names the incarnation to which it is given up. Without that, an
// incarnation that refused and was replaced could leave late copies of both
// messages to its successor at the same address, which would accept them, while
// the old holder has read the refusal.
func (l *Ledger) AcceptCommit(now time.Time, to, from core.HostID, attempt uint64) bool {
	if to != l.settings.Self {
		return false
	}
	done := l.settled[from]
	if done.committed == attempt && attempt != 0 {
		return true
	}
	if attempt <= done.attempt {
		return false
	}
	p, ok := l.prepared[from]
	accept := ok && p.attempt == attempt && !l.sealed() && !l.holdsAny(p.data.Issuers)
	done.attempt = attempt
	if accept {
		done.committed = attempt
		l.adopt(now, p.data)
	}
	if ok && p.attempt <= attempt {
		delete(l.prepared, from)
	}
	l.settled[from] = done
	return accept
}

// holdsAny tells whether this host decides for one of the issuers already. A copy
// that says otherwise is wrong, whoever sent it.
func (l *Ledger) holdsAny(issuers []core.HostID) bool {
	for _, issuer := range issuers {
		if _, ok := l.issuers[issuer]; ok {
			return true
		}
	}
	return false
}

// answers counts the bytes of the answers in a copy.
func (e exported) answers() int {
	total := 0
	for _, x := range e.Records {
		total += len(x.Answer)
	}
	return total
}

// check tells whether a copy is consistent: each issuer once, and no record of
// another issuer.
func (e exported) check() error {
	for i, issuer := range e.Issuers {
		if slices.Contains(e.Issuers[:i], issuer) {
			return fmt.Errorf("issuer %s comes twice", issuer)
		}
	}
	for _, x := range e.Records {
		if !slices.Contains(e.Issuers, x.Issuer) {
			return fmt.Errorf("record %d is of %s, which is no issuer of the ledger", x.Serial, x.Issuer)
		}
		if len(x.Mark) != sha256.Size || len(x.Digest) != sha256.Size {
			return fmt.Errorf("record %d of %s: a digest is not of %d bytes", x.Serial, x.Issuer, sha256.Size)
		}
	}
	return nil
}

func (l *Ledger) adopt(now time.Time, e exported) {
	for _, issuer := range e.Issuers {
		_, held := l.issuers[issuer]
		invar.Check(invar.OrderAtMostOnce, !held, "the ledger of %s is taken over twice", issuer)
		l.issuers[issuer] = struct{}{}
	}
	for _, x := range e.Records {
		l.add(importRecord(now, l.settings.Site, x))
	}
}

func importRecord(now time.Time, site core.SiteName, x exportedRecord) *record {
	r := &record{
		ticket: Ticket{
			ID:        ID{Issuer: x.Issuer, Serial: x.Serial},
			Site:      site,
			Workspace: x.Workspace,
			ExpiresAt: x.ExpiresAt,
		},
		outcome:  Outcome{Outcome: x.Outcome, Cause: x.Cause, Detail: x.Detail, Answer: x.Answer},
		forgetAt: now.Add(time.Duration(x.ForgetMillis) * time.Millisecond),
	}
	copy(r.ticket.Mark[:], x.Mark)
	copy(r.digest[:], x.Digest)
	if x.Used {
		r.phase = phaseRecorded
	}
	return r
}
