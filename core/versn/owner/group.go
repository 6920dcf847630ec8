package owner

import "apricotproxy/core"

// EndpointsPerHost is how many endpoints of a service each host deals with
// when the fleet is too large for every host to deal with all of them.
const EndpointsPerHost = 24

// Groups lists, for each endpoint of the configuration, the hosts that deal
// with it. In a small fleet every host deals with every endpoint. In a large
// one each endpoint takes the highest-scored hosts, as many as give a host
// EndpointsPerHost endpoints of the service on average.
//
// Example: 360 hosts and a service of 600 endpoints give groups of
// ceil(360*24/600) = 15 hosts.
func Groups(config core.Config) [][]int {
	perService := make(map[core.ServiceName]int)
	for _, endpoint := range config.Endpoints {
		perService[endpoint.Service]++
	}
	groups := make([][]int, len(config.Endpoints))
	for i, endpoint := range config.Endpoints {
		size := groupSize(len(config.Hosts), perService[endpoint.Service])
		groups[i] = rankHosts(config.Hosts, string(endpoint.Name))[:size]
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
