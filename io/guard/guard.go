// Package guard limits what callers outside the limits take of a process: connections, memory for the heads of
// requests, and time. All HTTP servers of a process share one Guard.
//
// A connection that has no complete request yet yields to others: the oldest one when there are too many of them,
// and the one with the largest head when the heads use too much memory.
package guard

import (
	"cmp"
	"context"
	"expvar"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core/mutex"
)

const (
	// _defaultMemoryBytes is taken for the memory of a host whose settings name none.
	_defaultMemoryBytes = 512 << 20
	// _defaultDescriptors is taken for the limit of open files if it cannot be read: the usual one of a process.
	_defaultDescriptors = 1024
	// Heads may use an eighth of the host's memory, connections of callers another one, bodies a quarter.
	_headDivisor       = 8
	_connectionDivisor = 8
	_bodyDivisor       = 4
	// _minHeadBytes has room for a few heads of the longest kind, each of the shortest lines.
	_minHeadBytes = 8 << 20
	// _minBodyBytes is the longest body that any address takes, a ledger that another host hands over, and the room kept for
	// small ones and for the read in progress.
	_minBodyBytes = 32<<20 + 2*_smallBytes
	// _smallShare is the part of the bytes that only small heads and bodies may use: a quarter.
	_smallShare = 4
	_smallBytes = 64 << 10
	// _connectionBytes is what a connection uses: that of an idle stream, docs/CAPACITY.md.
	_connectionBytes = 32 << 10
	// Callers may use a quarter of the descriptors, other hosts half as many, the others a quarter of that number
	// each. At least half is left for endpoints, other hosts and the store.
	_descriptorDivisor = 4
	_minConnections    = 8
	// _unfinishedDivisor is the part of an address's connections that may have no complete request: half, so
	// that the other half is for requests that are served and connections that are kept.
	_unfinishedDivisor = 2
	// _evictedDivisor is the part of an address's connections that is closed at once.
	_evictedDivisor = 64
	// _minAge is the time that a connection has at least to send its head, whatever the load: some round trips within a
	// region. A full host accepts more slowly instead.
	_minAge       = 20 * time.Millisecond
	_waitInterval = 2 * time.Millisecond
	// _minUnread is the time that a caller has at least to read, whatever the load: as many round trips between regions.
	_minUnread = 100 * time.Millisecond
	// _lineBytes is what net/http uses for a header line beside its text: the entry of a map, a slice and two strings.
	_lineBytes = 96
	// _textFactor counts a head's text twice: once as it is read and once as it is kept.
	_textFactor = 2
	// _sealedFactor is that for a byte under TLS, whose lines are not seen: the shortest have four bytes.
	_sealedFactor = _textFactor + _lineBytes/4
	// _logInterval is the least time between two log lines of one kind.
	_logInterval = 10 * time.Second
)

// Kind is who connects to an address.
type Kind int

// The kinds.
const (
	Callers Kind = iota
	Hosts
	Others // balancers and operators
)

// divisor returns how many times as many connections callers may have.
func (k Kind) divisor() int {
	switch k {
	case Callers:
		return 1
	case Hosts:
		return 2
	default:
		return 4
	}
}

// _closed counts the closed connections by reason.
var _closed = expvar.NewMap("apricotproxy.Untrusted.Closed")

// The reasons for which a connection is closed.
const (
	_unfinished = "Unfinished" // too many connections without a complete request
	_headBytes  = "HeadBytes"  // the heads use too much memory, and this one is the largest
	_idle       = "Idle"       // too many connections; this one has been idle for the longest time
	_unread     = "Unread"     // too many connections; the caller of this one does not read its answer
	_refused    = "Refused"    // too many connections; none yields
	_stalled    = "Stalled"    // the caller has not read for _writeTimeout
	_bodyBytes  = "BodyBytes"  // the bodies use too much memory; a request is refused
)

