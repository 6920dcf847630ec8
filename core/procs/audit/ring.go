package audit

// ring is a ring buffer that holds the latest values up to its capacity.
type ring[T any] struct {
	values []T
	next   int // index of the oldest value, which the next one replaces once the ring is full
}

func newRing[T any](capacity int) ring[T] {
	return ring[T]{values: make([]T, 0, max(capacity, 1))}
}

func (r *ring[T]) len() int { return len(r.values) }

func (r *ring[T]) push(value T) {
	if len(r.values) < cap(r.values) {
		r.values = append(r.values, value)
		return
	}
	r.values[r.next] = value
	r.next = (r.next + 1) % len(r.values)
}

// latest returns a copy of the last count values, oldest first.
func (r *ring[T]) latest(count int) []T {
	size := len(r.values)
	result := make([]T, 0, count)
	for i := size - count; i < size; i++ {
		result = append(result, r.values[(r.next+i)%size])
	}
	return result
}
