// Package hosts starts entry hosts for routed requests in this process, on loopback,
// before one stand-in store, and stops and starts them again.
package hosts

import (
	"context"
	"fmt"
	"net"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/fakes/addrs"
	"apricotproxy/fakes/store"
	"apricotproxy/io/entry"
)

// _seeds is how many hosts the settings of each name.
const _seeds = 2

// Hosts are entry hosts that know of each other.
type Hosts struct {
	Settings []entry.Settings
	// Clients are the hosts' ways to the store.
	Clients []*store.Client
	stop    []context.CancelFunc
	ended   []chan error
}

// New makes the settings of hosts that are alike but for their names, addresses and
// seeds of chance, and starts none.
func New(n int, documents *store.Store, alike entry.Settings) *Hosts {
	h := &Hosts{stop: make([]context.CancelFunc, n), ended: make([]chan error, n)}
	var seeds []string
	for i := range n {
		one := alike
		one.Name = core.HostName(fmt.Sprint("host-", i))
		one.CallerAddress, one.ReadyAddress = addrs.Next(), addrs.Next()
		one.PeerAddress, one.HeartbeatAddress = addrs.Next(), addrs.Next()
		client := documents.Client()
		one.Store, one.Seed = client, alike.Seed+uint64(i)
		one.Dialer, one.Listen, one.ListenPacket, one.Logger = entry.NewDialer(), net.Listen, net.ListenPacket, logr.Discard()
		h.Clients = append(h.Clients, client)
		h.Settings = append(h.Settings, one)
		if i < _seeds {
			seeds = append(seeds, one.HeartbeatAddress)
		}
	}
	for i := range h.Settings {
		h.Settings[i].Seeds = seeds
	}
	return h
}

// Start starts a host, at first or anew.
func (h *Hosts) Start(i int) (*entry.Host, error) {
	host, err := entry.New(h.Settings[i])
	if err != nil {
		return nil, fmt.Errorf("start host %d: %w", i, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- host.Run(ctx) }()
	h.stop[i], h.ended[i] = cancel, ended
	return host, nil
}

// Stop asks a host to stop as planned.
func (h *Hosts) Stop(i int) { h.stop[i]() }

// Ended gets what a host ended with.
func (h *Hosts) Ended(i int) <-chan error { return h.ended[i] }