// Settings configure a Guard.
type Settings struct {
	// MemoryBytes is the memory of the host; 0 for a default.
	MemoryBytes int64
	Logger      logr.Logger
}

// Guard is the limits of a process. It is safe for concurrent use.
type Guard struct {
	log            logr.Logger
	headBytes      int64
	bodyBytes      int64
	maxConnections int

	mu sync.Mutex
	// heads and bodies are the bytes in use.
	heads, bodies int64
	doors         []*door
	// logged is the time of the last log line by reason, unlogged the connections closed since.
	logged   map[string]time.Time
	unlogged map[string]int
}

// door is an address.
type door struct {
	guard          *Guard
	kind           Kind
	maxConnections int
	// conns are the open connections; unfinished is the number of those without a complete request.
	conns      map[*Conn]struct{}
	unfinished int
}

// New returns a guard.
func New(settings Settings) *Guard {
	memory := settings.MemoryBytes
	if memory <= 0 {
		memory = _defaultMemoryBytes
	}
	descriptors := uint64(_defaultDescriptors)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		descriptors = limit.Cur
	}
	connections := min(uint64(memory/_connectionDivisor/_connectionBytes), descriptors/_descriptorDivisor)
	return &Guard{
		log:       settings.Logger.WithName("guard"),
		headBytes: max(memory/_headDivisor, _minHeadBytes), bodyBytes: max(memory/_bodyDivisor, _minBodyBytes),
		maxConnections: max(int(connections), _minConnections),
		logged:         make(map[string]time.Time), unlogged: make(map[string]int),
	}
}

// Protect returns a listener whose connections are limited, and makes the server tell the guard how far its requests are.
// The server's other hooks must be set before.
func (g *Guard) Protect(kind Kind, server *http.Server, listener net.Listener) net.Listener {
	d := &door{guard: g, kind: kind, maxConnections: max(g.maxConnections/kind.divisor(), _minConnections), conns: make(map[*Conn]struct{})}
	mutex.Do(&g.mu, func() { g.doors = append(g.doors, d) })
	state, connContext := server.ConnState, server.ConnContext
	server.ConnState = func(conn net.Conn, s http.ConnState) {
		if c := find(conn); c != nil {
			c.setState(s)
		}
		if state != nil {
			state(conn, s)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, find(conn))
	}
	server.Handler = handler(server.Handler)
	return &guardedListener{Listener: listener, door: d}
}

type guardedListener struct {
	net.Listener
	door *door
}

// Accept returns the next connection that is not refused.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err // unwrapped, since net/http checks its type
		}
		c := &Conn{Conn: conn, door: l.door, since: time.Now()}
		if l.door.admit(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}

// admit makes room for a connection and adds it. It returns false if there is none.
func (d *door) admit(c *Conn) bool {
	for begun := time.Now(); ; time.Sleep(_waitInterval) {
		now := time.Now()
		victims, reason := d.makeRoom(now)
		for _, victim := range victims {
			_ = victim.Conn.Close()
		}
		d.guard.report(reason, len(victims))
		if d.add(c) {
			return true
		}
		// Unfinished connections will yield within moments. Requests that are served may take long, and others wait behind this
		// connection.
		if len(victims) == 0 && (reason != _unfinished && now.Sub(begun) >= _waitInterval || now.Sub(begun) > _minAge) {
			d.guard.report(_refused, 1)
			return false
		}
	}
}

func (d *door) add(c *Conn) bool {
	d.guard.mu.Lock()
	defer d.guard.mu.Unlock()
	if d.unfinished >= d.maxUnfinished() || len(d.conns) >= d.maxConnections {
		return false
	}
	c.since = time.Now()
	d.conns[c] = struct{}{}
	d.unfinished++
	return true
}

func (d *door) maxUnfinished() int { return d.maxConnections / _unfinishedDivisor }

