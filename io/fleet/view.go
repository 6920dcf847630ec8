package fleet

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/io/wire"
)

// Ready reports whether the load balancer should send requests to this host.
func (f *Fleet) Ready() bool { return f.CheckReady() == nil }

// CheckReady returns the reason why the load balancer should send no requests to this
// host. It returns nil if the start is over, no stop has begun, no newer incarnation of
// the host is known, the host is on the roster and its data centre is in service.
func (f *Fleet) CheckReady() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return errors.New("this host is stopping")
	}
	if !f.ready {
		return fmt.Errorf("no configuration is in force yet; expected the key %s at the platform, or a peer that has it", f.configKey)
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

// Self returns the identity of this process.
func (f *Fleet) Self() core.HostID { return f.settings.Self }

// Started returns a channel that is closed when the start is over.
func (f *Fleet) Started() <-chan struct{} { return f.started }

// MayDispatch reports whether this host's view of the fleet is recent enough to dispatch
// requests. After a suspension of the process it is false until peers have answered
// heartbeats or the heartbeats have failed. A network partition does not make it false.
func (f *Fleet) MayDispatch(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.dispatchUntil)
}

// EngineOrdersUntil returns the time until which this host may send engine orders: some heartbeat
// intervals after the configuration service last answered, or after more than half of a
// round's heartbeats were answered.
func (f *Fleet) EngineOrdersUntil() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engineOrdersUntil
}

// allowEngineOrders lets this host send engine orders for _engineOrderIntervals from now.
// The caller holds mu.
func (f *Fleet) allowEngineOrders(now time.Time) {
	f.engineOrdersUntil = now.Add(_engineOrderIntervals * f.heartbeatInterval)
}

// allowDispatch lets this host dispatch requests until the next round of heartbeats is
// overdue. The caller holds mu.
func (f *Fleet) allowDispatch(now time.Time) {
	f.dispatchUntil = now.Add(max(_minDispatchPeriod, time.Duration(_dispatchIntervals*float64(f.heartbeatInterval))))
}

// Config returns the configuration in force.
func (f *Fleet) Config() core.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// Revision returns the revision in force and the digest of its bundle.
func (f *Fleet) Revision() (core.Revision, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied.Revision, f.applied.Digest
}

// Peer returns the client for a host. Its address comes from the roster, or else from
// the platform's host list, or else from the seed at which the host answered. Peer
// returns false if no address is known.
func (f *Fleet) Peer(host core.HostName) (wire.Peer, bool) {
	var address string
	var ok bool
	mutex.Do(&f.mu, func() { address, ok = f.peerAddress(host) })
	if !ok {
		return nil, false
	}
	return f.settings.PeerClient(address), true
}

// peerAddress returns the known address of a host, as for Peer. The caller holds mu.
func (f *Fleet) peerAddress(host core.HostName) (string, bool) {
	for _, configured := range f.config.Hosts {
		if configured.Name == host && configured.PeerAddress != "" {
			return configured.PeerAddress, true
		}
	}
	if address, ok := f.listedAddresses[host]; ok {
		return address, true
	}
	address, ok := f.seedAddresses[host]
	return address, ok
}

// LatestIncarnation returns the latest known incarnation of a host, and false if none is
// known.
func (f *Fleet) LatestIncarnation(host core.HostName) (core.HostID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if host == f.settings.Self.Host {
		return f.settings.Self, true
	}
	return f.member.LatestIncarnation(host)
}

// Holder returns the host that holds the order ledger of a host's incarnation. It returns
// the incarnation itself if no move is known.
func (f *Fleet) Holder(of core.HostID) core.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member.Holder(of)
}

// PeersToAsk returns at most count hosts to send a request to, best first.
func (f *Fleet) PeersToAsk(count int) []core.HostName {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member.PeersToAsk(count)
}

// HostStatus is the state of another host as this host sees it.
type HostStatus struct {
	Name     core.HostName
	Standing string
	Draining bool
}

// Status returns the states of the other hosts for /statusz, in name order.
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
