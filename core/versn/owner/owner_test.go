package owner_test

import (
	"fmt"
	"testing"

	"apricotproxy/core"
	"apricotproxy/core/versn/owner"
)

func newConfig(hosts, endpoints, slots int) core.Config {
	var config core.Config
	for i := range hosts {
		config.Hosts = append(config.Hosts, core.Host{Name: core.HostName(fmt.Sprintf("entry-%d", i))})
	}
	for i := range endpoints {
		config.Endpoints = append(config.Endpoints, core.Endpoint{
			Name: core.EndpointName(fmt.Sprintf("engine-%d", i)), Service: "s", ColdSlots: 2, WarmSlots: slots,
		})
	}
	return config
}

func endpointNames(config core.Config) []string {
	var names []string
	for _, endpoint := range config.Endpoints {
		names = append(names, string(endpoint.Name))
	}
	return names
}

// Every slot has exactly one owner, and a host owns slots only of endpoints that
// it is assigned to.
func TestEverySlotHasOneOwner(t *testing.T) {
	for _, size := range [][2]int{{1, 3}, {9, 24}, {40, 30}} {
		config := newConfig(size[0], size[1], 32)
		table := owner.Build(config)
		for e := range config.Endpoints {
			owned := 0
			for _, host := range config.Hosts {
				positions := table.Positions(e, host.Name)
				owned += len(positions)
				if len(positions) > 0 && !table.IsAssigned(e, host.Name) {
					t.Errorf("%s owns slots of endpoint %d but is not assigned to it", host.Name, e)
				}
			}
			if owned != 32 {
				t.Errorf("%d hosts: %d of 32 slots of endpoint %d are owned", size[0], owned, e)
			}
		}
	}
}

// _constructions are the compared ways of choosing an endpoint's group of hosts.
var _constructions = []struct {
	name  string
	build func([]core.Host, []string, int) [][]int
}{
	{"subset", subsetGroups},
	{"bounded", boundedGroups},
	{"balanced", owner.BalancedGroups},
}

type groupStats struct {
	maxLoad, minLoad int
	mean             float64
	churn            float64 // fraction of memberships that are new after one host leaves
	unnecessary      float64 // part of churn beyond replacing the host that left
	maxOverMean      float64
}

func measureGroups(build func([]core.Host, []string, int) [][]int, config core.Config, size int) groupStats {
	names := endpointNames(config)
	groups := build(config.Hosts, names, size)
	load := make([]int, len(config.Hosts))
	member := map[string]bool{}
	for e, group := range groups {
		for _, host := range group {
			load[host]++
			member[fmt.Sprint(names[e], "/", config.Hosts[host].Name)] = true
		}
	}
	stats := groupStats{minLoad: len(names), mean: float64(len(member)) / float64(len(load))}
	for _, count := range load {
		stats.maxLoad = max(stats.maxLoad, count)
		stats.minLoad = min(stats.minLoad, count)
	}
	stats.maxOverMean = float64(stats.maxLoad) / stats.mean
	leaving := len(config.Hosts) / 2
	remaining := append(append([]core.Host{}, config.Hosts[:leaving]...), config.Hosts[leaving+1:]...)
	added := 0
	for e, group := range build(remaining, names, min(size, len(remaining))) {
		for _, host := range group {
			if !member[fmt.Sprint(names[e], "/", remaining[host].Name)] {
				added++
			}
		}
	}
	stats.churn = float64(added) / float64(len(member))
	stats.unnecessary = stats.churn - float64(load[leaving])/float64(len(member))
	return stats
}

// BalancedGroups must keep the largest load within 10 % above the mean, and in a
// large fleet one leaving host must not change more than 10 % of the memberships.
func TestGroupConstructions(t *testing.T) {
	for _, size := range []struct{ hosts, endpoints, group int }{{9, 24, 9}, {9, 24, 4}, {360, 600, 15}, {365, 600, 15}} {
		config := newConfig(size.hosts, size.endpoints, 32)
		for _, construction := range _constructions {
			stats := measureGroups(construction.build, config, size.group)
			t.Logf("%d by %d, groups of %d, %s: endpoints per host %d to %d, mean %.1f, largest over mean %.2f, churn %.1f%%, of which %.1f%% is beyond replacing the leaving host",
				size.hosts, size.endpoints, size.group, construction.name, stats.minLoad, stats.maxLoad, stats.mean, stats.maxOverMean, 100*stats.churn, 100*stats.unnecessary)
			// Nine hosts in four sets make sets of two and three hosts, whose loads
			// cannot be within 10 % of the mean.
			if construction.name != "balanced" || size.group == 4 {
				continue
			}
			if stats.maxOverMean > 1.1 {
				t.Errorf("the largest load is %.2f times the mean", stats.maxOverMean)
			}
			if size.hosts > 100 && stats.churn > 0.1 {
				t.Errorf("a leaving host moves %.1f%% of the memberships", 100*stats.churn)
			}
		}
	}
}

// No host owns more than its share of an endpoint's slots: ceil(32/9) = 4.
func TestSlotOwnersAreBalanced(t *testing.T) {
	config := newConfig(9, 24, 32)
	table := owner.Build(config)
	for e := range config.Endpoints {
		for _, host := range config.Hosts {
			if owned := len(table.Positions(e, host.Name)); owned > 4 {
				t.Errorf("%s owns %d of 32 slots, more than its share of 4", host.Name, owned)
			}
		}
	}
}

func BenchmarkBuild(b *testing.B) {
	for _, size := range [][2]int{{9, 24}, {360, 600}} {
		config := newConfig(size[0], size[1], 32)
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				owner.Build(config)
			}
		})
	}
}
