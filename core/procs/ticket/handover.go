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

// stage is the progress of a handover of the ledger to another host.
type stage uint8

const (
	// stageOpen: no handover; this host decides on its tickets.
	stageOpen stage = iota
	// stageSealed: no order starts any more. Copies of the ledger may have been
	// sent, but they do not let another host decide on the tickets.
	stageSealed
	// stageCommitting: the commit may have been sent, so the successor may decide.
	stageCommitting
	// stageMoved: the successor has confirmed the commit and decides.
	stageMoved
)

// handover is the state of moving ledgers between hosts, in both directions.
//
// The leaving host seals its ledger, sends a copy to a successor (prepare) and,
// once the successor has the copy, transfers the right to decide on the tickets
// (commit). A copy has no effect until its commit, so a successor that crashes or
// does not answer can be replaced by another. From the moment the commit is sent
// the old host does not decide any more, whether or not it gets an answer, so that
// two hosts never decide on one ticket. A commit without an answer is retried with
// the same successor only. Only a definite refusal of the commit lets the old host
// choose another successor.
type handover struct {
	stage stage
	// holder is the successor from stageCommitting on, and zero before.
	holder core.HostID
	// abandoned is true after a failed handover that is not retried.
	abandoned bool
	// attempt counts the prepares of this ledger.
	attempt uint64
	// prepared holds copies received from leaving hosts and not yet committed.
	prepared map[core.HostID]preparedCopy
	// settled holds, for each leaving host, the highest attempt that this host
	// has committed or refused. Copies of that and lower attempts are refused.
	settled map[core.HostID]settlement
}

type preparedCopy struct {
	attempt uint64
	data    exportedLedger
}

// settlement is the last decision on a leaving host's commits.
type settlement struct {
	attempt   uint64
	committed uint64 // the last attempt that was committed, or 0
}

func newHandover() handover {
	return handover{prepared: map[core.HostID]preparedCopy{}, settled: map[core.HostID]settlement{}}
}

func (h *handover) sealed() bool     { return h.stage != stageOpen }
func (h *handover) commitSent() bool { return h.stage >= stageCommitting }
func (h *handover) moved() bool      { return h.stage == stageMoved }

// Holder returns the host that has the ledger, and whether a handover has moved
// it there.
func (l *Ledger) Holder() (core.HostID, bool) { return l.holder, l.moved() }

// exportedLedger is the JSON encoding of a ledger.
type exportedLedger struct {
	Issuers []core.HostID
	Records []exportedRecord
}

type exportedRecord struct {
	Issuer       core.HostID
	Serial       uint64
	Workspace    core.WorkspaceName
	ExpiresAt    time.Time
	ForgetMillis int64 // time until the record expires, counted from the export
	Mark         []byte
	Used         bool
	Digest       []byte
	Outcome      core.Outcome
	Cause        core.Cause
	Detail       string
	Answer       []byte
}

// Seal stops issuing tickets and starting orders. Running orders continue.
func (l *Ledger) Seal() {
	if l.stage == stageOpen {
		l.stage = stageSealed
	}
}

// AbandonHandover ends a failed handover for good. Orders that waited for the handover get
// an outcome from now on, and none of them runs on this host.
func (l *Ledger) AbandonHandover() { l.abandoned = l.sealed() }

