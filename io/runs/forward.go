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
	// _forwardHold is how long a host holds a forwarded order without an
	// outcome before it answers that it runs. It is below _forwardTry, so that a
	// silent peer is told from a slow order.
	_forwardHold = time.Second
	_forwardTry  = 3 * time.Second
	// _searchRounds is how often the hosts that may have a ledger are asked when
	// one of them does not answer.
	_searchRounds = 3
	// _successors is how many hosts may be asked to take a ledger over, and are
	// asked for it later.
	_successors = 8
	_hops       = 4
)

// successors gives the hosts that may hold the ledger of a host that left, in
// the order in which it asks them. Every host computes the same order, so that
// a forwarder finds the ledger without anybody telling it.
func successors(hosts []core.Host, left core.HostName) []core.HostName {
	type scored struct {
		name  core.HostName
		score uint64
	}
	var ranked []scored
	for _, h := range hosts {
		if h.Name != left {
			ranked = append(ranked, scored{name: h.Name, score: xxhash.Sum64String(string(left) + "\x00" + string(h.Name))})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]core.HostName, 0, _successors)
	for _, s := range ranked[:min(_successors, len(ranked))] {
		names = append(names, s.name)
	}
	return names
}

// ForwardOrder answers another entry host to which an order came.
func (d *Orders) ForwardOrder(ctx context.Context, request *wire.ForwardOrderRequest) (*wire.ForwardOrderReply, error) {
	t, err := ticket.Parse(request.GetTicket())
	if err != nil {
		return replyOf(nil, core.NotRun(core.CauseTicketInvalid, err.Error(), time.Time{})), nil
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(_forwardHold))
	defer cancel()
	answer, err := d.settle(ctx, t, Order{
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
		return &wire.ForwardOrderReply{Holder: wire.FromHostID(d.config.Self)}, nil
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

// forward asks the host that decides on the ticket, wherever its ledger went.
// Asking twice does no harm: the ledger runs the order once.
func (d *Orders) forward(ctx context.Context, t ticket.Ticket, order Order, holder core.HostID) ([]byte, error) {
	limits := d.limits()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(limits.QueueTimeout+limits.RequestTimeout+_forwardTry))
	defer cancel()
	wait := _firstPause
	for range _searchRounds {
		reply, err := d.search(ctx, t, order, holder)
		if errors.Is(err, errHere) {
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
		if err == nil || !pause(ctx, wait) {
			break
		}
		wait *= 4
	}
	return nil, issuerGone(t)
}

// errHere tells that another host names this one as the holder of a ledger.
var errHere = errors.New("this host decides on the ticket by now")

// issuerGone is what is said when no host decides on a ticket.
func issuerGone(t ticket.Ticket) error {
	gone := unknown(core.CauseIssuerGone,
		fmt.Sprintf("host %s, which issued the ticket, is gone or out of reach; the order may have run", t.ID.Issuer.Host), nil)
	var outcome *core.OutcomeError
	if errors.As(gone, &outcome) {
		outcome.RetryAt = time.Now().Add(_longestPause)
	}
	return gone
}

// search asks each host that may decide, once. Without a reply the error tells
// that one of them did not answer, or errHere.
func (d *Orders) search(ctx context.Context, t ticket.Ticket, order Order, holder core.HostID) (*wire.ForwardOrderReply, error) {
	var missing error
	for _, name := range d.candidates(t.ID.Issuer, holder) {
		reply, err := d.ask(ctx, name, order)
		if errors.Is(err, errHere) {
			return nil, err
		}
		if err != nil {
			d.logger.V(1).Info("A forwarded order was not answered.", "Host", name, "Cause", err.Error())
			missing = err
			continue
		}
		if reply != nil {
			return reply, nil
		}
	}
	return nil, missing
}

func (d *Orders) candidates(issuer, holder core.HostID) []core.HostName {
	var names []core.HostName
	add := func(name core.HostName) {
		if name != "" && name != d.config.Self.Host && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	add(holder.Host)
	if d.config.Holder != nil {
		if heard, ok := d.config.Holder(issuer); ok {
			add(heard.Host)
		}
	}
	add(issuer.Host)
	for _, name := range successors(d.config.Runner.config.Dispatcher.Config().Hosts, issuer.Host) {
		add(name)
	}
	return names
}

// ask asks one host, and those that it names, until there is an outcome. A nil
// reply means that none of them decides on the ticket; errHere that one of them
// names this host.
func (d *Orders) ask(ctx context.Context, name core.HostName, order Order) (*wire.ForwardOrderReply, error) {
	for hops := 0; hops < _hops; {
		reply, err := d.askOnce(ctx, name, order)
		if err != nil {
			return nil, err
		}
		if reply.GetOutcome() != 0 {
			return reply, nil
		}
		next := wire.ToHostID(reply.GetHolder())
		if next == d.config.Self {
			return nil, errHere
		}
		// An earlier incarnation of this host took the ledger with it.
		if next.Host == "" || next.Host == d.config.Self.Host {
			return nil, nil
		}
		if next.Host != name {
			hops++
		}
		name = next.Host
	}
	return nil, nil
}

func (d *Orders) askOnce(ctx context.Context, name core.HostName, order Order) (*wire.ForwardOrderReply, error) {
	peer := d.config.Runner.peer(name)
	if peer == nil {
		return nil, fmt.Errorf("no address of host %s is known", name)
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(_forwardTry))
	defer cancel()
	reply, err := peer.ForwardOrder(ctx, &wire.ForwardOrderRequest{
		From:      wire.FromHostID(d.config.Self),
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
