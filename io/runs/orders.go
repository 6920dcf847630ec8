package runs

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/procs/ticket"
	"apricotproxy/io/wire"
)

const (
	// _answerBytes is the longest answer of an order that is kept for repeats.
	_answerBytes = 16 << 10
	// _answersBytes bounds all of them. Twice that, for a ledger taken over, fits
	// the protocol between hosts with room to spare.
	_answersBytes = 4 << 20
	// _answerHold is how long a longer answer waits for its forwarder.
	_answerHold = 10 * time.Second
	// _ticketsAtOnce bounds one request for tickets.
	_ticketsAtOnce = 1000
)

// OrdersConfig is what an Orders is built from.
type OrdersConfig struct {
	Runner *Runner
	Site   core.SiteName
	Self   core.HostID
	// Holder tells who has the ledger of an incarnation that left, as far as
	// this host has heard; nil for no such source.
	Holder  func(core.HostID) (core.HostID, bool)
	Auditor core.Auditor
	Logger  logr.Logger
	// Random is the source of the key; nil for the system's.
	Random   io.Reader
	Switches ticket.Switches
}

// Orders issues order tickets and runs orders, each at most once. It is safe for
// concurrent use.
type Orders struct {
	config OrdersConfig
	logger logr.Logger

	mu     sync.Mutex
	ledger *ticket.Ledger
	// changed is closed and replaced when an order has an outcome or the ledger
	// has moved.
	changed chan struct{}
	// long holds answers too long for the ledger for a short time.
	long map[ticket.ID][]byte
}

// Order is one order of a caller.
type Order struct {
	Workspace core.WorkspaceName
	Ticket    string
	Service   core.ServiceName
	Call      core.CallName
	Body      []byte
}

// NewOrders draws the incarnation's key.
func NewOrders(config OrdersConfig) (*Orders, error) {
	if config.Random == nil {
		config.Random = rand.Reader
	}
	var key ticket.Key
	if _, err := io.ReadFull(config.Random, key[:]); err != nil {
		return nil, fmt.Errorf("draw the key of order tickets: %w", err)
	}
	return &Orders{
		config:  config,
		logger:  config.Logger.WithName("orders"),
		changed: make(chan struct{}),
		long:    map[ticket.ID][]byte{},
		ledger: ticket.New(ticket.Settings{
			Site:                config.Site,
			Self:                config.Self,
			Key:                 key,
			MaxAnswerBytes:      _answerBytes,
			MaxTotalAnswerBytes: _answersBytes,
			Switches:            config.Switches,
		}),
	}, nil
}

// Held gives the number of tickets in the ledger.
func (d *Orders) Held() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.Held()
}

// Holder gives the host that has this host's ledger after a handover.
func (d *Orders) Holder() (core.HostID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.Holder()
}

func (d *Orders) limits() core.Limits { return d.config.Runner.config.Dispatcher.Config().Limits }

