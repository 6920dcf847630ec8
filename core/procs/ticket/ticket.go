// Package ticket keeps orders that may run at most once. A host issues a
// ticket, authenticated by a key that its incarnation made and that never
// leaves it; the ledger of that host alone decides whether the ticket's order
// runs, and records the outcome for repeats.
//
// The ledger is a synchronous state machine. It is not safe for concurrent
// use; the shell holds its lock.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"apricotproxy/core"
)

const (
	_keyBytes = 32
	// _textBytes bounds what Parse reads.
	_textBytes = 2 << 10
)

// Key authenticates the tickets of one incarnation.
type Key [_keyBytes]byte

// ID names one ticket across the fleet.
type ID struct {
	Issuer core.HostID
	Serial uint64
}

// String gives the form "entry-1@1733270000000000000/7".
func (id ID) String() string { return fmt.Sprintf("%s/%d", id.Issuer, id.Serial) }

// Ticket is the permission to run one order once.
type Ticket struct {
	ID        ID
	Site      core.SiteName
	Workspace core.WorkspaceName
	// ExpiresAt is when the ticket can no longer start an order.
	ExpiresAt time.Time
	// Mark authenticates the ticket.
	Mark [sha256.Size]byte
}

// payload is the signed part of a ticket on the wire.
type payload struct {
	Site          core.SiteName
	Host          core.HostName
	Incarnation   core.Incarnation
	Serial        uint64
	Workspace     core.WorkspaceName
	ExpiresMillis int64
}

// ParseError tells why a text is no ticket.
type ParseError struct {
	Err error
}

// Error gives the cause.
func (e *ParseError) Error() string { return "the ticket is not readable: " + e.Err.Error() }

// Unwrap gives the underlying error.
func (e *ParseError) Unwrap() error { return e.Err }

// Text gives the form that callers see: the signed part and the mark, each in
// base64, joined by a dot.
func (t Ticket) Text() string {
	return encodeText(t.signed(), t.Mark[:])
}

func encodeText(signed, mark []byte) string {
	return base64.RawURLEncoding.EncodeToString(signed) + "." + base64.RawURLEncoding.EncodeToString(mark)
}

func (t Ticket) signed() []byte {
	data, err := json.Marshal(payload{
		Site:          t.Site,
		Host:          t.ID.Issuer.Host,
		Incarnation:   t.ID.Issuer.Incarnation,
		Serial:        t.ID.Serial,
		Workspace:     t.Workspace,
		ExpiresMillis: t.ExpiresAt.UnixMilli(),
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

// withMark returns the ticket signed by the key.
func (t Ticket) withMark(key Key) Ticket {
	mac := hmac.New(sha256.New, key[:])
	mac.Write(t.signed())
	copy(t.Mark[:], mac.Sum(nil))
	return t
}

// Parse reads a ticket's text. It does not authenticate it: only the issuer
// can. Errors are *ParseError.
func Parse(text string) (Ticket, error) {
	if len(text) > _textBytes {
		return Ticket{}, &ParseError{Err: fmt.Errorf("longer than %d bytes", _textBytes)}
	}
	head, tail, found := strings.Cut(text, ".")
	if !found {
		return Ticket{}, &ParseError{Err: errors.New("no dot between the two parts")}
	}
	signed, err := base64.RawURLEncoding.Strict().DecodeString(head)
	if err != nil {
		return Ticket{}, &ParseError{Err: fmt.Errorf("first part: %w", err)}
	}
	mark, err := base64.RawURLEncoding.Strict().DecodeString(tail)
	if err != nil {
		return Ticket{}, &ParseError{Err: fmt.Errorf("second part: %w", err)}
	}
	if len(mark) != sha256.Size {
		return Ticket{}, &ParseError{Err: fmt.Errorf("the mark has %d bytes; expected %d", len(mark), sha256.Size)}
	}
	var p payload
	if err := json.Unmarshal(signed, &p); err != nil {
		return Ticket{}, &ParseError{Err: fmt.Errorf("first part: %w", err)}
	}
	t := Ticket{
		ID:        ID{Issuer: core.HostID{Host: p.Host, Incarnation: p.Incarnation}, Serial: p.Serial},
		Site:      p.Site,
		Workspace: p.Workspace,
		ExpiresAt: time.UnixMilli(p.ExpiresMillis).UTC(),
	}
	copy(t.Mark[:], mark)
	if t.Text() != text {
		return Ticket{}, &ParseError{Err: errors.New("the text is not in its one valid form")}
	}
	return t, nil
}
