package chaos

import (
	"fmt"
	"time"

	"apricotproxy/core"
)

// Numbers of hosts and endpoints in a revision of Configs.
const (
	_hostsPerRevision = 9
	EndpointCount     = 4
)

// Configs returns the given number of revisions, which assign slots to different
// owners. Every second revision has one host less. With replace set, successive
// revisions have no host in common.
func Configs(revisions int, replace bool) []core.Config {
	var configs []core.Config
	for r := range revisions {
		var hosts []core.HostName
		for i := range _hostsPerRevision {
			number := i + 1
			if replace {
				number += (r + i) % 2 * 10
			}
			hosts = append(hosts, core.HostName(fmt.Sprintf("h%d", number)))
		}
		config := SiteConfig(hosts[:_hostsPerRevision-r%2]...)
		config.Revision = core.Revision(r + 1)
		config.Endpoints = nil
		for i := range EndpointCount {
			config.Endpoints = append(config.Endpoints, core.Endpoint{
				Name: core.EndpointName(fmt.Sprintf("e%d", i)), Service: "s", DataCentre: "a",
				ColdSlots: 2, WarmSlots: 12, MemoryTokens: 1000,
			})
		}
		configs = append(configs, config)
	}
	return configs
}

// SiteConfig returns a configuration with the given hosts and with one service that has one
// endpoint.
func SiteConfig(hosts ...core.HostName) core.Config {
	config := core.Config{
		Site: "test", Revision: 1,
		DataCentres: []core.DataCentre{{Name: "a", InService: true}},
		Endpoints:   []core.Endpoint{{Name: "e", Service: "s", DataCentre: "a", ColdSlots: 2, WarmSlots: 8, MemoryTokens: 1000}},
		Services:    []core.Service{{Name: "s", Kind: core.ServiceEngine}},
		Workspaces:  []core.Workspace{{Name: "w", Weight: 1}},
		Limits: core.Limits{
			QueueTimeout: 10 * time.Second, QueueLength: 100, LeaseTerm: 2 * time.Second,
			ConfigSpread: 3 * time.Second, ReportInterval: _reportInterval, WarmProof: 3,
		},
	}
	for _, host := range hosts {
		config.Hosts = append(config.Hosts, core.Host{Name: host, DataCentre: "a"})
	}
	return config
}

// NewRequest returns a request for the configured service.
func NewRequest(id int, now time.Time) core.Request {
	return core.Request{
		ID: core.RequestID(id), Workspace: "w", Service: "s", Repeatable: true,
		Arrived: now, QueueDeadline: now.Add(10 * time.Second), Deadline: now.Add(30 * time.Second),
	}
}
