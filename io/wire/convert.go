package wire

import "apricotproxy/core"

// FromHostID returns the message form of a host's identity.
func FromHostID(id core.HostID) *Host {
	return &Host{Name: string(id.Host), Incarnation: uint64(id.Incarnation)}
}

// ToHostID returns the host identity in a message, or the zero value for nil.
func ToHostID(host *Host) core.HostID {
	return core.HostID{
		Host:        core.HostName(host.GetName()),
		Incarnation: core.Incarnation(host.GetIncarnation()),
	}
}