// Issue makes tickets for a workspace.
func (d *Orders) Issue(workspace core.WorkspaceName, count int) (texts []string, expires time.Time, err error) {
	if count < 1 || count > _ticketsAtOnce {
		return nil, time.Time{}, core.NotRun(core.CauseBadRequest,
			fmt.Sprintf("Count is %d; expected 1 to %d", count, _ticketsAtOnce), time.Time{})
	}
	config := d.config.Runner.config.Dispatcher.Config()
	if _, ok := config.Workspace(workspace); !ok {
		return nil, time.Time{}, unknownName("workspace", string(workspace), "send the header Workspace with a configured name")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.SetLimits(config.Limits.LedgerSize, config.Limits.TicketTerm)
	tickets, refusal := d.ledger.Issue(time.Now(), workspace, count)
	if refusal != nil {
		return nil, time.Time{}, refusal
	}
	for _, t := range tickets {
		texts = append(texts, t.Text())
	}
	return texts, tickets[0].ExpiresAt, nil
}

// Order runs an order or gives the outcome that it has already. Errors are
// *core.OutcomeError.
func (d *Orders) Order(ctx context.Context, order Order) ([]byte, error) {
	t, err := ticket.Parse(order.Ticket)
	if err != nil {
		return nil, d.refused(order, core.NotRun(core.CauseTicketInvalid, err.Error(), time.Time{}))
	}
	answer, err := d.settleAnywhere(ctx, t, order)
	if err != nil {
		return nil, d.refused(order, err)
	}
	return answer, nil
}

// settleAnywhere settles an order here or at the host that decides on it. The
// ledger may come to this host while the order is with the one that leaves.
func (d *Orders) settleAnywhere(ctx context.Context, t ticket.Ticket, order Order) ([]byte, error) {
	for range _hops {
		answer, err := d.settle(ctx, t, order)
		var elsewhere *elsewhereError
		if !errors.As(err, &elsewhere) {
			return answer, err
		}
		_forwarded.Add(1)
		answer, err = d.forward(ctx, t, order, elsewhere.holder)
		if !errors.Is(err, errHere) {
			return answer, err
		}
	}
	return nil, issuerGone(t)
}

// elsewhereError tells that another host decides on a ticket.
type elsewhereError struct {
	holder core.HostID
}

// Error names the host as far as it is known.
func (e *elsewhereError) Error() string { return "the ledger is held elsewhere: " + e.holder.String() }

// errPending tells that an order has no outcome yet.
var errPending = errors.New("the order has no outcome yet")

// settle waits for the outcome of an order that this host decides on, and starts
// the order if it has not run. It returns an *elsewhereError when this host does
// not decide, and errPending joined to Unknown when ctx ends first: the order
// goes on.
func (d *Orders) settle(ctx context.Context, t ticket.Ticket, order Order) ([]byte, error) {
	digest := ticket.DigestOf(order.Service, order.Call, order.Body)
	for {
		d.mu.Lock()
		step := d.ledger.Begin(time.Now(), t, order.Workspace, digest)
		changed := d.changed
		long := d.long[t.ID]
		d.mu.Unlock()
		switch step.Kind {
		case ticket.StepRecorded:
			if long != nil {
				return long, nil
			}
			return answerOf(step.Recorded)
		case ticket.StepRefuse:
			return nil, step.Err
		case ticket.StepElsewhere:
			return nil, &elsewhereError{holder: step.Holder}
		case ticket.StepRun:
			d.config.Runner.inBackground(func() { d.run(t.ID, order) })
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, unknown(core.CauseDeadline, "the order has no outcome yet; ask again with the same ticket", errPending)
		}
	}
}

// answerNote stands in place of an answer that was not kept.
type answerNote struct {
	Outcome string
	Detail  string
}

// answerOf gives a recorded outcome as the caller gets it. An answer that was not kept
// is replaced by a note.
func answerOf(outcome ticket.Outcome) ([]byte, error) {
	if outcome.Outcome == core.OutcomeDone && outcome.Answer == nil && outcome.Detail != "" {
		note, err := json.Marshal(answerNote{Outcome: outcome.Outcome.String(), Detail: outcome.Detail})
		if err != nil {
			return nil, fmt.Errorf("encode a note: %w", err)
		}
		return note, nil
	}
	if outcome.Outcome == core.OutcomeDone {
		return outcome.Answer, nil
	}
	return nil, &core.OutcomeError{Outcome: outcome.Outcome, Cause: outcome.Cause, Detail: outcome.Detail}
}

// run carries an order to its outcome. It does not depend on any caller: one
// that left can ask for the outcome with the same ticket.
func (d *Orders) run(id ticket.ID, order Order) {
	answer, err := d.dispatch(id, order)
	outcome := outcomeOf(answer, counted(err))
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.ledger.Finish(time.Now(), id, outcome)
	if len(kept.Answer) < len(answer) {
		d.long[id] = answer
		time.AfterFunc(_answerHold, func() { d.dropLong(id) })
	}
	d.wake()
}

func (d *Orders) dropLong(id ticket.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.long, id)
}

