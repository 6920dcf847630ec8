// Package invar asserts the promises of the system inside the program. A
// broken promise is counted in expvar and handed to a handler, which logs it in
// production and fails the run under test.
package invar

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

// Promise names one of the system's promises.
type Promise string

// The promises, in the order of the brief.
const (
	TokensOnceInOrder  Promise = "TokensOnceInOrder"
	ColdLimit          Promise = "ColdLimit"
	DataCentreOut      Promise = "DataCentreOut"
	AnswerToOwnRequest Promise = "AnswerToOwnRequest"
	NotRunMeansNotRun  Promise = "NotRunMeansNotRun"
	OrderAtMostOnce    Promise = "OrderAtMostOnce"
	EndpointLeaving    Promise = "EndpointLeaving"
	GracefulStop       Promise = "GracefulStop"
	RevisionNeverLower Promise = "RevisionNeverLower"
	SlotLimit          Promise = "SlotLimit"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	Detail  string
}

// Error makes a violation usable as an error and a panic value.
func (v *Violation) Error() string {
	return fmt.Sprintf("promise %s is broken: %s", v.Promise, v.Detail)
}

var (
	_broken  = expvar.NewMap("apricotproxy.Promises.Broken")
	_handler atomic.Pointer[func(*Violation)]
)

// Handle sets what is done with a violation and returns a function that
// restores the handler before it. The default panics.
func Handle(handler func(*Violation)) (restore func()) {
	before := _handler.Swap(&handler)
	return func() { _handler.Store(before) }
}

// Check asserts a promise. The detail is formatted only when ok is false.
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
