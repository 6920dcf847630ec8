package decide

import (
	"time"

	"apricotproxy/core"
)

// RolePlan tells which class of requests an endpoint takes at a time, by its
// position among the service's endpoints. It is the separation by rotating
// roles that docs/decisions/0016-related-paper.md weighs.
type RolePlan interface {
	Role(now time.Time, position, endpoints int) core.EndpointRole
	// NextChange is when some role changes next.
	NextChange(now time.Time) time.Time
}

// separate sets the roles of a service's candidates.
func (d *Decider) separate(now time.Time, s *service) {
	for i := range s.candidates {
		s.candidates[i].Role = d.roles.Role(now, i, len(s.candidates))
	}
	s.dueAt = earlier(s.dueAt, d.roles.NextChange(now))
}
