// Package ticket implements orders that run at most once. A host issues a
// ticket, authenticated with a key that its incarnation generated and that
// never leaves the process. Only the ledger of that host decides whether the
// ticket's order runs. It records the outcome and returns it to repeated
// requests with the same ticket.
//
// The ledger is a synchronous state machine. It is not safe for concurrent
// use; callers serialize access with a lock.
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
	// _maxTextBytes is the longest ticket text that Parse accepts.
	_maxTextBytes = 2 << 10
)

// Key authenticates the tickets of one incarnation.
type Key [_keyBytes]byte

// ID identifies a ticket across the fleet.
type ID struct {
	Issuer core.HostID
	Serial uint64
}

// String returns the form "entry-1@1733270000000000000/7".
func (id ID) String() string { return fmt.Sprintf("%s/%d", id.Issuer, id.Serial) }

// Ticket is the permission to run one order once.
type Ticket struct {
	ID        ID
	Site      core.SiteName
	Workspace core.WorkspaceName
	// ExpiresAt is the time from which the ticket no longer starts an order.
	ExpiresAt time.Time
	// MAC authenticates the ticket. Messages to callers call it the mark.
	MAC [sha256.Size]byte
}

// payload is the part of a ticket's text that the MAC covers.
type payload struct {
	Site          core.SiteName
	Host          core.HostName
	Incarnation   core.Incarnation
	Serial        uint64
	Workspace     core.WorkspaceName
	ExpiresMillis int64
}

// ParseError reports why a text is not a valid ticket.
type ParseError struct {
	Err error
}

// Error returns the message that callers receive.
func (e *ParseError) Error() string { return "the ticket is not readable: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ParseError) Unwrap() error { return e.Err }

// Text returns the form that callers see: the payload and the MAC, each in
// base64, joined by a dot.
func (t Ticket) Text() string {
	return encodeText(t.signed(), t.MAC[:])
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
		panic(err) // cannot fail: the payload has only strings and numbers
	}
	return data
}

// withMAC returns the ticket with the MAC that the key gives.
func (t Ticket) withMAC(key Key) Ticket {
	mac := hmac.New(sha256.New, key[:])
	mac.Write(t.signed())
	copy(t.MAC[:], mac.Sum(nil))
	return t
}

// Parse decodes a ticket's text. It does not authenticate the ticket, since
// only the issuer has the key. Errors are of type *ParseError.
func Parse(text string) (Ticket, error) {
	if len(text) > _maxTextBytes {
		return Ticket{}, &ParseError{Err: fmt.Errorf("longer than %d bytes", _maxTextBytes)}
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
	copy(t.MAC[:], mark)
	if t.Text() != text {
		return Ticket{}, &ParseError{Err: errors.New("the text is not in its one valid form")}
	}
	return t, nil
}
