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
	// InHand counts the requests without an outcome, including streams and
	// generations whose caller has gone. Of these, Waiting are in the decider's queue
	// and Running were placed by it. Tickets counts the order tickets held.
	InHand  int
	Waiting int
	Running int
	Tickets int
	// Certificates lists the certificates in use and when they expire.
	Certificates []certs.Expiry
	DataCentres  []core.DataCentre
	Hosts        []fleet.HostStatus
	Endpoints    []core.EndpointStatus
}

// Status returns the current status of the host.
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
