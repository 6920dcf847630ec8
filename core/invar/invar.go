// Package invar checks the system's promises at run time. Promises are the
// guarantees that the system gives to callers and operators. A violation is
// counted in expvar and passed to a handler, which logs it in production and
// fails the test in test runs.
package invar

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

// Promise names one of the system's promises.
type Promise string

// The promises.
const (
	// A caller gets each token once and in order.
	TokensOnceInOrder Promise = "TokensOnceInOrder"
	// A cold endpoint has no more requests in flight than its cold slots.
	ColdLimit Promise = "ColdLimit"
	// No request is placed in a data centre that is out of service.
	DataCentreOut Promise = "DataCentreOut"
	// A caller gets the answer to its own request.
	AnswerToOwnRequest Promise = "AnswerToOwnRequest"
	// A request reported as not run did not run.
	NotRunMeansNotRun Promise = "NotRunMeansNotRun"
	// A request that must not be repeated runs at most once.
	OrderAtMostOnce Promise = "OrderAtMostOnce"
	// No request is placed on an endpoint that is leaving.
	EndpointLeaving Promise = "EndpointLeaving"
	// A host stops only when no request is running on it.
	GracefulStop Promise = "GracefulStop"
	// The revision in force on a host never decreases.
	RevisionNeverLower Promise = "RevisionNeverLower"
	// Only slots that an endpoint has are given out.
	SlotLimit Promise = "SlotLimit"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	Detail  string
}

// Error returns the promise and the detail.
func (v *Violation) Error() string {
	return fmt.Sprintf("promise %s is broken: %s", v.Promise, v.Detail)
}

var (
	_broken  = expvar.NewMap("apricotproxy.Promises.Broken")
	_handler atomic.Pointer[func(*Violation)]
)

// SetHandler sets the handler for violations and returns a function that restores
// the previous one. Without a handler, Check panics.
func SetHandler(handler func(*Violation)) (restore func()) {
	previous := _handler.Swap(&handler)
	return func() { _handler.Store(previous) }
}

// Check records a violation of the promise unless ok is true. The detail is
// formatted only when ok is false.
func Check(promise Promise, ok bool, format string, args ...any) {
	if ok {
		return
	}
	_broken.Add(string(promise), 1)
	violation := &Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)}
	handler := _handler.Load()
	if handler == nil {
		panic(violation)
	}
	(*handler)(violation)
}
