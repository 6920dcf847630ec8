package runs

import (
	"context"

	"apricotproxy/core"
)

// unary is one call of a plain service. Its hooks bind an order to the ledger.
type unary struct {
	runner  *Runner
	request core.Request
	body    []byte
	key     string
	// mayDispatch is asked right before the first byte leaves; nil allows it.
	mayDispatch func() bool
	// proved is told that a dispatch certainly ran nothing.
	proved func()
}

// run places the call until an endpoint answers. A call that may not repeat is
// placed again only after a try that certainly ran nothing.
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
		failed, result := resultOf(callErr)
		if provesNotRun(result) && u.proved != nil {
			u.proved()
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
			return nil, unknown(core.CauseEndpointLost, "the endpoint was lost; the call may have run", callErr)
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

// The ledger is asked first: a placement that the dispatcher takes back is
// placed again, whatever else speaks against it.
func (u *unary) confirm(placement core.Placement) bool {
	if u.mayDispatch != nil && !u.mayDispatch() {
		return false
	}
	return u.runner.config.Dispatcher.Confirm(placement)
}
