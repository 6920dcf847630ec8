// Package relay is the state machine of one generation on its way to one
// caller. It passes each token once, in order and from a single generation,
// whatever the engine and its connections do: an engine that resumes may send
// tokens again, leave some out, or answer with another generation.
package relay

import "apricotproxy/core"

// Verdict tells what the shell does with one token of an engine.
type Verdict uint8

// Verdicts on a token.
const (
	// Deliver passes the token on; it is the next one.
	Deliver Verdict = iota + 1
	// Complete passes the final event on; the answer is whole.
	Complete
	// Duplicate drops the token; it was delivered before.
	Duplicate
	// Gap drops the token and the connection: tokens before it are missing and
	// are asked for again from Next.
	Gap
	// Foreign drops the token and the connection: it belongs to another
	// generation.
	Foreign
	// Contradiction drops the token and the connection: the final event's count
	// is not the number of tokens.
	Contradiction
)

// String names the verdict as logs do.
func (v Verdict) String() string {
	switch v {
	case Deliver:
		return "Deliver"
	case Complete:
		return "Complete"
	case Duplicate:
		return "Duplicate"
	case Gap:
		return "Gap"
	case Foreign:
		return "Foreign"
	case Contradiction:
		return "Contradiction"
	default:
		return "Unknown"
	}
}

// Relay is the state of one generation towards one caller.
type Relay struct {
	generation core.GenerationID
	first      int
	next       int
	complete   bool
}

// New returns the state of a generation whose caller has the tokens before
// next already; 0 for a new one.
func New(generation core.GenerationID, next int) Relay {
	return Relay{generation: generation, first: next, next: next}
}

// Accept judges one event of the engine and returns the state after it.
//
// With tokens 0 and 1 delivered, the events 1, 2, 4 are judged Duplicate,
// Deliver, Gap; the shell then asks the engine to resume at 3.
func (r Relay) Accept(token core.Token) (Relay, Verdict) {
	if token.Generation != r.generation {
		return r, Foreign
	}
	if r.complete {
		return r, Duplicate
	}
	if token.Final {
		return r.acceptFinal(token)
	}
	switch {
	case token.Index < r.next:
		return r, Duplicate
	case token.Index > r.next:
		return r, Gap
	}
	r.next++
	return r, Deliver
}

// A final event is judged by its count too: an engine that says "5 tokens, all
// sent" after the third has lost two of them.
func (r Relay) acceptFinal(token core.Token) (Relay, Verdict) {
	switch {
	case token.Index != token.Count:
		return r, Contradiction
	case token.Count > r.next:
		return r, Gap
	case token.Count < r.next:
		return r, Contradiction
	}
	r.complete = true
	return r, Complete
}

// Generation gives the generation that is relayed.
func (r Relay) Generation() core.GenerationID { return r.generation }

// Next gives the index of the next token that the caller is to get.
func (r Relay) Next() int { return r.next }

// Delivered counts the tokens passed on by this relay.
func (r Relay) Delivered() int { return r.next - r.first }

// Complete tells whether the answer is whole.
func (r Relay) Complete() bool { return r.complete }
