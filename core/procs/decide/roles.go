package decide

import (
	"time"

	"apricotproxy/core"
)

// RolePlan assigns to each endpoint of a service the class of requests that it takes
// at a given time, by the endpoint's index in the service. Rotating these roles between
// the endpoints is evaluated in docs/decisions/0016-related-paper.md.
type RolePlan interface {
	Role(now time.Time, position, endpoints int) core.EndpointRole
	// NextChange returns the next time at which a role changes.
	NextChange(now time.Time) time.Time
}

// assignRoles sets the roles of a service's candidates.
func (d *Decider) assignRoles(now time.Time, s *service) {
	for i := range s.candidates {
		s.candidates[i].Role = d.roles.Role(now, i, len(s.candidates))
	}
	s.refreshAt = earlier(s.refreshAt, d.roles.NextChange(now))
}