// makeRoom removes connections that yield to a new one, and returns them to be closed. There are several, so that it need not
// look through all connections for each new one.
func (d *door) makeRoom(now time.Time) (victims []*Conn, reason string) {
	d.guard.mu.Lock()
	defer d.guard.mu.Unlock()
	switch {
	case d.unfinished >= d.maxUnfinished():
		reason = _unfinished
		victims = d.longest(now, _minAge, (*Conn).unfinishedSince)
	case len(d.conns) >= d.maxConnections:
		for _, c := range []struct {
			reason string
			minAge time.Duration
			since  func(*Conn) time.Time
		}{{_idle, 0, (*Conn).idleSince}, {_unread, _minUnread, (*Conn).writingSince}, {_unfinished, _minAge, (*Conn).unfinishedSince}} {
			if victims = d.longest(now, c.minAge, c.since); len(victims) > 0 {
				reason = c.reason
				break
			}
		}
	}
	for _, victim := range victims {
		victim.remove()
	}
	return victims, reason
}

// longest returns the connections of the smallest times that since returns, if they are at least minAge ago. A zero time is no
// time.
func (d *door) longest(now time.Time, minAge time.Duration, since func(*Conn) time.Time) []*Conn {
	type candidate struct {
		conn  *Conn
		since time.Time
	}
	var candidates []candidate
	for c := range d.conns {
		if at := since(c); !at.IsZero() && now.Sub(at) >= minAge {
			candidates = append(candidates, candidate{c, at})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return a.since.Compare(b.since) })
	candidates = candidates[:min(len(candidates), 1+d.maxConnections/_evictedDivisor)]
	victims := make([]*Conn, 0, len(candidates))
	for _, v := range candidates {
		victims = append(victims, v.conn)
	}
	return victims
}

// shrinkHeads closes the connections of the largest unfinished heads while the heads use too much memory. Small heads
// yield only when the large ones have.
func (g *Guard) shrinkHeads() {
	victims := g.removeHeads()
	for _, victim := range victims {
		_ = victim.Conn.Close()
	}
	g.report(_headBytes, len(victims))
}

// removeHeads removes the connections that shrinkHeads closes.
func (g *Guard) removeHeads() (victims []*Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.heads > g.headBytes-g.headBytes/_smallShare {
		victim := g.largestHead()
		if victim == nil || victim.head <= _smallBytes && g.heads <= g.headBytes {
			break
		}
		victim.remove()
		victims = append(victims, victim)
	}
	return victims
}

// largestHead returns the connection without a complete request that has the largest head; nil if there is none.
func (g *Guard) largestHead() *Conn {
	var largest *Conn
	for _, d := range g.doors {
		for c := range d.conns {
			if c.phase.isUnfinished() && c.head > 0 && (largest == nil || cmp.Compare(c.head, largest.head) > 0) {
				largest = c
			}
		}
	}
	return largest
}

// takeBody takes n bytes for a body that uses used bytes already. It returns false if there is no room.
func (g *Guard) takeBody(used, n int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := g.bodyBytes
	if used+n > _smallBytes {
		most -= _smallBytes // beside the longest body there is room for a small one
	}
	if g.bodies+n > most {
		return false
	}
	g.bodies += n
	return true
}

func (g *Guard) releaseBody(n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bodies -= n
}

// report counts closed connections, and logs them once in a while.
func (g *Guard) report(reason string, n int) {
	if n == 0 {
		return
	}
	_closed.Add(reason, int64(n))
	if count, isDue := g.countUnlogged(time.Now(), reason, n); isDue {
		g.log.Info("Connections outside the limits were closed.", "Reason", reason, "Connections", count)
	}
}

// countUnlogged adds closed connections to those that were not logged, and reports whether these are to be logged now.
func (g *Guard) countUnlogged(now time.Time, reason string, n int) (count int, isDue bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unlogged[reason] += n
	count = g.unlogged[reason]
	isDue = now.Sub(g.logged[reason]) >= _logInterval
	if isDue {
		g.logged[reason] = now
		delete(g.unlogged, reason)
	}
	return count, isDue
}