// wake lets waiting orders look again. The caller holds the lock.
func (d *Orders) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func outcomeOf(answer []byte, err error) ticket.Outcome {
	if err == nil {
		return ticket.Outcome{Outcome: core.OutcomeDone, Answer: answer}
	}
	var failed *core.OutcomeError
	if !errors.As(err, &failed) {
		return ticket.Outcome{Outcome: core.OutcomeUnknown, Cause: core.CauseInternal, Detail: err.Error()}
	}
	return ticket.Outcome{Outcome: failed.Outcome, Cause: failed.Cause, Detail: failed.Detail}
}

// dispatch places an order and sends it. The names are checked only now that the
// ticket is taken: the refusal burns it, so that a copy of the order that comes
// after a change of configuration cannot run.
func (d *Orders) dispatch(id ticket.ID, order Order) ([]byte, error) {
	request, _, refusal := d.config.Runner.Admit(time.Now(), Wanted{
		Workspace: order.Workspace,
		Service:   order.Service,
		Call:      order.Call,
	})
	if refusal != nil {
		return nil, refusal
	}
	request.Repeatable = false
	u := unary{
		runner:  d.config.Runner,
		request: request,
		body:    order.Body,
		key:     id.String(),
		mayDispatch: func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.ledger.StartDispatch(time.Now(), id)
		},
		proved: func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.ledger.DispatchDidNotRun(id)
		},
	}
	return u.run(context.Background())
}

// refused notes an order that did not end well in the audit trail.
func (d *Orders) refused(order Order, err error) error {
	var outcome *core.OutcomeError
	if !errors.As(err, &outcome) {
		return err
	}
	if d.config.Auditor != nil {
		d.config.Auditor.Record(core.AuditEvent{
			Time:     time.Now(),
			Host:     d.config.Self,
			Kind:     core.AuditOrderRefused,
			Revision: d.config.Runner.config.Dispatcher.Config().Revision,
			Subject:  fmt.Sprintf("%s/%s of workspace %s", clip(string(order.Service)), clip(string(order.Call)), clip(string(order.Workspace))),
			Cause:    fmt.Sprintf("%s %s: %s", outcome.Outcome, outcome.Cause, outcome.Detail),
		})
	}
	return outcome
}

// HandOver takes the ledger of a leaving host, in two steps.
func (d *Orders) HandOver(_ context.Context, request *wire.HandOverRequest) (*wire.HandOverReply, error) {
	from := wire.ToHostID(request.GetFrom())
	limits := d.limits()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.SetLimits(limits.LedgerSize, limits.TicketTerm)
	reply := &wire.HandOverReply{Holder: wire.FromHostID(d.config.Self)}
	if request.GetCommit() {
		reply.Accepted = d.ledger.AcceptCommit(time.Now(), wire.ToHostID(request.GetTo()), from, request.GetSerial())
		d.noteMove(fmt.Sprintf("ledger of %s", from), reply.Accepted)
		d.wake()
		return reply, nil
	}
	accepted, err := d.ledger.AcceptPrepare(from, request.GetSerial(), request.GetLedger())
	if err != nil {
		d.logger.Error(err, "A ledger was not readable.", "From", from.String())
	}
	reply.Accepted = accepted
	return reply, nil
}

func (d *Orders) noteMove(subject string, accepted bool) {
	if d.config.Auditor == nil {
		return
	}
	cause := "handed over"
	if !accepted {
		cause = "handover refused"
	}
	d.config.Auditor.Record(core.AuditEvent{
		Time:    time.Now(),
		Host:    d.config.Self,
		Kind:    core.AuditLedgerMoved,
		Subject: subject,
		Cause:   cause,
	})
}
