package reach

import (
	"cmp"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/gossip"
)

const (
	// _liveTimeout is how long a host counts as live after its last heartbeat, as in package gossip. In a large data centre,
	// where each heartbeat goes to a part of the hosts, some are silent for longer: until _staleTimeout a host is used if no
	// live one can help.
	_liveTimeout  = 6 * gossip.Interval
	_staleTimeout = 2 * _liveTimeout
	// _maxToHost bounds the requests that this host has in flight at another one.
	_maxToHost = 256
	// _minRelayed is the number of requests for others that a host takes at least while it runs few of its own. Beyond it,
	// it takes as many as of its own.
	_minRelayed = 256
	// _maxRunning is the number of requests of both kinds from which on a host takes none for others. Each uses up to two
	// connections: half of the 4096 descriptors that a process commonly may have.
	_maxRunning = 1024
	// _shareOfRoom bounds the requests that one host may have here, as a multiple of the room that is left. The first host
	// thus leaves a third to those that come later, and hosts that need more than there is get even shares.
	_shareOfRoom = 2
	// _forgetAfter is how long a silent host is remembered.
	_forgetAfter = time.Minute
	// _initialBackoff and _maxBackoff bound the time for which a host is avoided that failed or is busy. It doubles with each
	// further failure.
	_initialBackoff = 100 * time.Millisecond
	_maxBackoff     = time.Second
)

// Host is what another host says in its heartbeats.
type Host struct {
	Name       core.HostName
	DataCentre core.DataCentreName
	// SameRegion is true if requests may be passed to it: routes may be bound to a region.
	SameRegion bool
	// Address is that for documents and relayed requests.
	Address string
	// Reaches is true if it reaches endpoints, Stopping if it takes no new requests.
	Reaches, Stopping bool
	Incarnation       int64
}

// RelayOutcome is the result of relaying a request to another host.
type RelayOutcome uint8

// Outcomes.
const (
	// RelayDone: the host passed on an endpoint's answer, or its caller went away meanwhile.
	RelayDone RelayOutcome = iota + 1
	// RelayRefused: it refused this request, which has not run. It is avoided for a while if another host can help.
	RelayRefused
	// RelayBusy: it takes no requests for others now, which has nothing to do with this one. It gets none for a while.
	RelayBusy
	// RelayLost: the connection ended after the request was sent, without a complete answer. The host is avoided like one
	// that refused, since the endpoint may have broken the answer off.
	RelayLost
	// RelayUnreachable: no connection to it could be opened; the request was not sent. It gets none until its next heartbeat.
	RelayUnreachable
)

// host is another host and what this one has seen of it.
type host struct {
	Host
	heardAt  time.Time
	inFlight int
	// backoffUntil is the time until which it gets no requests, avoidUntil until which it gets them only if no other host can
	// help. backoff is the time for which it was last avoided. failedAt is when no connection to it could be opened last: a
	// heartbeat must arrive before it is used again.
	backoffUntil, avoidUntil time.Time
	failedAt                 time.Time
	backoff                  time.Duration
}

// RecordHost records what another host said of itself in a heartbeat.
func (t *Tracker) RecordHost(now time.Time, said Host) {
	t.update(now)
	if said.Name == t.self {
		return
	}
	h := t.host(said.Name)
	if h == nil {
		t.forgetSilent(now)
		h = t.addHost(said.Name)
	}
	if said.Incarnation < h.Incarnation {
		return
	}
	reachedBefore := h.Reaches
	becameCutOff := !said.Reaches && (reachedBefore || h.heardAt.IsZero())
	if said.Incarnation > h.Incarnation || said.Reaches && !h.Reaches {
		h.backoff, h.backoffUntil, h.avoidUntil = 0, time.Time{}, time.Time{}
	}
	h.Host, h.heardAt = said, now
	if becameCutOff {
		t.checkOnWord(now, reachedBefore)
	}
}

// host returns what is known of a host; nil if nothing is.
func (t *Tracker) host(name core.HostName) *host {
	if i, found := t.searchHost(name); found {
		return t.hosts[i]
	}
	return nil
}

func (t *Tracker) searchHost(name core.HostName) (int, bool) {
	return slices.BinarySearchFunc(t.hosts, name, func(h *host, name core.HostName) int { return cmp.Compare(h.Name, name) })
}

func (t *Tracker) addHost(name core.HostName) *host {
	h := &host{Host: Host{Name: name}}
	i, _ := t.searchHost(name)
	t.hosts = slices.Insert(t.hosts, i, h)
	return h
}

func (t *Tracker) forgetSilent(now time.Time) {
	if now.Before(t.forgetAt) {
		return
	}
	t.forgetAt = now.Add(_forgetAfter)
	t.hosts = slices.DeleteFunc(t.hosts, func(h *host) bool { return h.inFlight == 0 && now.Sub(h.heardAt) > _forgetAfter })
}

