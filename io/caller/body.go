package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/guard"
)

// readBody reads a request's body within the limits on its size and time.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := h.limits().BodyBytes
	if limit <= 0 {
		limit = _defaultBodyBytes
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(_bodyTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, fmt.Errorf("set the body's deadline: %w", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, bodyReadError(err, limit)
	}
	// After the body, the server keeps reading from the connection to notice when
	// the caller disconnects. A deadline that is still set would count as a
	// disconnect.
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, fmt.Errorf("clear the body's deadline: %w", err)
	}
	return body, nil
}

// bodyReadError returns the error for a body that could not be read.
func bodyReadError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &statusError{
			status: http.StatusRequestEntityTooLarge,
			err:    core.NotRun(core.CauseTooLarge, fmt.Sprintf("the body is longer than %d bytes; send a shorter one", limit), time.Time{}),
		}
	case errors.Is(err, guard.ErrNoRoom):
		return core.NotRun(core.CauseOverload, "the bodies of all requests use too much memory; ask again later", time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &statusError{
			status: http.StatusRequestTimeout,
			err:    core.NotRun(core.CauseDeadline, fmt.Sprintf("the body did not arrive within %v; send it faster", _bodyTimeout), time.Time{}),
		}
	default:
		return core.NotRun(core.CauseBadRequest, "the body could not be read: "+err.Error(), time.Time{})
	}
}

// badRequest returns the refusal of a request whose body or header is invalid.
func badRequest(detail string, err error) error {
	if err != nil {
		detail += ": " + err.Error()
	}
	refusal := core.NotRun(core.CauseBadRequest, detail, time.Time{})
	refusal.Err = err
	return refusal
}

// completionBody holds the fields of a completion's body that the entry host reads.
// The engine reads the other ones.
type completionBody struct {
	Service   core.ServiceName `json:"service"`
	Model     core.ModelName   `json:"model"`
	Prompt    string           `json:"prompt"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
	Delivery  string           `json:"delivery"`
}

func (b completionBody) delivery() core.Delivery {
	if b.Stream && b.Delivery != _deliveryWhole {
		return core.DeliveryStream
	}
	return core.DeliveryWhole
}

const (
	_deliveryWhole  = "whole"
	_deliveryStream = "stream"
)

// parseCompletion parses and checks a completion's body.
func parseCompletion(body []byte) (completionBody, error) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return completionBody{}, badRequest("the body is not a JSON object of the completion form", err)
	}
	if b.Service == "" && b.Model == "" {
		return completionBody{}, badRequest(`the body has neither "service" nor "model"; name one`, nil)
	}
	if b.MaxTokens < 0 {
		return completionBody{}, badRequest(fmt.Sprintf(`"max_tokens" is %d; expected 1 or more`, b.MaxTokens), nil)
	}
	if b.Delivery != "" && b.Delivery != _deliveryWhole && b.Delivery != _deliveryStream {
		return completionBody{}, badRequest(fmt.Sprintf(`"delivery" is %q; expected "whole" or "stream"`, clip(b.Delivery)), nil)
	}
	return b, nil
}

// engineBody converts a caller's body into the body for the engine: it sets the
// service's model, always asks for a stream, and removes the fields that only entry
// hosts read.
//
//	{"service":"draft","prompt":"a","n_probs":3}
//
// becomes
//
//	{"model":"m","n_probs":3,"prompt":"a","stream":true}
func engineBody(body []byte, model core.ModelName) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, badRequest("the body is not a JSON object", err)
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, fmt.Errorf("encode the model's name: %w", err)
	}
	fields["model"] = name
	fields["stream"] = json.RawMessage("true")
	delete(fields, "service")
	delete(fields, "delivery")
	encoded, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode the engine's body: %w", err)
	}
	return encoded, nil
}

// parseStrict decodes a body of exactly one JSON object, in which unknown fields are
// an error. It is for bodies that no engine reads.
func parseStrict(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return badRequest("the body is not as expected", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return badRequest("the body has more than one JSON value; send one", nil)
	}
	return nil
}
