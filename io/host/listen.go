package host

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"apricotproxy/io/caller"
	"apricotproxy/io/certs"
	"apricotproxy/io/meter"
	"apricotproxy/io/opers"
	"apricotproxy/io/peers"
)

// server is one listener with what it serves.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
}

// listen opens the listeners, callers' first.
func (h *Host) listen() error {
	callers := caller.New(caller.Config{
		Self:       h.settings.Self,
		Dispatcher: h.shell,
		Runner:     h.runner,
		Orders:     h.orders,
		Ready:      h.refusal,
		Logger:     h.settings.Logger,
	})
	entries := []struct {
		name    string
		address string
		server  *http.Server
		wrap    func(net.Listener) net.Listener
	}{
		{name: "callers", address: h.settings.CallerAddress, server: caller.NewServer(h.partingCallers(meter.Callers(callers))), wrap: h.secured(certs.RoleCaller)},
		{name: "peers", address: h.settings.PeerAddress, server: peers.NewServer(h.peerHandler()), wrap: h.secured(certs.RolePeer)},
		{name: "operators", address: h.settings.OperatorAddress, server: opers.NewServer(h.operators())},
	}
	for _, entry := range entries {
		if entry.address == "" {
			continue
		}
		listener, err := h.settings.Listen("tcp", entry.address)
		if err != nil {
			h.closeListeners()
			return fmt.Errorf("listen for %s on %s: %w", entry.name, entry.address, err)
		}
		if entry.wrap != nil {
			listener = entry.wrap(listener)
		}
		h.servers = append(h.servers, server{name: entry.name, http: entry.server, listener: listener})
	}
	return nil
}

// secured gives a wrapper that serves a role by TLS while it is switched on.
func (h *Host) secured(role certs.Role) func(net.Listener) net.Listener {
	return func(listener net.Listener) net.Listener { return h.certs.Listen(role, listener) }
}

func (h *Host) closeListeners() {
	for _, s := range h.servers {
		_ = s.listener.Close()
	}
}

// partingCallers has callers close their connections while the host stops: one
// that was kept alive would bring its next request here after the balancer
// sends new connections elsewhere.
func (h *Host) partingCallers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Host) peerHandler() http.Handler {
	return peers.NewHandler(peers.Guard(&peerService{host: h}, h.fleet.CheckSender))
}

func (h *Host) operators() opers.Dependencies {
	return opers.Dependencies{
		Ready:  h.ready,
		Status: func() any { return h.Status() },
		Trail:  h.trail,
		Logger: h.settings.Logger,
	}
}

func (h *Host) serve(s server, failed chan<- error) {
	err := s.http.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		failed <- fmt.Errorf("serve %s: %w", s.name, err)
	}
}

func (h *Host) closeServers() {
	for _, s := range h.servers {
		_ = s.http.Close()
	}
}
