// Package owner computes which host owns each slot of each endpoint. The table
// is a pure function of the configuration revision, so hosts agree on it without
// exchanging messages, and together they never exceed an endpoint's capacity.
package owner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

// NoHost marks a slot without an owner, as when the configuration has no hosts.
const NoHost = -1

// Table maps each slot to its owner for one configuration revision. It is
// immutable.
type Table struct {
	hosts  []core.HostName
	owners [][]int // host index, by endpoint and position
	groups [][]int // host indices, by endpoint
}

// Build computes the table of a configuration.
func Build(config core.Config) Table {
	table := Table{
		hosts:  make([]core.HostName, len(config.Hosts)),
		owners: make([][]int, len(config.Endpoints)),
		groups: Groups(config),
	}
	for i, host := range config.Hosts {
		table.hosts[i] = host.Name
	}
	for i := range config.Endpoints {
		table.owners[i] = slotOwners(config, i, table.groups[i])
	}
	return table
}

// Owner returns the host that owns the slot at a position of an endpoint, or
// false when there is none. The endpoint is an index into the configuration.
func (t Table) Owner(endpoint, position int) (core.HostName, bool) {
	if endpoint >= len(t.owners) || position >= len(t.owners[endpoint]) {
		return "", false
	}
	host := t.owners[endpoint][position]
	if host == NoHost {
		return "", false
	}
	return t.hosts[host], true
}

// Positions returns the positions of an endpoint's slots that a host owns, in
// ascending order.
func (t Table) Positions(endpoint int, host core.HostName) []int {
	var positions []int
	for position, owner := range t.owners[endpoint] {
		if owner != NoHost && t.hosts[owner] == host {
			positions = append(positions, position)
		}
	}
	return positions
}

// Slots returns the number of slots of an endpoint.
func (t Table) Slots(endpoint int) int { return len(t.owners[endpoint]) }

// Group returns the hosts that are assigned to an endpoint, as indices into the
// configuration's hosts.
func (t Table) Group(endpoint int) []int { return t.groups[endpoint] }

// IsAssigned reports whether a host is assigned to an endpoint. Only assigned hosts
// own slots of it.
func (t Table) IsAssigned(endpoint int, host core.HostName) bool {
	for _, member := range t.groups[endpoint] {
		if t.hosts[member] == host {
			return true
		}
	}
	return false
}

// slotOwners assigns each position to the host of the group with the highest
// rendezvous score, skipping hosts that already own their share of the slots.
// Without that bound, 32 slots over 9 hosts may leave one host with none and
// another with 8.
func slotOwners(config core.Config, endpoint int, group []int) []int {
	settings := config.Endpoints[endpoint]
	slots := max(settings.WarmSlots, settings.ColdSlots)
	owners := make([]int, slots)
	if len(group) == 0 {
		for i := range owners {
			owners[i] = NoHost
		}
		return owners
	}
	share := (slots + len(group) - 1) / len(group)
	owned := make(map[int]int, len(group))
	for position := range owners {
		best, bestScore := NoHost, uint64(0)
		for _, host := range group {
			if owned[host] >= share {
				continue
			}
			score := Score(string(config.Hosts[host].Name), string(settings.Name), position)
			if best == NoHost || score > bestScore {
				best, bestScore = host, score
			}
		}
		owners[position] = best
		owned[best]++
	}
	return owners
}

// Score returns the rendezvous hashing score of a host for a position of an
// endpoint.
func Score(host, endpoint string, position int) uint64 {
	// Usual names fit into the buffer, which avoids an allocation.
	var buffer [128]byte
	text := append(buffer[:0], host...)
	text = append(text, 0)
	text = append(text, endpoint...)
	text = binary.LittleEndian.AppendUint64(text, uint64(position))
	return xxhash.Sum64(text)
}
