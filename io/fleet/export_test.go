package fleet

import "time"

// Suspend puts the fleet in the state of a process that resumes from a suspension now.
func (f *Fleet) Suspend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatchUntil = time.Now()
}
