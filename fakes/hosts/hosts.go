// Package hosts runs entry hosts for routed requests in this process, on loopback and
// with one fake store, and can stop and restart them.
package hosts

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/fakes/addrs"
	"apricotproxy/fakes/store"
	"apricotproxy/io/entry"
)

// _seedHosts is the number of hosts that the settings of every host list as seeds.
const _seedHosts = 2

// Hosts is a group of entry hosts that share seeds and a store.
type Hosts struct {
	Settings []entry.Settings
	// Clients are the hosts' connections to the store.
	Clients []*store.Client
	stop    []context.CancelFunc
	ended   []chan error
	// listeners are those of each host's present run.
	listeners [][]net.Listener
}

// New prepares the settings of n hosts from a template. They differ in names, addresses,
// random seeds and store clients. It starts no host.
func New(n int, documents *store.Store, template entry.Settings) *Hosts {
	h := &Hosts{stop: make([]context.CancelFunc, n), ended: make([]chan error, n), listeners: make([][]net.Listener, n)}
	var seeds []string
	for i := range n {
		settings := template
		settings.Name = core.HostName(fmt.Sprint("host-", i))
		settings.CallerAddress, settings.ReadyAddress = addrs.Next(), addrs.Next()
		settings.PeerAddress, settings.HeartbeatAddress = addrs.Next(), addrs.Next()
		client := documents.Client()
		settings.Store, settings.Seed = client, template.Seed+uint64(i)
		settings.Dialer, settings.Listen, settings.ListenPacket, settings.Logger = entry.NewDialer(), net.Listen, net.ListenPacket, logr.Discard()
		h.Clients = append(h.Clients, client)
		h.Settings = append(h.Settings, settings)
		if i < _seedHosts {
			seeds = append(seeds, settings.HeartbeatAddress)
		}
	}
	for i := range h.Settings {
		h.Settings[i].Seeds = seeds
	}
	return h
}

// Start starts the i-th host, or restarts it after it has ended.
func (h *Hosts) Start(i int) (*entry.Host, error) {
	h.listeners[i] = nil
	settings := h.Settings[i]
	settings.Listen = func(network, address string) (net.Listener, error) {
		listener, err := h.Settings[i].Listen(network, address)
		if err == nil {
			h.listeners[i] = append(h.listeners[i], listener)
		}
		return listener, err
	}
	host, err := entry.New(settings)
	if err != nil {
		return nil, fmt.Errorf("start host %d: %w", i, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- host.Run(ctx) }()
	h.stop[i], h.ended[i] = cancel, ended
	return host, nil
}

// Stop asks the i-th host to stop gracefully.
func (h *Hosts) Stop(i int) { h.stop[i]() }

// Ended returns the channel that receives the result of the i-th host's Run.
func (h *Hosts) Ended(i int) <-chan error { return h.ended[i] }

// Kill ends the i-th host at once, with all its connections, and waits until it has ended.
func (h *Hosts) Kill(i int) error {
	for _, listener := range h.listeners[i] {
		_ = listener.Close()
	}
	if err := <-h.ended[i]; err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("end host %d: %w", i, err)
	}
	return nil
}
