// Package mutex runs functions while a lock is held, and frees it also when they panic. net/http recovers from a panic, so
// that a host whose lock stayed taken would live on and answer nothing.
package mutex

import "sync"

// Do calls f with the lock held.
func Do(l sync.Locker, f func()) {
	l.Lock()
	defer l.Unlock()
	f()
}

// Get returns what f returns with the lock held.
func Get[T any](l sync.Locker, f func() T) T {
	l.Lock()
	defer l.Unlock()
	return f()
}
