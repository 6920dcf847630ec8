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
	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/fence"
)

const (
	_ordersRandomStream = 0x6f7264657273 // "orders" in ASCII
	_orderPollInterval  = 500 * time.Millisecond
	_rateReadInterval   = time.Minute
)

// EngineOrderSettings configure the engine orders of a host.
type EngineOrderSettings struct {
	Self   core.HostID
	Client core.EndpointClient
	// EngineOrdersUntil returns the time until which this host's view of the fleet is recent
	// enough for engine orders, like the Fleet method of the same name.
	EngineOrdersUntil func() time.Time
	// LoadsPerMinute reads the rate that the weight store publishes, like
	// platf.Client.LoadsPerMinute. If it is nil, only the configured rate applies.
	LoadsPerMinute func(context.Context) (float64, error)
	Auditor        core.Auditor
	Logger         logr.Logger
	Seed           uint64
}

// EngineOrders sends the engine orders of one host. The decisions are made in
// core/procs/fence. It is safe for concurrent use.
type EngineOrders struct {
	settings EngineOrderSettings
	log      logr.Logger

	mu             sync.Mutex
	scheduler      *fence.Scheduler
	nextRateReadAt time.Time
}

// NewEngineOrders returns the sender of a host's engine orders. It sends nothing before Run is
// called.
func NewEngineOrders(settings EngineOrderSettings) *EngineOrders {
	if settings.Logger.GetSink() == nil {
		settings.Logger = logr.Discard()
	}
	random := rand.New(rand.NewPCG(settings.Seed, _ordersRandomStream))
	return &EngineOrders{
		settings:  settings,
		log:       settings.Logger.WithName("steward"),
		scheduler: fence.New(settings.Self.Host, random),
	}
}

// Apply puts a configuration in force.
func (o *EngineOrders) Apply(config core.Config) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.Apply(time.Now(), config)
}

// Observe processes an endpoint's report.
func (o *EngineOrders) Observe(report core.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.Observe(time.Now(), report)
}

// IsSteward reports whether this host is the steward of an endpoint: the host that sends it
// engine orders.
func (o *EngineOrders) IsSteward(endpoint core.EndpointName) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Contains(o.scheduler.Endpoints(), endpoint)
}

// Run sends the orders that are due until ctx ends.
func (o *EngineOrders) Run(ctx context.Context) {
	for waitUntil(ctx, time.Now().Add(_orderPollInterval), nil) {
		o.refreshPublishedRate(ctx)
		for ctx.Err() == nil && o.sendNext(ctx) {
		}
	}
}

// refreshPublishedRate reads the published rate if _rateReadInterval has passed and this
// host is the steward of an endpoint.
func (o *EngineOrders) refreshPublishedRate(ctx context.Context) {
	now := time.Now()
	idle := mutex.Get(&o.mu, func() bool { return len(o.scheduler.Endpoints()) == 0 || now.Before(o.nextRateReadAt) })
	if o.settings.LoadsPerMinute == nil || idle {
		return
	}
	rate, err := o.settings.LoadsPerMinute(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextRateReadAt = now.Add(_rateReadInterval)
	if err != nil {
		o.log.V(1).Info("Reading the weight store's rate failed.", "Cause", err.Error())
		return
	}
	o.scheduler.SetPublishedRate(rate)
}

// next returns an order that is due. It is recorded before it is sent, because an order that gets no answer may
// have arrived.
func (o *EngineOrders) next(now time.Time) (fence.Order, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.ExtendView(o.settings.EngineOrdersUntil())
	order, ok := o.scheduler.Next(now)
	if ok {
		o.scheduler.Sent(now, order)
	}
	return order, ok
}

// sendNext sends one order that is due. It returns false if there is none.
func (o *EngineOrders) sendNext(ctx context.Context) bool {
	order, ok := o.next(time.Now())
	if ok {
		o.send(ctx, order)
	}
	return ok
}

// send sends an order and audits it. It reads the clock again, so a process that was
// suspended past the order's deadline sends nothing.
func (o *EngineOrders) send(ctx context.Context, order fence.Order) {
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
	o.log.Info("Sent an engine order.", "Endpoint", order.Endpoint.Name, "Model", order.Order.Model,
		"Version", order.Order.Version, "Role", order.Order.Role, "Fence", order.Order.Fence, "Cause", cause)
	if o.settings.Auditor == nil {
		return
	}
	o.settings.Auditor.Record(core.AuditEvent{
		Time: time.Now(), Host: o.settings.Self, Kind: core.AuditEngineOrder,
		Revision: fence.RevisionOf(order.Order.Fence), Subject: string(order.Endpoint.Name), Cause: cause,
	})
}
