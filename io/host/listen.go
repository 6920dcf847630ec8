package host

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"apricotproxy/io/caller"
	"apricotproxy/io/certs"
	"apricotproxy/io/guard"
	"apricotproxy/io/meter"
	"apricotproxy/io/opers"
	"apricotproxy/io/peers"
)

// server is one listener and the HTTP server behind it.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
}

// listen opens the listeners: for callers, for peers and for operators.
func (h *Host) listen() error {
	callers := caller.New(caller.Config{
		Self:       h.settings.Self,
		Dispatcher: h.shell,
		Runner:     h.runner,
		Orders:     h.orders,
		CheckReady: h.refusal,
		Logger:     h.settings.Logger,
	})
	entries := []struct {
		name    string
		address string
		kind    guard.Kind
		server  *http.Server
		wrap    func(net.Listener) net.Listener
	}{
		{name: "callers", address: h.settings.CallerAddress, kind: guard.Callers, server: caller.NewServer(h.closeWhileStopping(meter.Callers(callers))), wrap: h.tlsListener(certs.RoleCaller)},
		{name: "peers", address: h.settings.PeerAddress, kind: guard.Hosts, server: peers.NewServer(h.peerHandler()), wrap: h.tlsListener(certs.RolePeer)},
		{name: "operators", address: h.settings.OperatorAddress, kind: guard.Others, server: opers.NewServer(h.operatorDependencies())},
	}
	limits := guard.New(guard.Settings{MemoryBytes: h.settings.MemoryBytes, Logger: h.settings.Logger})
	for _, entry := range entries {
		if entry.address == "" {
			continue
		}
		listener, err := h.settings.Listen("tcp", entry.address)
		if err != nil {
			h.closeListeners()
			return fmt.Errorf("listen for %s on %s: %w", entry.name, entry.address, err)
		}
		listener = limits.Protect(entry.kind, entry.server, listener)
		if entry.wrap != nil {
			listener = entry.wrap(listener)
		}
		h.servers = append(h.servers, server{name: entry.name, http: entry.server, listener: listener})
	}
	return nil
}

// tlsListener returns a function that wraps a listener in TLS. TLS is in use while the
// configuration names certificates for the role.
func (h *Host) tlsListener(role certs.Role) func(net.Listener) net.Listener {
	return func(listener net.Listener) net.Listener { return h.certs.Listen(role, listener) }
}

func (h *Host) closeListeners() {
	for _, s := range h.servers {
		_ = s.listener.Close()
	}
}

// closeWhileStopping makes callers close their connections while the host is
// stopping. A kept-alive connection would otherwise bring its next request here even
// though the balancer sends new connections elsewhere.
func (h *Host) closeWhileStopping(next http.Handler) http.Handler {
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

func (h *Host) operatorDependencies() opers.Dependencies {
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
