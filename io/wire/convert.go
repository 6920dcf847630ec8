package wire

import "apricotproxy/core"

// FromHostID gives the message form of a host's identity.
func FromHostID(id core.HostID) *Host {
	return &Host{Name: string(id.Host), Incarnation: uint64(id.Incarnation)}
}

// ToHostID reads a host's identity; a missing message gives the zero value.
func ToHostID(host *Host) core.HostID {
	return core.HostID{
		Host:        core.HostName(host.GetName()),
		Incarnation: core.Incarnation(host.GetIncarnation()),
	}
}
