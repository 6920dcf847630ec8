package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"apricotproxy/core"
)

// statusError is an outcome with an HTTP status other than the one that statusOf
// returns.
type statusError struct {
	status int
	err    *core.OutcomeError
}

// Error returns the text of the outcome.
func (e *statusError) Error() string { return e.err.Error() }

// Unwrap returns the outcome.
func (e *statusError) Unwrap() error { return e.err }

// errorBody is the JSON form of an error.
type errorBody struct {
	Error             openAIError `json:"error"`
	Outcome           string
	Cause             core.Cause
	RetryAfterSeconds int
	// Delivered counts the tokens that were sent before the error.
	Delivered int
}

// openAIError is the part of an error that clients of the OpenAI API read.
type openAIError struct {
	Message string     `json:"message"`
	Type    string     `json:"type"`
	Code    core.Cause `json:"code"`
}

// outcomeOf returns the outcome that an error wraps, and its HTTP status.
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

// errorBodyOf returns the body of an error. It leaves out the underlying error,
// which callers must not see.
func errorBodyOf(now time.Time, outcome *core.OutcomeError) errorBody {
	return errorBody{
		Error: openAIError{
			Message: outcome.Detail,
			Type:    outcome.Outcome.String(),
			Code:    outcome.Cause,
		},
		Outcome:           outcome.Outcome.String(),
		Cause:             outcome.Cause,
		RetryAfterSeconds: retryAfterSeconds(now, outcome.RetryAt),
		Delivered:         outcome.Delivered,
	}
}

// retryAfterSeconds returns whole seconds, rounded up; 0 if a retry does not help.
func retryAfterSeconds(now, retryAt time.Time) int {
	if retryAt.IsZero() {
		return 0
	}
	return max(1, int((retryAt.Sub(now)+time.Second-1)/time.Second))
}

// writeError answers a request with an error. Nothing may have been sent before.
func (h *Handler) writeError(w http.ResponseWriter, err error) {
	outcome, status := outcomeOf(err)
	body := errorBodyOf(time.Now(), outcome)
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
	h.setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		h.logger.V(1).Info("An answer could not be sent to the caller.", "Cause", err.Error())
	}
}

// setWriteDeadline sets a deadline for the next writes, so that a caller that has
// gone silent is detected.
func (h *Handler) setWriteDeadline(w http.ResponseWriter) {
	// Only writers in tests do not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.writeTimeout()))
}

func (h *Handler) writeTimeout() time.Duration {
	if limit := h.limits().SilenceTimeout; limit > 0 {
		return limit
	}
	return _defaultWriteTimeout
}
