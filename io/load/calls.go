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

// callBody is what a call or an order carries. The serial number lets the
// plain service's records be compared with the answers.
type callBody struct {
	Serial int
}

// call runs one repeatable call.
func (x *exchange) call(ctx context.Context) answer {
	path := fmt.Sprintf("/v1/calls/%s/%s", x.settings.Call.Service, x.settings.Call.Call)
	return x.plain(ctx, path, callBody{Serial: x.arrival.Serial})
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

// order takes a ticket and sends one order with it.
func (x *exchange) order(ctx context.Context) answer {
	response, failed := x.post(ctx, "/v1/tickets", ticketsBody{Count: 1})
	if response == nil {
		return failed
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return refused(response)
	}
	var tickets ticketsAnswer
	if err := json.NewDecoder(io.LimitReader(response.Body, _eventBytes)).Decode(&tickets); err != nil || len(tickets.Tickets) != 1 {
		return answer{Outcome: Broken, Detail: "the answer holds no ticket"}
	}
	return x.plain(ctx, "/v1/orders", orderBody{
		Ticket:  tickets.Tickets[0],
		Service: string(x.settings.Order.Service),
		Call:    string(x.settings.Order.Call),
		Body:    callBody{Serial: x.arrival.Serial},
	})
}

// plain sends a body and takes the whole answer.
func (x *exchange) plain(ctx context.Context, path string, body any) answer {
	response, failed := x.post(ctx, path, body)
	if response == nil {
		return failed
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return refused(response)
	}
	if _, err := io.CopyN(io.Discard, response.Body, _answerBytes); err != nil && !errors.Is(err, io.EOF) {
		return answer{Outcome: Broken, Detail: "the answer was cut: " + err.Error()}
	}
	return answer{Outcome: Done, Whole: time.Since(x.due)}
}

// refused reads an error answer.
func refused(response *http.Response) answer {
	var refusal struct {
		Outcome string
		Cause   string
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, _eventBytes)).Decode(&refusal); err != nil {
		return answer{Outcome: Broken, Detail: "status " + response.Status + " without an outcome"}
	}
	return answer{Outcome: outcomeOf(refusal.Outcome), Detail: refusal.Outcome + " " + refusal.Cause}
}
