package runs

import (
	"context"

	"apricotproxy/core"
)

// unary is one call of a plain service. Its hooks connect an order to the ledger.
type unary struct {
	runner  *Runner
	request core.Request
	body    []byte
	// key is the idempotency key for the endpoint; empty for none.
	key string
	// mayDispatch is called right before the first byte is sent and reports
	// whether it may be; nil allows it.
	mayDispatch func() bool
	// didNotRun is called when a dispatch certainly ran nothing; it may be nil.
	didNotRun func()
}

// run places the call until an endpoint answers. An unrepeatable call is placed
// again only after a try that certainly ran nothing.
func (u *unary) run(ctx context.Context) ([]byte, error) {
	dispatcher := u.runner.config.Dispatcher
	placement, err := dispatcher.Place(ctx, u.request)
	mayHaveRun := false
	for {
		if err != nil {
			return nil, u.runner.conclude(err, mayHaveRun)
		}
		answer, callErr := u.try(ctx, placement)
		if callErr == nil {
			dispatcher.Finish(placement, core.ResultCompleted, 0)
			return answer, nil
		}
		failed, result := tryFailure(callErr)
		if provesNotRun(result) && u.didNotRun != nil {
			u.didNotRun()
		}
		if result == core.ResultRefused {
			if refusal, final := endpointRefusal(failed); final {
				dispatcher.Finish(placement, result, 0)
				return nil, u.runner.conclude(refusal, mayHaveRun)
			}
		}
		mayHaveRun = mayHaveRun || !provesNotRun(result)
		if mayHaveRun && (!u.request.Repeatable || ctx.Err() != nil) {
			dispatcher.Finish(placement, result, 0)
			return nil, unknownError(core.CauseEndpointLost, "the endpoint was lost; the call may have run", callErr)
		}
		_replaced.Add(1)
		placement, err = dispatcher.Replace(ctx, placement, result)
	}
}

func (u *unary) try(ctx context.Context, placement core.Placement) ([]byte, error) {
	endpoint, ok := u.runner.config.Dispatcher.Endpoint(placement.Endpoint)
	if !ok {
		return nil, &core.EndpointError{
			Endpoint: placement.Endpoint,
			Result:   core.ResultDialFailed,
			Err:      errNotConfigured,
		}
	}
	ctx, cancel := context.WithDeadline(ctx, u.request.Deadline)
	defer cancel()
	return u.runner.config.Client.Call(ctx, endpoint, core.CallRequest{
		Workspace: u.request.Workspace,
		Call:      u.request.Call,
		Key:       u.key,
		Body:      u.body,
		Confirm:   func() bool { return u.confirm(placement) },
	})
}

// confirm reports whether the call may be sent now. It checks the ledger first:
// when the dispatcher does not confirm a placement, it places the request again by
// itself, even if the ledger forbids the dispatch.
func (u *unary) confirm(placement core.Placement) bool {
	if u.mayDispatch != nil && !u.mayDispatch() {
		return false
	}
	return u.runner.config.Dispatcher.Confirm(placement)
}
