package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"apricotproxy/core"
)

// statusError is an outcome with a status of its own.
type statusError struct {
	status int
	err    *core.OutcomeError
}

// Error gives the outcome's text.
func (e *statusError) Error() string { return e.err.Error() }

// Unwrap gives the outcome.
func (e *statusError) Unwrap() error { return e.err }

// errorBody is an error as callers see it.
type errorBody struct {
	Error             openError `json:"error"`
	Outcome           string
	Cause             core.Cause
	RetryAfterSeconds int
	// Delivered counts the tokens that came before.
	Delivered int
}

// openError is the part that clients of the usual completion call read.
type openError struct {
	Message string     `json:"message"`
	Type    string     `json:"type"`
	Code    core.Cause `json:"code"`
}

// outcomeOf gives the outcome behind an error and its status.
func outcomeOf(err error) (*core.OutcomeError, int) {
	var outcome *core.OutcomeError
	if !errors.As(err, &outcome) {
		outcome = &core.OutcomeError{Outcome: core.OutcomeUnknown, Cause: core.CauseInternal, Detail: "the entry host failed", Err: err}
	}
	var withStatus *statusError
	if errors.As(err, &withStatus) {
		return outcome, withStatus.status
	}
	return outcome, statusOf(outcome)
}

func statusOf(outcome *core.OutcomeError) int {
	if outcome.Outcome != core.OutcomeNotRun {
		if outcome.Cause == core.CauseDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch outcome.Cause {
	case core.CauseBadRequest:
		return http.StatusBadRequest
	case core.CauseTooLarge:
		return http.StatusRequestEntityTooLarge
	case core.CauseUnknownName:
		return http.StatusNotFound
	case core.CauseTicketInvalid:
		return http.StatusForbidden
	case core.CauseTicketExpired:
		return http.StatusGone
	case core.CauseEndpointDenied:
		return http.StatusUnprocessableEntity
	case core.CauseOverload, core.CauseLedgerFull, core.CauseRetryBudget:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// bodyOf gives the body of an error. Only what callers may know goes into it.
func bodyOf(now time.Time, outcome *core.OutcomeError) errorBody {
	return errorBody{
		Error: openError{
			Message: outcome.Detail,
			Type:    outcome.Outcome.String(),
			Code:    outcome.Cause,
		},
		Outcome:           outcome.Outcome.String(),
		Cause:             outcome.Cause,
		RetryAfterSeconds: retryAfter(now, outcome.RetryAt),
		Delivered:         outcome.Delivered,
	}
}

// retryAfter gives whole seconds, rounded up; 0 when asking again does not help.
func retryAfter(now, at time.Time) int {
	if at.IsZero() {
		return 0
	}
	return max(1, int((at.Sub(now)+time.Second-1)/time.Second))
}

// writeError answers a request that has no answer yet.
func (h *Handler) writeError(w http.ResponseWriter, err error) {
	outcome, status := outcomeOf(err)
	body := bodyOf(time.Now(), outcome)
	if body.RetryAfterSeconds == 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		body.RetryAfterSeconds = 1
	}
	if body.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(body.RetryAfterSeconds))
	}
	if outcome.Cause == core.CauseInternal {
		h.logger.Error(err, "A request failed.")
	}
	h.writeJSON(w, status, body)
}

// writeJSON answers with a JSON value.
func (h *Handler) writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		h.logger.Error(err, "An answer could not be encoded.")
		status, data = http.StatusInternalServerError, nil
	}
	h.boundWrites(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		h.logger.V(1).Info("An answer was not taken.", "Cause", err.Error())
	}
}

// boundWrites gives the next writes a deadline, by which a caller that has gone
// silent is found.
func (h *Handler) boundWrites(w http.ResponseWriter) {
	// A writer without deadlines is one of a test.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.writeTimeout()))
}

func (h *Handler) writeTimeout() time.Duration {
	if limit := h.limits().SilenceTimeout; limit > 0 {
		return limit
	}
	return _writeTimeout
}
