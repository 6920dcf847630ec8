package owner_test

import (
	"sort"

	"apricotproxy/core"
	"apricotproxy/core/versn/owner"
)

// The constructions that BalancedGroups is compared with.

// subsetGroups gives each endpoint the hosts with the highest scores for it.
func subsetGroups(hosts []core.Host, endpoints []string, size int) [][]int {
	groups := make([][]int, len(endpoints))
	for i, name := range endpoints {
		groups[i] = rankHosts(hosts, name)[:size]
	}
	return groups
}

// boundedGroups gives each endpoint the hosts with the highest scores for it,
// passing over hosts that are in their share of the groups already.
func boundedGroups(hosts []core.Host, endpoints []string, size int) [][]int {
	groups := make([][]int, len(endpoints))
	if len(hosts) == 0 {
		return groups
	}
	share := (len(endpoints)*size + len(hosts) - 1) / len(hosts)
	held := make([]int, len(hosts))
	for i, name := range endpoints {
		ranked := rankHosts(hosts, name)
		groups[i] = takeBounded(ranked, held, share, size)
	}
	return groups
}

// takeBounded takes the first hosts below their share; when too few are left,
// the share gives way.
func takeBounded(ranked, held []int, share, size int) []int {
	group := make([]int, 0, size)
	for _, full := range []bool{false, true} {
		for _, host := range ranked {
			if len(group) == size {
				return group
			}
			if (held[host] >= share) == full && !contains(group, host) {
				held[host]++
				group = append(group, host)
			}
		}
	}
	return group
}

func contains(group []int, host int) bool {
	for _, member := range group {
		if member == host {
			return true
		}
	}
	return false
}

// rankHosts orders the roster by score for a name, highest first.
func rankHosts(hosts []core.Host, name string) []int {
	ranked := make([]int, len(hosts))
	scores := make([]uint64, len(hosts))
	for i, host := range hosts {
		ranked[i] = i
		scores[i] = owner.Score(string(host.Name), name, 0)
	}
	sort.SliceStable(ranked, func(a, b int) bool { return scores[ranked[a]] > scores[ranked[b]] })
	return ranked
}
