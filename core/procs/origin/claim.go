package origin

import (
	"crypto/sha256"
	"encoding/hex"

	"apricotproxy/core"
)

// _scopeBytes is the length of the digest that stands for a scope.
const _scopeBytes = 16

// Scope identifies a route and a workspace. A caller takes up only streams of its own.
type Scope string

// ScopeOf returns the scope of the requests of a workspace on a route.
func ScopeOf(route string, workspace core.WorkspaceName) Scope {
	digest := sha256.Sum256([]byte(route + "\x00" + string(workspace)))
	return Scope(hex.EncodeToString(digest[:_scopeBytes]))
}

// Claim says that a stream goes on with another attempt, so that the attempts before it have to end.
type Claim struct {
	// Stream is the request that began the stream.
	Stream string
	// By is the request that takes the stream up. If it is empty, the host that relayed Stream goes on with it
	// elsewhere, and only the attempt at Stream itself ends.
	By    string
	Scope Scope
	// Event is the last event that the caller has; NoEvent if it has none. Attempts that began at a later one came
	// after the claim, which may arrive late.
	Event int
}

// NoEvent stands for the last event of a caller that has none.
const NoEvent = -1

// Attempt is a request that a host serves.
type Attempt struct {
	Request string
	// BegunBy is the request that began the stream, if this one took it up; empty otherwise.
	BegunBy string
	Scope   Scope
	// Began is the last event that its caller had before; NoEvent if it had none.
	Began int
	// HasBegun is true once its caller has a part of the stream. Another attempt can only go on with that.
	HasBegun bool
}

// IsValid reports whether the claim can be made. IDs that are longer than any key cannot be compared.
func (c Claim) IsValid() bool {
	return c.Stream != "" && len(c.Stream) <= _maxIDBytes && len(c.By) <= _maxIDBytes
}

// Ends reports whether an attempt has to end.
func (c Claim) Ends(a Attempt) bool {
	if !c.IsValid() || !a.HasBegun || a.Scope != c.Scope || a.Request == c.By || a.Began > c.Event {
		return false
	}
	return a.Request == c.Stream || c.By != "" && a.BegunBy == c.Stream
}
