package fleet

import "time"

// Sleep makes the fleet believe that its process has slept until now.
func (f *Fleet) Sleep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.viewDeadline = time.Now()
}