// decideAbandoned decides on an order that had not run when the handover was
// abandoned. If no commit was sent no other host decides, so the order certainly
// did not run, and the ticket is used up. If a commit was sent the successor may
// have run the order.
func (l *Ledger) decideAbandoned(r *record, digest Digest) Step {
	if l.commitSent() {
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

// Prepare returns a copy of the sealed ledger and the number of the attempt. An
// order that is still running is Unknown in the copy, because the successor
// cannot learn its outcome. Callers that can wait until Running returns 0 avoid
// that.
func (l *Ledger) Prepare(now time.Time) (data []byte, attempt uint64, err error) {
	if l.stage != stageSealed || l.abandoned {
		return nil, 0, fmt.Errorf("prepare a handover: the ledger is not sealed, or its handover is committed or abandoned")
	}
	l.evictIfDue(now)
	l.attempt++
	var e exportedLedger
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
		ForgetMillis: r.evictAt.Sub(now).Milliseconds(),
		Mark:         r.ticket.MAC[:],
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

// Commit transfers the right to decide to a successor that has the copy of this
// attempt. It must be called before the commit message is sent, and may be
// repeated only for the same successor and attempt.
func (l *Ledger) Commit(successor core.HostID, attempt uint64) error {
	switch {
	case l.stage == stageCommitting && l.holder == successor && l.attempt == attempt:
		return nil
	case l.stage != stageSealed || l.abandoned:
		return fmt.Errorf("commit to %s: the ledger is not sealed, or its handover is committed or abandoned", successor)
	case attempt != l.attempt:
		return fmt.Errorf("commit to %s: attempt %d is not the latest, %d", successor, attempt, l.attempt)
	}
	l.stage = stageCommitting
	l.holder = successor
	return nil
}

// HandleCommitReply processes the successor's reply to a commit. A definite refusal
// proves that the successor has not accepted this attempt and never will, so the
// ledger returns to the sealed stage and may be handed to another host.
func (l *Ledger) HandleCommitReply(successor core.HostID, attempt uint64, accepted bool) {
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

// AcceptPrepare stores a leaving host's copy, which takes effect on commit. False
// is a definite refusal.
func (l *Ledger) AcceptPrepare(from core.HostID, attempt uint64, data []byte) (bool, error) {
	if l.sealed() || from == l.settings.Self || attempt <= l.settled[from].attempt {
		return false, nil
	}
	if p, ok := l.prepared[from]; ok && p.attempt >= attempt {
		return p.attempt == attempt, nil
	}
	var e exportedLedger
	if err := json.Unmarshal(data, &e); err != nil {
		return false, fmt.Errorf("decode the ledger of %s: %w", from, err)
	}
	if err := e.validate(); err != nil {
		return false, fmt.Errorf("check the ledger of %s: %w", from, err)
	}
	// A ledger has room for as many tickets of other hosts as of its own.
	if l.holdsAny(e.Issuers) || len(l.records)+len(e.Records) > 2*l.settings.Size ||
		l.answerBytes+e.answerBytes() > 2*l.settings.MaxTotalAnswerBytes {
		return false, nil
	}
	l.prepared[from] = preparedCopy{attempt: attempt, data: e}
	return true, nil
}

// AcceptCommit puts a prepared copy into effect. False is a definite refusal: the
// incarnation that refused never accepts the attempt, even if a delayed duplicate
// of the prepare arrives later.
//
// The commit names the incarnation that it is addressed to. Without the name,
// delayed duplicates of both messages could reach a newer incarnation at the
// same address and be accepted there, although the previous incarnation had
// refused and the old holder had received the refusal.
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
		l.importLedger(now, p.data)
	}
	if ok && p.attempt <= attempt {
		delete(l.prepared, from)
	}
	l.settled[from] = done
	return accept
}

// holdsAny reports whether this host already decides on the tickets of one of the
// issuers. A copy with such an issuer is wrong, whoever sent it.
func (l *Ledger) holdsAny(issuers []core.HostID) bool {
	for _, issuer := range issuers {
		if _, ok := l.issuers[issuer]; ok {
			return true
		}
	}
	return false
}

// answerBytes returns the total size of the answers in a copy.
func (e exportedLedger) answerBytes() int {
	total := 0
	for _, x := range e.Records {
		total += len(x.Answer)
	}
	return total
}

// validate checks that a copy is consistent: each issuer is listed once, every
// record is of a listed issuer, and the digests have the right length.
func (e exportedLedger) validate() error {
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

func (l *Ledger) importLedger(now time.Time, e exportedLedger) {
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
		outcome: Outcome{Outcome: x.Outcome, Cause: x.Cause, Detail: x.Detail, Answer: x.Answer},
		evictAt: now.Add(time.Duration(x.ForgetMillis) * time.Millisecond),
	}
	copy(r.ticket.MAC[:], x.Mark)
	copy(r.digest[:], x.Digest)
	if x.Used {
		r.phase = phaseRecorded
	}
	return r
}
