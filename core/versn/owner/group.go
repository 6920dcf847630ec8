package owner

import (
	"fmt"

	"apricotproxy/core"
)

// EndpointsPerHost is the average number of endpoints of a service that are
// assigned to each host when there are too many for every host to use all.
const EndpointsPerHost = 24

// Groups returns, for each endpoint of the configuration, the hosts that are
// assigned to it, as indices into the configuration's hosts. A service with up to
// EndpointsPerHost endpoints has every host assigned to every endpoint. In a
// larger one the group size is chosen so that a host is assigned to
// EndpointsPerHost endpoints of the service on average.
//
// Example: 360 hosts and a service of 600 endpoints result in groups of
// ceil(360*24/600) = 15 hosts.
func Groups(config core.Config) [][]int {
	perService := make(map[core.ServiceName][]int)
	for i, endpoint := range config.Endpoints {
		perService[endpoint.Service] = append(perService[endpoint.Service], i)
	}
	groups := make([][]int, len(config.Endpoints))
	for _, indices := range perService {
		names := make([]string, len(indices))
		for i, index := range indices {
			names[i] = string(config.Endpoints[index].Name)
		}
		assigned := BalancedGroups(config.Hosts, names, groupSize(len(config.Hosts), len(names)))
		for i, index := range indices {
			groups[index] = assigned[i]
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

// BalancedGroups partitions the hosts into as many sets as a group has members
// (size) and assigns to each endpoint one host of every set, using all hosts of a
// set about equally often. This is the construction of overlapping redundancy
// groups of Skourtis et al., "Erasure Coding & Read/Write Separation in Flash
// Storage", section 6.2.1.
func BalancedGroups(hosts []core.Host, endpoints []string, size int) [][]int {
	groups := make([][]int, len(endpoints))
	if size == 0 {
		return groups
	}
	for set, members := range partitionHosts(hosts, size) {
		share := (len(endpoints) + len(members) - 1) / len(members)
		assigned := make(map[int]int, len(members))
		for i, name := range endpoints {
			best, bestScore := NoHost, uint64(0)
			for _, host := range members {
				score := Score(string(hosts[host].Name), name, set)
				if assigned[host] < share && (best == NoHost || score > bestScore) {
					best, bestScore = host, score
				}
			}
			assigned[best]++
			groups[i] = append(groups[i], best)
		}
	}
	return groups
}

// partitionHosts divides the hosts into sets whose sizes differ by at most one.
// A host joins the set with room for which it has the highest score, so that few
// hosts change sets when the list of hosts changes.
func partitionHosts(hosts []core.Host, count int) [][]int {
	sets := make([][]int, count)
	size, larger := len(hosts)/count, len(hosts)%count
	for host := range hosts {
		best, bestScore := -1, uint64(0)
		for set := range sets {
			hasRoom := len(sets[set]) < size || (len(sets[set]) == size && larger > 0)
			score := Score(string(hosts[host].Name), fmt.Sprint("set ", set), 0)
			if hasRoom && (best < 0 || score > bestScore) {
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
