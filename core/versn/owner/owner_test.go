package owner_test

import (
	"fmt"
	"testing"

	"apricotproxy/core"
	"apricotproxy/core/versn/owner"
)

func site(hosts, endpoints, slots int) core.Config {
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

// Each slot has one owner, which deals with the endpoint, and no host owns more
// than its share of an endpoint.
func TestEverySlotHasOneOwner(t *testing.T) {
	for _, size := range [][2]int{{1, 3}, {9, 24}, {40, 30}} {
		config := site(size[0], size[1], 32)
		table := owner.Build(config)
		for e := range config.Endpoints {
			owned := 0
			for _, host := range config.Hosts {
				positions := table.Positions(e, host.Name)
				owned += len(positions)
				if len(positions) > 0 && !table.Deals(e, host.Name) {
					t.Errorf("%s owns slots of endpoint %d that it does not deal with", host.Name, e)
				}
			}
			if owned != 32 {
				t.Errorf("%d hosts: %d of 32 slots of endpoint %d are owned", size[0], owned, e)
			}
		}
	}
}

// constructions are the ways to choose the hosts that deal with an endpoint.
var _constructions = []struct {
	name  string
	build func([]core.Host, []string, int) [][]int
}{
	{"subset", subsetGroups},
	{"bounded", boundedGroups},
	{"balanced", owner.BalancedGroups},
}

type groupFigures struct {
	most, least  int
	mean         float64
	churn        float64 // memberships that change when a host leaves, as a share
	unnecessary  float64 // of those, not the leaving host's
	largestRatio float64
}

func measureGroups(build func([]core.Host, []string, int) [][]int, config core.Config, size int) groupFigures {
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
	figures := groupFigures{least: len(names), mean: float64(len(member)) / float64(len(load))}
	for _, count := range load {
		figures.most = max(figures.most, count)
		figures.least = min(figures.least, count)
	}
	figures.largestRatio = float64(figures.most) / figures.mean
	leaving := len(config.Hosts) / 2
	fewer := append(append([]core.Host{}, config.Hosts[:leaving]...), config.Hosts[leaving+1:]...)
	fresh := 0
	for e, group := range build(fewer, names, min(size, len(fewer))) {
		for _, host := range group {
			if !member[fmt.Sprint(names[e], "/", fewer[host].Name)] {
				fresh++
			}
		}
	}
	figures.churn = float64(fresh) / float64(len(member))
	figures.unnecessary = figures.churn - float64(load[leaving])/float64(len(member))
	return figures
}

// The construction that is used must keep the largest load within a tenth of
// the mean, and a leaving host must not move more than a tenth of the groups.
func TestGroupConstructions(t *testing.T) {
	for _, size := range []struct{ hosts, endpoints, group int }{{9, 24, 9}, {9, 24, 4}, {360, 600, 15}, {365, 600, 15}} {
		config := site(size.hosts, size.endpoints, 32)
		for _, construction := range _constructions {
			f := measureGroups(construction.build, config, size.group)
			t.Logf("%d by %d, groups of %d, %s: endpoints per host %d to %d, mean %.1f, largest over mean %.2f, churn %.1f%% of which %.1f%% is not the leaving host's",
				size.hosts, size.endpoints, size.group, construction.name, f.least, f.most, f.mean, f.largestRatio, 100*f.churn, 100*f.unnecessary)
			if construction.name != "balanced" || size.group == 4 {
				continue
			}
			if f.largestRatio > 1.1 {
				t.Errorf("the largest load is %.2f times the mean", f.largestRatio)
			}
			if size.hosts > 100 && f.churn > 0.1 {
				t.Errorf("a leaving host moves %.1f%% of the memberships", 100*f.churn)
			}
		}
	}
}

// measureSlots compares the owners of single slots with and without the share.
func TestSlotOwnersAreBalanced(t *testing.T) {
	config := site(9, 24, 32)
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
		config := site(size[0], size[1], 32)
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				owner.Build(config)
			}
		})
	}
}
