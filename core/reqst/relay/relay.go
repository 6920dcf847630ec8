// Package relay is the state machine that filters the tokens of one generation
// for one caller. Each token is passed on once, in order and from a single
// generation, even though an engine that resumes may repeat tokens, leave some
// out, or answer with another generation.
package relay

import "apricotproxy/core"

// Verdict is what to do with one token of an engine.
type Verdict uint8

// Verdicts on a token.
const (
	// Deliver passes the token on; it is the next one.
	Deliver Verdict = iota + 1
	// Complete passes the final event on; the answer is complete.
	Complete
	// Duplicate drops the token; it was delivered before.
	Duplicate
	// Gap drops the token and closes the connection: tokens before it are missing
	// and are requested again, starting at Next.
	Gap
	// Foreign drops the token and closes the connection: the token belongs to
	// another generation.
	Foreign
	// Contradiction drops the token and closes the connection: the final event's
	// count is not the number of tokens.
	Contradiction
)

// String returns the name used in logs.
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

// Relay tracks which tokens of a generation one caller has received.
type Relay struct {
	generation core.GenerationID
	first      int
	next       int
	complete   bool
}

// New returns the state of a generation whose caller already has the tokens
// before next; 0 for a new generation.
func New(generation core.GenerationID, next int) Relay {
	return Relay{generation: generation, first: next, next: next}
}

// Accept returns the verdict on one event of the engine and the state after it.
//
// With tokens 0 and 1 delivered, the verdicts on the events 1, 2, 4 are Duplicate,
// Deliver, Gap; the engine must then resume at 3.
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

// acceptFinal checks the count of a final event as well: if it says 5 tokens
// after the third was delivered, two tokens are missing.
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

// Generation returns the generation that is relayed.
func (r Relay) Generation() core.GenerationID { return r.generation }

// Next returns the index of the next token to deliver.
func (r Relay) Next() int { return r.next }

// Delivered returns the number of tokens that this relay passed on.
func (r Relay) Delivered() int { return r.next - r.first }

// Complete reports whether the answer is complete.
func (r Relay) Complete() bool { return r.complete }
