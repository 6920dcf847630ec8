package runs

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
	"apricotproxy/core/procs/ticket"
	"apricotproxy/io/wire"
)

const (
	// _forwardReplyTimeout is how long a host waits for the outcome of a
	// forwarded order before it replies that the order is still running. It is
	// below _forwardTimeout, which distinguishes a slow order from a silent peer.
	_forwardReplyTimeout = time.Second
	_forwardTimeout      = 3 * time.Second
	// _searchRounds is how often an order is sent to the hosts that may have a
	// ledger when one of them does not answer.
	_searchRounds = 3
	// _maxSuccessors is how many hosts may be asked to take over a ledger, and
	// later whether they have it.
	_maxSuccessors = 8
	// _maxHops is how often the decision on one order may move to another host.
	_maxHops = 4
)

// successors returns the hosts that may hold the ledger of a host that left, in
// the order in which that host asked them. It is rendezvous hashing: every host
// computes the same order, so a host that forwards an order finds the ledger without
// any message about its new holder.
func successors(hosts []core.Host, departed core.HostName) []core.HostName {
	type scored struct {
		name  core.HostName
		score uint64
	}
	var ranked []scored
	for _, h := range hosts {
		if h.Name != departed {
			ranked = append(ranked, scored{name: h.Name, score: xxhash.Sum64String(string(departed) + "\x00" + string(h.Name))})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]core.HostName, 0, _maxSuccessors)
	for _, s := range ranked[:min(_maxSuccessors, len(ranked))] {
		names = append(names, s.name)
	}
	return names
}

// ForwardOrder processes an order that another entry host received and forwarded.
func (o *Orders) ForwardOrder(ctx context.Context, request *wire.ForwardOrderRequest) (*wire.ForwardOrderReply, error) {
	t, err := ticket.Parse(request.GetTicket())
	if err != nil {
		return replyOf(nil, core.NotRun(core.CauseTicketInvalid, err.Error(), time.Time{})), nil
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(_forwardReplyTimeout))
	defer cancel()
	answer, err := o.awaitOutcome(ctx, t, Order{
		Workspace: core.WorkspaceName(request.GetWorkspace()),
		Ticket:    request.GetTicket(),
		Service:   core.ServiceName(request.GetService()),
		Call:      core.CallName(request.GetCall()),
		Body:      request.GetBody(),
	})
	var elsewhere *elsewhereError
	switch {
	case errors.As(err, &elsewhere) && elsewhere.holder == core.HostID{}:
		return &wire.ForwardOrderReply{}, nil
	case errors.As(err, &elsewhere):
		return &wire.ForwardOrderReply{Holder: wire.FromHostID(elsewhere.holder)}, nil
	case errors.Is(err, errPending):
		return &wire.ForwardOrderReply{Holder: wire.FromHostID(o.config.Self)}, nil
	}
	return replyOf(answer, err), nil
}

func replyOf(answer []byte, err error) *wire.ForwardOrderReply {
	outcome := outcomeOf(answer, err)
	return &wire.ForwardOrderReply{
		Outcome: uint32(outcome.Outcome),
		Cause:   string(outcome.Cause),
		Detail:  outcome.Detail,
		Answer:  outcome.Answer,
	}
}

// forward sends the order to the host that decides on the ticket, wherever the
// ledger was moved. Sending it twice does no harm: the ledger runs the order once.
func (o *Orders) forward(ctx context.Context, t ticket.Ticket, order Order, holder core.HostID) ([]byte, error) {
	limits := o.limits()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(limits.QueueTimeout+limits.RequestTimeout+_forwardTimeout))
	defer cancel()
	wait := _minBackoff
	for range _searchRounds {
		reply, err := o.search(ctx, t, order, holder)
		if errors.Is(err, errHeldHere) {
			return nil, err
		}
		if reply != nil {
			return answerOf(ticket.Outcome{
				Outcome: core.Outcome(reply.GetOutcome()),
				Cause:   core.Cause(reply.GetCause()),
				Detail:  reply.GetDetail(),
				Answer:  reply.GetAnswer(),
			})
		}
		if err == nil || !sleep(ctx, wait) {
			break
		}
		wait *= 4
	}
	return nil, issuerGoneError(t)
}