// HasHelp reports whether another host may be able to serve requests for this one, now or soon.
func (t *Tracker) HasHelp(now time.Time) bool {
	for _, h := range t.hosts {
		if h.mayHelp(now) {
			return true
		}
	}
	return false
}

// PickHost returns a host to relay a request to, and counts the request as in flight there until EndRelay is called, once. It
// returns false while the state is Reaching, and if no other host can help.
func (t *Tracker) PickHost(now time.Time, exclude []core.HostName) (Host, bool) {
	t.update(now)
	if t.state == Reaching {
		return Host{}, false
	}
	var best *host
	ties := 0
	for _, h := range t.hosts {
		if !h.canHelp(now) || slices.Contains(exclude, h.Name) {
			continue
		}
		switch order := t.compareHosts(now, h, best); {
		case order < 0:
			best, ties = h, 1
		case order == 0:
			// Each of those that are equally good is picked with the same probability.
			ties++
			if t.random.IntN(ties) == 0 {
				best = h
			}
		}
	}
	if best == nil {
		return Host{}, false
	}
	best.inFlight++
	return best.Host, true
}

// PickReaching returns up to n live hosts that say that they reach endpoints, at random: from the own data
// centre and from others in turn. Nothing counts as in flight there.
func (t *Tracker) PickReaching(now time.Time, n int) []Host {
	t.update(now)
	var own, others []Host
	for _, h := range t.hosts {
		switch {
		case !h.mayHelp(now) || !h.isLive(now) || h.Address == "":
		case h.DataCentre == t.dataCentre:
			own = append(own, h.Host)
		default:
			others = append(others, h.Host)
		}
	}
	t.shuffleHosts(own)
	t.shuffleHosts(others)
	var picked []Host
	for len(picked) < n && len(own)+len(others) > 0 {
		if len(own) > 0 {
			picked, own = append(picked, own[0]), own[1:]
		}
		if len(others) > 0 && len(picked) < n {
			picked, others = append(picked, others[0]), others[1:]
		}
	}
	return picked
}

func (t *Tracker) shuffleHosts(hosts []Host) {
	t.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
}

// compareHosts orders the host that is better to relay a request to before the other, which may be nil.
func (t *Tracker) compareHosts(now time.Time, a, b *host) int {
	if b == nil {
		return -1
	}
	return cmp.Or(compareBool(now.Before(a.avoidUntil), now.Before(b.avoidUntil)), compareBool(!a.isLive(now), !b.isLive(now)),
		compareBool(a.DataCentre != t.dataCentre, b.DataCentre != t.dataCentre), a.inFlight-b.inFlight)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (h *host) isLive(now time.Time) bool { return now.Sub(h.heardAt) < _liveTimeout }

// canHelp reports whether the host may take a request now.
func (h *host) canHelp(now time.Time) bool {
	return h.mayHelp(now) && !now.Before(h.backoffUntil) && h.inFlight < _maxToHost
}

// mayHelp reports whether the host may take a request, now or when it is less busy.
func (h *host) mayHelp(now time.Time) bool {
	isKnown := now.Sub(h.heardAt) < _staleTimeout && h.heardAt.After(h.failedAt)
	return h.Reaches && !h.Stopping && h.SameRegion && isKnown
}

// EndRelay records that a request that was relayed to a host has ended there.
func (t *Tracker) EndRelay(now time.Time, name core.HostName, outcome RelayOutcome) {
	t.update(now)
	h := t.host(name)
	if h == nil {
		return
	}
	h.inFlight--
	if outcome == RelayDone {
		h.backoff, h.avoidUntil = 0, time.Time{}
		return
	}
	// Requests that fail together are one failure.
	isAvoided := now.Before(h.backoffUntil) || now.Before(h.avoidUntil)
	if h.backoff == 0 || !isAvoided {
		h.backoff = min(max(2*h.backoff, _initialBackoff), _maxBackoff)
	}
	until := now.Add(t.jitter(h.backoff))
	switch outcome {
	case RelayRefused, RelayLost:
		h.avoidUntil = until
	case RelayUnreachable:
		h.failedAt, h.backoffUntil = now, until
	default:
		h.backoffUntil = until
	}
}

// AcceptRelayed reports whether this host takes a request for another one, while it runs ownRunning requests of its own
// callers. If so, the request counts as in flight until EndRelayed is called, once.
func (t *Tracker) AcceptRelayed(now time.Time, from core.HostName, ownRunning int) bool {
	t.update(now)
	bound := min(max(_minRelayed, ownRunning), _maxRunning-ownRunning)
	room := bound - t.relayedTotal
	if !t.mayServe(now) || t.relayed[from] >= _shareOfRoom*room {
		return false
	}
	t.relayed[from]++
	t.relayedTotal++
	return true
}

// EndRelayed records that a request for another host has ended.
func (t *Tracker) EndRelayed(from core.HostName) {
	t.relayedTotal--
	t.relayed[from]--
	if t.relayed[from] <= 0 {
		delete(t.relayed, from)
	}
}
