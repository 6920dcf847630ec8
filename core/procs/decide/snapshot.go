package decide

import "time"

// Snapshot carries what a replaced host needs.
func (d *Decider) Snapshot(time.Time) ([]byte, error) { return []byte("{}"), nil }

// Restore takes in a snapshot.
func (d *Decider) Restore(time.Time, []byte) error { return nil }
