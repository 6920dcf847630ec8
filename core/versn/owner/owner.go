// Package owner computes which host owns which slot of an endpoint. Every host
// computes the same table from the same revision, so the sum over the hosts
// never exceeds an endpoint's capacity and no message is needed to agree.
package owner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

// NoHost marks a slot without an owner: the roster is empty.
const NoHost = -1

// Table tells the owner of each slot for one revision. It is immutable.
type Table struct {
	hosts  []core.HostName
	owners [][]int
	groups [][]int
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

// Owner gives the owner of a position of an endpoint, both by index into the
// configuration, or false when there is none.
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

// Positions lists the positions of an endpoint that a host owns, ascending.
func (t Table) Positions(endpoint int, host core.HostName) []int {
	var positions []int
	for position, owner := range t.owners[endpoint] {
		if owner != NoHost && t.hosts[owner] == host {
			positions = append(positions, position)
		}
	}
	return positions
}

// Slots counts the slots of an endpoint.
func (t Table) Slots(endpoint int) int { return len(t.owners[endpoint]) }

// Group lists the hosts, by index into the roster, that deal with an endpoint.
func (t Table) Group(endpoint int) []int { return t.groups[endpoint] }

// Deals tells whether a host deals with an endpoint.
func (t Table) Deals(endpoint int, host core.HostName) bool {
	for _, member := range t.groups[endpoint] {
		if t.hosts[member] == host {
			return true
		}
	}
	return false
}

// slotOwners gives each position the host of the group with the highest score,
// passing over hosts that already own their share of the endpoint. Without the
// share, 32 slots over 9 hosts may leave a host with none and another with 8.
func slotOwners(config core.Config, endpoint int, group []int) []int {
	chosen := config.Endpoints[endpoint]
	slots := max(chosen.WarmSlots, chosen.ColdSlots)
	owners := make([]int, slots)
	if len(group) == 0 {
		for i := range owners {
			owners[i] = NoHost
		}
		return owners
	}
	share := (slots + len(group) - 1) / len(group)
	held := make(map[int]int, len(group))
	for position := range owners {
		best, bestScore := NoHost, uint64(0)
		for _, host := range group {
			if held[host] >= share {
				continue
			}
			score := Score(string(config.Hosts[host].Name), string(chosen.Name), position)
			if best == NoHost || score > bestScore {
				best, bestScore = host, score
			}
		}
		owners[position] = best
		held[best]++
	}
	return owners
}

// Score is the rendezvous score of a host for a position of an endpoint.
func Score(host, endpoint string, position int) uint64 {
	// The usual names fit into the buffer, so that nothing is allocated.
	var buffer [128]byte
	text := append(buffer[:0], host...)
	text = append(text, 0)
	text = append(text, endpoint...)
	text = binary.LittleEndian.AppendUint64(text, uint64(position))
	return xxhash.Sum64(text)
}
