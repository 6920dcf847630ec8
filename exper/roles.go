package exper

import (
	"time"

	"apricotproxy/core"
)

// RotatingRoles gives some engines to short requests only and the others to
// long ones only. The window of short engines moves on by one each period.
type RotatingRoles struct {
	Short  int
	Period time.Duration
}

// Role tells whether the engine at the position is in the window.
func (p RotatingRoles) Role(now time.Time, position, endpoints int) core.EndpointRole {
	first := int(now.Sub(_epoch)/p.Period) % endpoints
	if (position-first+endpoints)%endpoints < p.Short {
		return core.RoleShort
	}
	return core.RoleLong
}

// NextChange is the end of the period.
func (p RotatingRoles) NextChange(now time.Time) time.Time {
	return _epoch.Add((now.Sub(_epoch)/p.Period + 1) * p.Period)
}
