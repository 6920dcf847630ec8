package owner_test

import (
	"sort"

	"apricotproxy/core"
	"apricotproxy/core/versn/owner"
)

// This file holds the constructions that BalancedGroups is compared with.

// subsetGroups assigns to each endpoint the hosts with the highest scores for it.
func subsetGroups(hosts []core.Host, endpoints []string, size int) [][]int {
	groups := make([][]int, len(endpoints))
	for i, name := range endpoints {
		groups[i] = rankHosts(hosts, name)[:size]
	}
	return groups
}

// boundedGroups assigns to each endpoint the hosts with the highest scores for
// it, skipping hosts that are already in their share of the groups.
func boundedGroups(hosts []core.Host, endpoints []string, size int) [][]int {
	groups := make([][]int, len(endpoints))
	if len(hosts) == 0 {
		return groups
	}
	share := (len(endpoints)*size + len(hosts) - 1) / len(hosts)
	assigned := make([]int, len(hosts))
	for i, name := range endpoints {
		ranked := rankHosts(hosts, name)
		groups[i] = takeBounded(ranked, assigned, share, size)
	}
	return groups
}

// takeBounded returns the first size hosts that are below their share. When too
// few are, it fills the group with hosts that have reached their share.
func takeBounded(ranked, assigned []int, share, size int) []int {
	group := make([]int, 0, size)
	for _, full := range []bool{false, true} {
		for _, host := range ranked {
			if len(group) == size {
				return group
			}
			if (assigned[host] >= share) == full && !contains(group, host) {
				assigned[host]++
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

// rankHosts returns the host indices by descending score for a name.
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
