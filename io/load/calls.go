package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callBody is the body of a call or an order. The serial number allows a comparison
// of the plain service's records with the answers.
type callBody struct {
	Serial int
}

// call sends one repeatable call.
func (x *exchange) call(ctx context.Context) answer {
	path := fmt.Sprintf("/v1/calls/%s/%s", x.settings.Call.Service, x.settings.Call.Call)
	return x.sendPlain(ctx, path, callBody{Serial: x.arrival.Serial})
}

type ticketsBody struct {
	Count int
}

type ticketsAnswer struct {
	Tickets []string
}

type orderBody struct {
	Ticket  string
	Service string
	Call    string
	Body    callBody
}

// order gets a ticket and sends one order with it.
func (x *exchange) order(ctx context.Context) answer {
	response, failure := x.post(ctx, "/v1/tickets", ticketsBody{Count: 1})
	if response == nil {
		return failure
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	var tickets ticketsAnswer
	if err := json.NewDecoder(io.LimitReader(response.Body, _maxEventBytes)).Decode(&tickets); err != nil || len(tickets.Tickets) != 1 {
		return answer{Outcome: Broken, Detail: "the answer has no ticket"}
	}
	return x.sendPlain(ctx, "/v1/orders", orderBody{
		Ticket:  tickets.Tickets[0],
		Service: string(x.settings.Order.Service),
		Call:    string(x.settings.Order.Call),
		Body:    callBody{Serial: x.arrival.Serial},
	})
}

// sendPlain sends a body and reads the answer, which is not streamed.
func (x *exchange) sendPlain(ctx context.Context, path string, body any) answer {
	response, failure := x.post(ctx, path, body)
	if response == nil {
		return failure
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	if _, err := io.CopyN(io.Discard, response.Body, _maxAnswerBytes); err != nil && !errors.Is(err, io.EOF) {
		return answer{Outcome: Broken, Detail: "the answer was truncated: " + err.Error()}
	}
	return answer{Outcome: Done, Total: time.Since(x.due)}
}

// readRefusal reads the outcome from an error response.
func readRefusal(response *http.Response) answer {
	var refusal struct {
		Outcome string
		Cause   string
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, _maxEventBytes)).Decode(&refusal); err != nil {
		return answer{Outcome: Broken, Detail: "status " + response.Status + " without an outcome"}
	}
	return answer{Outcome: parseOutcome(refusal.Outcome), Detail: refusal.Outcome + " " + refusal.Cause}
}
