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
	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/ticket"
	"apricotproxy/io/wire"
)

const (
	// _maxAnswerBytes is the size of the longest answer that the ledger keeps for
	// repeated requests.
	_maxAnswerBytes = 16 << 10
	// _maxTotalAnswerBytes is the total size of the kept answers. A ledger with
	// another host's answers may have twice that, which is still well below the
	// size limit of the protocol between hosts.
	_maxTotalAnswerBytes = 4 << 20
	// _longAnswerTerm is how long an answer above _maxAnswerBytes is kept for a
	// host that forwarded its order.
	_longAnswerTerm = 10 * time.Second
	// _maxTicketsPerRequest is the most tickets that one request may ask for.
	_maxTicketsPerRequest = 1000
)

// OrdersConfig holds the settings and dependencies of an Orders.
type OrdersConfig struct {
	Runner *Runner
	Site   core.SiteName
	Self   core.HostID
	// Holder returns the host that has the ledger of an incarnation that left, if
	// this host knows it; nil if there is no such source.
	Holder  func(core.HostID) (core.HostID, bool)
	Auditor core.Auditor
	Logger  logr.Logger
	// Random is the source of the key; nil means crypto/rand.
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
	// changed is closed and replaced when an order gets its outcome or the ledger
	// has moved.
	changed chan struct{}
	// longAnswers holds, for a short time, the answers that are too long for the
	// ledger.
	longAnswers map[ticket.ID][]byte
}

// Order is one order of a caller.
type Order struct {
	Workspace core.WorkspaceName
	Ticket    string
	Service   core.ServiceName
	Call      core.CallName
	Body      []byte
}

// NewOrders builds an Orders with an empty ledger and a new random key, which
// authenticates the tickets of this incarnation.
func NewOrders(config OrdersConfig) (*Orders, error) {
	if config.Random == nil {
		config.Random = rand.Reader
	}
	var key ticket.Key
	if _, err := io.ReadFull(config.Random, key[:]); err != nil {
		return nil, fmt.Errorf("generate the key of order tickets: %w", err)
	}
	return &Orders{
		config:      config,
		logger:      config.Logger.WithName("orders"),
		changed:     make(chan struct{}),
		longAnswers: map[ticket.ID][]byte{},
		ledger: ticket.New(ticket.Settings{
			Site:                config.Site,
			Self:                config.Self,
			Key:                 key,
			MaxAnswerBytes:      _maxAnswerBytes,
			MaxTotalAnswerBytes: _maxTotalAnswerBytes,
			Switches:            config.Switches,
		}),
	}, nil
}

// Held returns the number of tickets in the ledger.
func (o *Orders) Held() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Held()
}

// Holder returns the host that has this host's ledger after a handover.
func (o *Orders) Holder() (core.HostID, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Holder()
}

func (o *Orders) limits() core.Limits { return o.config.Runner.config.Dispatcher.Config().Limits }

// Issue issues count tickets to a workspace. They all expire at the same time.
func (o *Orders) Issue(workspace core.WorkspaceName, count int) (texts []string, expires time.Time, err error) {
	if count < 1 || count > _maxTicketsPerRequest {
		return nil, time.Time{}, core.NotRun(core.CauseBadRequest,
			fmt.Sprintf("Count is %d; expected 1 to %d", count, _maxTicketsPerRequest), time.Time{})
	}
	config := o.config.Runner.config.Dispatcher.Config()
	if _, ok := config.Workspace(workspace); !ok {
		return nil, time.Time{}, unknownNameError("workspace", string(workspace), "send the header Workspace with a configured name")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.SetLimits(config.Limits.LedgerSize, config.Limits.TicketTerm)
	tickets, refusal := o.ledger.Issue(time.Now(), workspace, count)
	if refusal != nil {
		return nil, time.Time{}, refusal
	}
	for _, t := range tickets {
		texts = append(texts, t.Text())
	}
	return texts, tickets[0].ExpiresAt, nil
}

// Order runs an order, or returns its outcome if it has already run. Errors are
// of type *core.OutcomeError.
func (o *Orders) Order(ctx context.Context, order Order) ([]byte, error) {
	t, err := ticket.Parse(order.Ticket)
	if err != nil {
		return nil, o.recordRefusal(order, core.NotRun(core.CauseTicketInvalid, err.Error(), time.Time{}))
	}
	answer, err := o.awaitOrForward(ctx, t, order)
	if err != nil {
		return nil, o.recordRefusal(order, err)
	}
	return answer, nil
}

// awaitOrForward processes an order here or at the host that decides on it. The
// ledger may move to this host while the order is forwarded to the leaving host.
func (o *Orders) awaitOrForward(ctx context.Context, t ticket.Ticket, order Order) ([]byte, error) {
	for range _maxHops {
		answer, err := o.awaitOutcome(ctx, t, order)
		var elsewhere *elsewhereError
		if !errors.As(err, &elsewhere) {
			return answer, err
		}
		_forwarded.Add(1)
		answer, err = o.forward(ctx, t, order, elsewhere.holder)
		if !errors.Is(err, errHeldHere) {
			return answer, err
		}
	}
	return nil, issuerGoneError(t)
}

// elsewhereError means that another host decides on a ticket. holder is zero if
// that host is not known.
type elsewhereError struct {
	holder core.HostID
}

// Error returns the form "the ledger is held elsewhere: entry-1@1733270000000000000".
func (e *elsewhereError) Error() string { return "the ledger is held elsewhere: " + e.holder.String() }

// errPending means that an order has no outcome yet.
var errPending = errors.New("the order has no outcome yet")

// awaitOutcome waits for the outcome of an order that this host decides on, and
// starts the order if it has not run. It returns an *elsewhereError if this host
// does not decide. If ctx ends first, it returns the outcome Unknown with
// errPending as the underlying error, and the order continues.
func (o *Orders) awaitOutcome(ctx context.Context, t ticket.Ticket, order Order) ([]byte, error) {
	digest := ticket.DigestOf(order.Service, order.Call, order.Body)
	for {
		var step ticket.Step
		var changed chan struct{}
		var long []byte
		mutex.Do(&o.mu, func() {
			step = o.ledger.Begin(time.Now(), t, order.Workspace, digest)
			changed, long = o.changed, o.longAnswers[t.ID]
		})
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
			o.config.Runner.runInBackground(func() { o.run(t.ID, order) })
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, unknownError(core.CauseDeadline, "the order has no outcome yet; ask again with the same ticket", errPending)
		}
	}
}

