package host

import (
	"apricotproxy/core"
	"apricotproxy/io/fleet"
)

// Status is what /statusz shows of a host.
type Status struct {
	Site        core.SiteName
	Host        core.HostName
	Incarnation core.Incarnation
	Revision    core.Revision
	Ready       bool
	Stopping    bool
	// OpenRequests counts callers' requests without an outcome, Generations
	// those that run on engines, Tickets the order tickets held.
	OpenRequests int64
	Generations  int
	Tickets      int
	Waiting      int
	Running      int
	DataCentres  []core.DataCentre
	Hosts        []fleet.HostStatus
	Endpoints    []core.EndpointStatus
}

// Status gives the host's figures.
func (h *Host) Status() Status {
	config := h.shell.Config()
	decisions := h.shell.Status()
	return Status{
		Site:         h.settings.Site,
		Host:         h.settings.Self.Host,
		Incarnation:  h.settings.Self.Incarnation,
		Revision:     config.Revision,
		Ready:        h.ready() == nil,
		Stopping:     h.refusing.Load(),
		OpenRequests: h.open.Load(),
		Generations:  h.runner.Running(),
		Tickets:      h.desk.Held(),
		Waiting:      decisions.Waiting,
		Running:      decisions.Running,
		DataCentres:  config.DataCentres,
		Hosts:        h.fleet.Status(),
		Endpoints:    decisions.Endpoints,
	}
}
