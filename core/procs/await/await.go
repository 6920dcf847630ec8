// Package await decides which requests of a host wait for room, in which order and for how long
// they do, and when the callers of those that find none should come back. Whether a request
// has room now, and where, is decided by core/procs/place, behind the interface Endpoints.
package await

import (
	"math/rand/v2"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
)

// Endpoints is what waiting needs to know of the endpoints, and how it starts runs there;
// place.Placer is one.
type Endpoints interface {
	// Pick returns where a request has room now within its claim, and Start counts its run there.
	Pick(now time.Time, spec *place.Spec, claim place.Claim) (place.Choice, place.Verdict)
	Start(now time.Time, spec *place.Spec, choice place.Choice) *place.Run
	// TakeFreed returns where runs of this host freed room since the last call.
	TakeFreed() []place.Choice
	// HostsAhead returns how many hosts may take the room of an endpoint before this one.
	HostsAhead(now time.Time, choice place.Choice) int
	// Need returns the load of a request, LatestStart the last time at which it can start and is
	// expected to be in time, and MemoryUse the share of the engines' memory in use.
	Need(request *core.RoutedRequest) place.Load
	LatestStart(request *core.RoutedRequest) time.Time
	MemoryUse(now time.Time, service core.ServiceName) float64
	// RecordPrompt counts a generation with a goal that arrived.
	RecordPrompt(request *core.RoutedRequest)
	// BuildStays, FirstPermit and PermitsUntil tell whether and when an endpoint could take a
	// request that has no room now.
	BuildStays(spec *place.Spec) bool
	FirstPermit(now time.Time, service core.ServiceName) time.Time
	PermitsUntil(now time.Time, spec *place.Spec, deadline time.Time) (permits int, unlimited bool)
}

// Line holds the requests of one host that wait for room. It is not safe for concurrent use.
type Line struct {
	endpoints Endpoints
	random    *rand.Rand
	waiting   []*Waiter
	pressures map[core.ServiceName]*pressure
	// usualTimes holds the usual time from a request to its deadline, by route prefix.
	usualTimes map[string]time.Duration
	// kinds holds what is known of each kind, own and reports how its requests fared.
	kinds    map[Kind]*kindState
	own      report
	reports  map[place.Source]report
	switches Switches
}

// Switches turn safeguards off, to verify that tests detect their absence.
type Switches struct {
	// ServeByArrival lets all generations wait alike until their goal has passed.
	ServeByArrival bool
	// ServeAlike leaves no room for more urgent and for large requests.
	ServeAlike bool
}

// New returns a line in which no request waits.
func New(endpoints Endpoints, random *rand.Rand, switches Switches) *Line {
	return &Line{
		endpoints: endpoints, random: random, switches: switches,
		pressures: make(map[core.ServiceName]*pressure), usualTimes: make(map[string]time.Duration),
		kinds: make(map[Kind]*kindState), reports: make(map[place.Source]report),
	}
}

// Place starts a request where it is expected to be served soonest, unless it has no room or
// free room is reserved for requests that wait already.
func (l *Line) Place(now time.Time, spec *place.Spec) (*place.Run, place.Verdict) {
	choice, verdict := l.endpoints.Pick(now, spec, l.claim(now, spec))
	if verdict != place.Placed {
		return nil, verdict
	}
	if l.reservedForWaiting(now, spec) {
		return nil, place.Full
	}
	l.recordWait(now, spec, 0, true)
	return l.endpoints.Start(now, spec, choice), place.Placed
}