// answerNote replaces an answer that was not kept. It is sent as JSON under the
// names of its fields.
type answerNote struct {
	Outcome string
	Detail  string
}

// answerOf returns a recorded outcome in the form that the caller gets. An answer
// that was not kept is replaced by an answerNote.
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

// run executes an order and records its outcome. It does not depend on the caller,
// who can disconnect and request the outcome later with the same ticket.
func (o *Orders) run(id ticket.ID, order Order) {
	answer, err := o.dispatch(id, order)
	outcome := outcomeOf(answer, countOutcome(err))
	o.mu.Lock()
	defer o.mu.Unlock()
	kept := o.ledger.Finish(time.Now(), id, outcome)
	if len(kept.Answer) < len(answer) {
		o.longAnswers[id] = answer
		time.AfterFunc(_longAnswerTerm, func() { o.dropLongAnswer(id) })
	}
	o.notifyWaiters()
}

func (o *Orders) dropLongAnswer(id ticket.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.longAnswers, id)
}

// notifyWaiters wakes the waiting orders, which then check the ledger again. The
// caller holds the lock.
func (o *Orders) notifyWaiters() {
	close(o.changed)
	o.changed = make(chan struct{})
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

// dispatch places an order and sends it. The names are checked only after the
// ledger has accepted the ticket, so that a refusal uses up the ticket: a copy of
// the order that arrives after a change of the configuration cannot run.
func (o *Orders) dispatch(id ticket.ID, order Order) ([]byte, error) {
	request, _, refusal := o.config.Runner.Admit(time.Now(), RequestedNames{
		Workspace: order.Workspace,
		Service:   order.Service,
		Call:      order.Call,
	})
	if refusal != nil {
		return nil, refusal
	}
	request.Repeatable = false
	u := unary{
		runner:  o.config.Runner,
		request: request,
		body:    order.Body,
		key:     id.String(),
		mayDispatch: func() bool {
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.ledger.StartDispatch(time.Now(), id)
		},
		didNotRun: func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.ledger.DispatchDidNotRun(id)
		},
	}
	return u.run(context.Background())
}

// recordRefusal records an order whose outcome is not Done in the audit trail, and
// returns the outcome.
func (o *Orders) recordRefusal(order Order, err error) error {
	var outcome *core.OutcomeError
	if !errors.As(err, &outcome) {
		return err
	}
	if o.config.Auditor != nil {
		o.config.Auditor.Record(core.AuditEvent{
			Time:     time.Now(),
			Host:     o.config.Self,
			Kind:     core.AuditOrderRefused,
			Revision: o.config.Runner.config.Dispatcher.Config().Revision,
			Subject:  fmt.Sprintf("%s/%s of workspace %s", truncate(string(order.Service)), truncate(string(order.Call)), truncate(string(order.Workspace))),
			Cause:    fmt.Sprintf("%s %s: %s", outcome.Outcome, outcome.Cause, outcome.Detail),
		})
	}
	return outcome
}

// HandOver accepts the ledger of a leaving host in two steps: the first call brings
// a copy, the second one commits it.
func (o *Orders) HandOver(_ context.Context, request *wire.HandOverRequest) (*wire.HandOverReply, error) {
	from := wire.ToHostID(request.GetFrom())
	limits := o.limits()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.SetLimits(limits.LedgerSize, limits.TicketTerm)
	reply := &wire.HandOverReply{Holder: wire.FromHostID(o.config.Self)}
	if request.GetCommit() {
		reply.Accepted = o.ledger.AcceptCommit(time.Now(), wire.ToHostID(request.GetTo()), from, request.GetSerial())
		o.recordMove(fmt.Sprintf("ledger of %s", from), reply.Accepted)
		o.notifyWaiters()
		return reply, nil
	}
	accepted, err := o.ledger.AcceptPrepare(from, request.GetSerial(), request.GetLedger())
	if err != nil {
		o.logger.Error(err, "Reading another host's order ledger failed.", "From", from.String())
	}
	reply.Accepted = accepted
	return reply, nil
}

// recordMove records a handover of a ledger in the audit trail.
func (o *Orders) recordMove(subject string, accepted bool) {
	if o.config.Auditor == nil {
		return
	}
	cause := "handed over"
	if !accepted {
		cause = "handover refused"
	}
	o.config.Auditor.Record(core.AuditEvent{
		Time:    time.Now(),
		Host:    o.config.Self,
		Kind:    core.AuditLedgerMoved,
		Subject: subject,
		Cause:   cause,
	})
}
