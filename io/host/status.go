package host

import (
	"apricotproxy/core"
	"apricotproxy/io/certs"
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
	// InHand counts requests without an outcome, streams and generations
	// without a caller included. Waiting and Running are the decision core's
	// part of them. Tickets counts the order tickets held.
	InHand  int
	Waiting int
	Running int
	Tickets int
	// Certificates lists the certificates in use with their ends.
	Certificates []certs.Expiry
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
		Stopping:     h.stopping.Load(),
		InHand:       h.runner.Running(),
		Tickets:      h.orders.Held(),
		Waiting:      decisions.Waiting,
		Running:      decisions.Running,
		Certificates: h.certs.Expiries(),
		DataCentres:  config.DataCentres,
		Hosts:        h.fleet.Status(),
		Endpoints:    decisions.Endpoints,
	}
}
