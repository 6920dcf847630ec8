package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/procs/fence"
)

const (
	_ordersStream = 0x6f7264657273
	_orderStep    = 500 * time.Millisecond
	_ratePeriod   = time.Minute
)

// OrderSettings are what Orders needs.
type OrderSettings struct {
	Self   core.HostID
	Client core.EndpointClient
	// ViewUntil gives the time until which this host's view may be ordered
	// from, as Fleet.ViewUntil does.
	ViewUntil func() time.Time
	// LoadsPerMinute reads the weight store's published rate, as
	// platf.Client.LoadsPerMinute does; nil for the configured rate alone.
	LoadsPerMinute func(context.Context) (float64, error)
	Auditor        core.Auditor
	Logger         logr.Logger
	Seed           uint64
}

// Orders gives the engine orders of one host. The decisions are in
// core/procs/fence. It is safe for concurrent use.
type Orders struct {
	settings OrderSettings
	log      logr.Logger

	mu     sync.Mutex
	keeper *fence.Scheduler
	rateAt time.Time
}

// NewOrders builds the orders of a host. It sends nothing before Run.
func NewOrders(settings OrderSettings) *Orders {
	if settings.Logger.GetSink() == nil {
		settings.Logger = logr.Discard()
	}
	random := rand.New(rand.NewPCG(settings.Seed, _ordersStream))
	return &Orders{
		settings: settings,
		log:      settings.Logger.WithName("steward"),
		keeper:   fence.New(settings.Self.Host, random),
	}
}

// Apply takes over a configuration.
func (o *Orders) Apply(config core.Config) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keeper.Apply(time.Now(), config)
}

// Observe takes in an endpoint's report.
func (o *Orders) Observe(report core.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keeper.Observe(time.Now(), report)
}

// Steward tells whether this host gives an endpoint its orders.
func (o *Orders) Steward(endpoint core.EndpointName) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Contains(o.keeper.Endpoints(), endpoint)
}

// Run gives what orders are due until ctx ends.
func (o *Orders) Run(ctx context.Context) {
	for sleep(ctx, time.Now().Add(_orderStep), nil) {
		o.readRate(ctx)
		for ctx.Err() == nil && o.giveNext(ctx) {
		}
	}
}

// readRate reads the published rate now and then, while this host is the
// steward of an endpoint.
func (o *Orders) readRate(ctx context.Context) {
	now := time.Now()
	o.mu.Lock()
	idle := len(o.keeper.Endpoints()) == 0 || now.Before(o.rateAt)
	o.mu.Unlock()
	if o.settings.LoadsPerMinute == nil || idle {
		return
	}
	rate, err := o.settings.LoadsPerMinute(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rateAt = now.Add(_ratePeriod)
	if err != nil {
		o.log.V(1).Info("Reading the weight store's rate failed.", "Cause", err.Error())
		return
	}
	o.keeper.SetPublishedRate(rate)
}

// giveNext sends the order that is due. It reports whether there was one.
func (o *Orders) giveNext(ctx context.Context) bool {
	now := time.Now()
	o.mu.Lock()
	o.keeper.ExtendView(o.settings.ViewUntil())
	order, ok := o.keeper.Next(now)
	if ok {
		// Recorded before it is sent: an order without an answer may have
		// arrived.
		o.keeper.Sent(now, order)
	}
	o.mu.Unlock()
	if ok {
		o.give(ctx, order)
	}
	return ok
}

// give reads the clock again: a process that slept since the decision sends
// nothing.
func (o *Orders) give(ctx context.Context, order fence.Order) {
	if !time.Now().Before(order.Deadline) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, order.Deadline)
	defer cancel()
	cause := ""
	if err := o.settings.Client.Order(ctx, order.Endpoint, order.Order); err != nil {
		cause = err.Error()
		var failed *core.EndpointError
		if errors.As(err, &failed) && failed.Result == core.ResultRefused {
			cause = "refused: " + cause
		}
	}
	o.log.Info("Gave an engine order.", "Endpoint", order.Endpoint.Name, "Model", order.Order.Model,
		"Version", order.Order.Version, "Role", order.Order.Role, "Fence", order.Order.Fence, "Cause", cause)
	if o.settings.Auditor == nil {
		return
	}
	o.settings.Auditor.Record(core.AuditEvent{
		Time: time.Now(), Host: o.settings.Self, Kind: core.AuditEngineOrder,
		Revision: fence.RevisionOf(order.Order.Fence), Subject: string(order.Endpoint.Name), Cause: cause,
	})
}
