package owner

import (
	"fmt"

	"apricotproxy/core"
)

// EndpointsPerHost is how many endpoints of a service each host deals with
// when the fleet is too large for every host to deal with all of them.
const EndpointsPerHost = 24

// Groups lists, for each endpoint of the configuration, the hosts that deal
// with it. In a small fleet every host deals with every endpoint. In a large
// one each endpoint has a group of as many hosts as give a host
// EndpointsPerHost endpoints of the service on average.
//
// Example: 360 hosts and a service of 600 endpoints give groups of
// ceil(360*24/600) = 15 hosts.
func Groups(config core.Config) [][]int {
	perService := make(map[core.ServiceName][]int)
	for i, endpoint := range config.Endpoints {
		perService[endpoint.Service] = append(perService[endpoint.Service], i)
	}
	groups := make([][]int, len(config.Endpoints))
	for _, members := range perService {
		names := make([]string, len(members))
		for i, index := range members {
			names[i] = string(config.Endpoints[index].Name)
		}
		chosen := BalancedGroups(config.Hosts, names, groupSize(len(config.Hosts), len(names)))
		for i, index := range members {
			groups[index] = chosen[i]
		}
	}
	return groups
}

func groupSize(hosts, endpoints int) int {
	if endpoints == 0 {
		return hosts
	}
	size := (hosts*EndpointsPerHost + endpoints - 1) / endpoints
	return min(size, hosts)
}

// BalancedGroups divides the hosts into as many sets of equal size as a group
// has members, and gives each endpoint one host of every set so that all hosts
// of a set are taken equally often. It is the construction of overlapping
// redundancy groups of Skourtis et al., "Erasure Coding & Read/Write Separation
// in Flash Storage", section 6.2.1.
func BalancedGroups(hosts []core.Host, endpoints []string, size int) [][]int {
	groups := make([][]int, len(endpoints))
	if size == 0 {
		return groups
	}
	for set, members := range hostSets(hosts, size) {
		share := (len(endpoints) + len(members) - 1) / len(members)
		held := make(map[int]int, len(members))
		for i, name := range endpoints {
			best, bestScore := NoHost, uint64(0)
			for _, host := range members {
				score := Score(string(hosts[host].Name), name, set)
				if held[host] < share && (best == NoHost || score > bestScore) {
					best, bestScore = host, score
				}
			}
			held[best]++
			groups[i] = append(groups[i], best)
		}
	}
	return groups
}

// hostSets divides the hosts into sets whose sizes differ by one at most; a host
// goes to the set with its highest score that has room, so that few hosts change
// sets with the roster.
func hostSets(hosts []core.Host, count int) [][]int {
	sets := make([][]int, count)
	size, larger := len(hosts)/count, len(hosts)%count
	for host := range hosts {
		best, bestScore := -1, uint64(0)
		for set := range sets {
			room := len(sets[set]) < size || (len(sets[set]) == size && larger > 0)
			score := Score(string(hosts[host].Name), fmt.Sprint("set ", set), 0)
			if room && (best < 0 || score > bestScore) {
				best, bestScore = set, score
			}
		}
		if len(sets[best]) == size {
			larger--
		}
		sets[best] = append(sets[best], host)
	}
	return sets
}
