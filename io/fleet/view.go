package fleet

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/wire"
)

// Ready tells whether the balancer is to send callers here.
func (f *Fleet) Ready() bool { return f.NotReady() == nil }

// NotReady tells why the balancer is to send no callers here; nil when it is
// to send them: the start is over, no stop has begun, no newer incarnation
// stands at this position, and the position is on the roster and its data
// centre in service.
func (f *Fleet) NotReady() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return errors.New("this host is stopping")
	}
	if !f.ready {
		return fmt.Errorf("no configuration is in force yet; expected the key %s at the platform, or a peer that has it", f.key)
	}
	if newer, superseded := f.member.Superseded(); superseded {
		return fmt.Errorf("this process was replaced by %s; stop it", newer)
	}
	if !f.onRoster() {
		return fmt.Errorf("the roster of revision %d has no position %s; correct the host's name, or add the position",
			f.config.Revision, f.settings.Self.Host)
	}
	if !f.inService() {
		return errors.New("the data centre of this host is out of service")
	}
	return nil
}

func (f *Fleet) onRoster() bool {
	return slices.ContainsFunc(f.config.Hosts, func(host core.Host) bool { return host.Name == f.settings.Self.Host })
}

func (f *Fleet) inService() bool {
	for _, host := range f.config.Hosts {
		if host.Name != f.settings.Self.Host {
			continue
		}
		centre, ok := f.config.DataCentre(host.DataCentre)
		return !ok || centre.InService
	}
	return true
}

// Self gives this host's own identity.
func (f *Fleet) Self() core.HostID { return f.settings.Self }

// Started is closed when the start is over.
func (f *Fleet) Started() <-chan struct{} { return f.readyAt }

// Current tells whether the view of the fleet may be dispatched from. It is
// false in a process that slept, until it has asked its peers again or found
// that none answers. A partition does not make it false.
func (f *Fleet) Current(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.viewDeadline)
}

// ViewUntil gives the time until which engine orders may be given from this
// host's view: a few intervals after the service last answered, or after more
// than half of a round's heartbeats were answered.
func (f *Fleet) ViewUntil() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.viewUntil
}

// confirmView is called with mu held.
func (f *Fleet) confirmView(now time.Time) { f.viewUntil = now.Add(_orderIntervals * f.interval) }

// extendView is called with mu held.
func (f *Fleet) extendView(now time.Time) {
	f.viewDeadline = now.Add(max(_viewTerm, time.Duration(_viewIntervals*float64(f.interval))))
}

// Config gives the configuration in force.
func (f *Fleet) Config() core.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// Revision gives the stamp of the configuration in force.
func (f *Fleet) Revision() (core.Revision, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied.Revision, f.applied.Digest
}

// Peer gives the client for a host by the roster, or else by the platform's
// list or by what a seed answered.
func (f *Fleet) Peer(host core.HostName) (wire.Peer, bool) {
	f.mu.Lock()
	address, ok := f.address(host)
	f.mu.Unlock()
	if !ok {
		return nil, false
	}
	return f.settings.Dial(address), true
}

// address is called with mu held.
func (f *Fleet) address(host core.HostName) (string, bool) {
	for _, known := range f.config.Hosts {
		if known.Name == host && known.PeerAddress != "" {
			return known.PeerAddress, true
		}
	}
	if address, ok := f.listed[host]; ok {
		return address, true
	}
	address, ok := f.learned[host]
	return address, ok
}

// Known gives the newest incarnation seen of a host.
func (f *Fleet) Known(host core.HostName) (core.HostID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if host == f.settings.Self.Host {
		return f.settings.Self, true
	}
	return f.member.LatestIncarnation(host)
}

// Holder gives who holds the order ledger of a host's incarnation: the host
// itself while no move is known.
func (f *Fleet) Holder(of core.HostID) core.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member.Holder(of)
}

// Ask gives at most count hosts to ask for something, best first.
func (f *Fleet) Ask(count int) []core.HostName {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member.PeersToAsk(count)
}

// HostStatus is one other host as this one sees it.
type HostStatus struct {
	Name     core.HostName
	Standing string
	Draining bool
}

// Status gives the other hosts for /statusz, in name order.
func (f *Fleet) Status() []HostStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	var status []HostStatus
	for _, name := range f.member.Hosts() {
		status = append(status, HostStatus{
			Name:     name,
			Standing: f.member.Standing(name).String(),
			Draining: f.member.Draining(name),
		})
	}
	return status
}
