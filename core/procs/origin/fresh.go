package origin

import "time"

// _maxClockJump is how much the wall clock may run ahead of the steady clock between two checks
// until the host counts as suspended: the steady clock does not count a suspension.
const _maxClockJump = 100 * time.Millisecond

// Freshness tells whether a host's documents are up to date, also after the host was suspended.
type Freshness struct {
	// now and wall are the times of the last check by the steady and by the wall clock.
	now, wall time.Time
	// resumedAt is when it was last found that the host had been suspended.
	resumedAt time.Time
}

// Check reports whether documents that were last known to be up to date at freshAt are not older
// than limit. After a suspension they count as outdated until they are confirmed anew. freshAt is
// zero if no documents are known.
func (f *Freshness) Check(now, wall, freshAt time.Time, limit time.Duration) bool {
	if !f.now.IsZero() && (wall.Sub(f.wall)-now.Sub(f.now)).Abs() > _maxClockJump {
		f.resumedAt = now
	}
	f.now, f.wall = now, wall
	return !freshAt.IsZero() && now.Sub(freshAt) < limit && !freshAt.Before(f.resumedAt)
}
