package exper

import (
	"time"

	"apricotproxy/core"
)

// RotatingRoles is a decide.RolePlan that reserves ShortEngines adjacent engines for
// short requests and the others for long ones. The window of engines for short
// requests moves on by one engine each period.
type RotatingRoles struct {
	ShortEngines int
	Period       time.Duration
}

// Role returns the role of the engine at a position: RoleShort inside the window,
// RoleLong outside.
func (p RotatingRoles) Role(now time.Time, position, endpoints int) core.EndpointRole {
	first := int(now.Sub(_epoch)/p.Period) % endpoints
	if (position-first+endpoints)%endpoints < p.ShortEngines {
		return core.RoleShort
	}
	return core.RoleLong
}

// NextChange returns the end of the current period.
func (p RotatingRoles) NextChange(now time.Time) time.Time {
	return _epoch.Add((now.Sub(_epoch)/p.Period + 1) * p.Period)
}