// errHeldHere means that another host named this one as the holder of a ledger.
var errHeldHere = errors.New("this host decides on the ticket by now")

// issuerGoneError returns the outcome of an order when no host that decides on its
// ticket was found.
func issuerGoneError(t ticket.Ticket) error {
	gone := unknownError(core.CauseIssuerGone,
		fmt.Sprintf("host %s, which issued the ticket, is gone or out of reach; the order may have run", t.ID.Issuer.Host), nil)
	var outcome *core.OutcomeError
	if errors.As(gone, &outcome) {
		outcome.RetryAt = time.Now().Add(_maxBackoff)
	}
	return gone
}

// search sends the order once to each host that may decide on the ticket, until one
// does. If it returns no reply, the error is errHeldHere, the error of a host that
// did not answer, or nil if all hosts answered and none of them decides.
func (o *Orders) search(ctx context.Context, t ticket.Ticket, order Order, holder core.HostID) (*wire.ForwardOrderReply, error) {
	var unanswered error
	for _, name := range o.candidates(t.ID.Issuer, holder) {
		reply, err := o.forwardTo(ctx, name, order)
		if errors.Is(err, errHeldHere) {
			return nil, err
		}
		if err != nil {
			o.logger.V(1).Info("Forwarding an order failed.", "Host", name, "Cause", err.Error())
			unanswered = err
			continue
		}
		if reply != nil {
			return reply, nil
		}
	}
	return nil, unanswered
}

// candidates returns the hosts that may hold the issuer's ledger, most likely
// first.
func (o *Orders) candidates(issuer, holder core.HostID) []core.HostName {
	var names []core.HostName
	add := func(name core.HostName) {
		if name != "" && name != o.config.Self.Host && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	add(holder.Host)
	if o.config.Holder != nil {
		if known, ok := o.config.Holder(issuer); ok {
			add(known.Host)
		}
	}
	add(issuer.Host)
	for _, name := range successors(o.config.Runner.config.Dispatcher.Config().Hosts, issuer.Host) {
		add(name)
	}
	return names
}

// forwardTo sends the order to one host, and then to the hosts that it names as the
// holder, until there is an outcome. A nil reply means that none of them decides
// on the ticket, errHeldHere that one of them named this host.
func (o *Orders) forwardTo(ctx context.Context, name core.HostName, order Order) (*wire.ForwardOrderReply, error) {
	for hops := 0; hops < _maxHops; {
		reply, err := o.forwardOnce(ctx, name, order)
		if err != nil {
			return nil, err
		}
		if reply.GetOutcome() != 0 {
			return reply, nil
		}
		next := wire.ToHostID(reply.GetHolder())
		if next == o.config.Self {
			return nil, errHeldHere
		}
		// Without a holder in the reply, the host does not decide on the ticket and
		// does not know who does. An earlier incarnation of this host as the holder
		// means that the ledger is lost.
		if next.Host == "" || next.Host == o.config.Self.Host {
			return nil, nil
		}
		if next.Host != name {
			hops++
		}
		name = next.Host
	}
	return nil, nil
}

func (o *Orders) forwardOnce(ctx context.Context, name core.HostName, order Order) (*wire.ForwardOrderReply, error) {
	peer := o.config.Runner.peer(name)
	if peer == nil {
		return nil, fmt.Errorf("no address of host %s is known", name)
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(_forwardTimeout))
	defer cancel()
	reply, err := peer.ForwardOrder(ctx, &wire.ForwardOrderRequest{
		From:      wire.FromHostID(o.config.Self),
		Ticket:    order.Ticket,
		Workspace: string(order.Workspace),
		Service:   string(order.Service),
		Call:      string(order.Call),
		Body:      order.Body,
	})
	if err != nil {
		return nil, fmt.Errorf("forward an order to %s: %w", name, err)
	}
	return reply, nil
}
