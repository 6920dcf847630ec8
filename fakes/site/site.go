// Package site starts all of a small site except its entry hosts, on loopback:
// a fake platform, fake model engines and a fake plain service, with a
// configuration that names them. The demo and tests of the whole program add the
// entry hosts.
package site

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/versn/confg"
	"apricotproxy/fakes/engine"
	"apricotproxy/fakes/plain"
	"apricotproxy/fakes/platf"
)

// Name is the name of the site.
const Name core.SiteName = "demo"

const (
	_engines       = 4
	_loopback      = "127.0.0.1:0"
	_tokenInterval = 5 * time.Millisecond
	_meanTokens    = 60
	_callTime      = 20 * time.Millisecond
)

// HostAddresses are the addresses of one entry host.
type HostAddresses struct {
	Peer   string
	Caller string
}

// Site holds the running fakes of a site, and the addresses for its entry hosts.
// Close stops the fakes.
type Site struct {
	Platform        *platf.Platform
	PlatformAddress string
	Engines         []*engine.Engine
	Plain           *plain.Service
	Hosts           []HostAddresses

	servers []*http.Server
}

// Start starts the fakes on free ports and publishes revision 1, which lists
// hostCount entry hosts on ports that are free at that moment.
func Start(hostCount int) (*Site, error) {
	s := &Site{Platform: platf.New(platf.Config{ReadsPerSecond: 2000, LoadsPerMinute: 60})}
	var err error
	if s.PlatformAddress, err = s.serve(s.Platform); err != nil {
		return nil, s.closeAfter(err)
	}
	var engines []string
	for i := range _engines {
		e := engine.New(engine.Config{
			Seed:          uint64(i + 1),
			Model:         core.LoadedModel{Model: "card-writer", Version: "1"},
			TokenInterval: _tokenInterval,
			MeanTokens:    _meanTokens,
			StartWarm:     true,
		}.WithDefaults())
		address, err := s.serve(e)
		if err != nil {
			return nil, s.closeAfter(err)
		}
		s.Engines = append(s.Engines, e)
		engines = append(engines, address)
	}
	s.Plain = plain.New(plain.Config{CallTime: _callTime})
	plainAddress, err := s.serve(s.Plain)
	if err != nil {
		return nil, s.closeAfter(err)
	}
	if s.Hosts, err = freeAddresses(hostCount); err != nil {
		return nil, s.closeAfter(err)
	}
	bundle := core.Bundle{Revision: 1, Base: _base, Overlay: s.overlay(engines, plainAddress)}
	if _, err := confg.Parse(bundle, Name); err != nil {
		return nil, s.closeAfter(fmt.Errorf("check the site's configuration: %w", err))
	}
	if err := s.Platform.PublishBundle(Name, bundle); err != nil {
		return nil, s.closeAfter(err)
	}
	return s, nil
}

const _base = `; What all sites share.
[Limits]
DrainNotice = 500ms
HeartbeatInterval = 200ms
ConfigSpread = 2s
ReportInterval = 200ms
ReportLag = 100ms
LeaseTerm = 1s
`

// overlay returns the overlay of the site's configuration.
func (s *Site) overlay(engines []string, plainAddress string) string {
	var hosts []string
	for _, host := range s.Hosts {
		_, callerPort, _ := net.SplitHostPort(host.Caller)
		hosts = append(hosts, host.Peer+"/"+callerPort)
	}
	return fmt.Sprintf(`[Site]
Name = %s
Region = loopback

[DataCentre here]
InService = yes
Hosts = %s

[Service drafting]
Kind = Engine
Model = card-writer
Version = 1

[Service card-order]
Kind = Plain
RepeatableCalls = order-state
UnrepeatableCalls = engrave

[Endpoints drafting.here]
Addresses = %s
ColdSlots = 2
WarmSlots = 16
MemoryTokens = 100000

[Endpoints card-order.here]
Addresses = %s
ColdSlots = 4
WarmSlots = 8

[Workspaces all]
Names = ceremonies
Services = drafting, card-order
`, Name, strings.Join(hosts, ", "), strings.Join(engines, ", "), plainAddress)
}

// serve starts one fake on a free port.
func (s *Site) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", _loopback)
	if err != nil {
		return "", fmt.Errorf("listen for a fake: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// freeAddresses finds addresses that nobody listens on.
func freeAddresses(count int) ([]HostAddresses, error) {
	var found []HostAddresses
	var open []net.Listener
	defer func() {
		for _, listener := range open {
			_ = listener.Close()
		}
	}()
	for range count {
		var addresses HostAddresses
		for _, address := range []*string{&addresses.Peer, &addresses.Caller} {
			listener, err := net.Listen("tcp", _loopback)
			if err != nil {
				return nil, fmt.Errorf("find a free port: %w", err)
			}
			open = append(open, listener)
			*address = listener.Addr().String()
		}
		found = append(found, addresses)
	}
	return found, nil
}

// HostName returns the name that the configuration derives for the i-th entry
// host, counting from 0.
func HostName(i int) core.HostName { return core.HostName(fmt.Sprintf("here-host-%d", i+1)) }

// closeAfter stops the fakes after a failed start and returns its error joined
// with that of Close.
func (s *Site) closeAfter(err error) error {
	return errors.Join(err, s.Close())
}

// Close stops the fakes and closes their connections.
func (s *Site) Close() error {
	var errs error
	for _, server := range s.servers {
		errs = errors.Join(errs, server.Close())
	}
	return errs
}
