package certs

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"

	"apricotproxy/core"
)

var errNothingToShow = errors.New("there is no certificate to show")

// Listen wraps a listener for callers or peers. While the role is switched off
// connections stay plain; each new connection goes by what was read last.
// Peers must show a certificate of the peers' authority.
func (s *Store) Listen(role Role, listener net.Listener) net.Listener {
	return &tlsListener{Listener: listener, store: s, role: role}
}

type tlsListener struct {
	net.Listener
	store *Store
	role  Role
}

// Accept gives the next connection; the handshake comes with its first read.
func (l *tlsListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.store.On(l.role) {
		return connection, nil
	}
	return tls.Server(connection, &tls.Config{
		MinVersion: minVersion(l.role),
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return l.store.serverConfig(l.role)
		},
	}), nil
}

// serverConfig is made for each connection, so that it takes what was read last.
func (s *Store) serverConfig(role Role) (*tls.Config, error) {
	m := s.current[role].Load()
	if m.fault != nil {
		return nil, m.fault
	}
	if m.certificate == nil {
		return nil, fmt.Errorf("meeting a client as %s: %w", role, errNothingToShow)
	}
	config := &tls.Config{
		MinVersion:   minVersion(role),
		Certificates: []tls.Certificate{*m.certificate},
	}
	if role == RolePeer {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.authority
	}
	return config, nil
}

// minVersion allows TLS 1.2 only to other people's software.
func minVersion(role Role) uint16 {
	if role == RolePeer {
		return tls.VersionTLS13
	}
	return tls.VersionTLS12
}

// Dialer wraps a dialer for peers or endpoints: while the role is switched on,
// connections are given out after the handshake. It checks that the other
// side's certificate is signed by the role's authority and names the address
// that was dialled.
func (s *Store) Dialer(role Role, dialer core.Dialer) core.Dialer {
	return &tlsDialer{store: s, role: role, dialer: dialer}
}

type tlsDialer struct {
	store  *Store
	role   Role
	dialer core.Dialer
}

// DialContext dials and shakes hands within ctx.
func (d *tlsDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.store.On(d.role) {
		return d.dialer.DialContext(ctx, network, address)
	}
	config, err := d.store.clientConfig(d.role, address)
	if err != nil {
		return nil, fmt.Errorf("dialling as %s: %w", d.role, err)
	}
	connection, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dialling as %s: %w", d.role, err)
	}
	secured := tls.Client(connection, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = connection.Close() // the handshake's error says more
		return nil, fmt.Errorf("shaking hands with %s as %s: %w", address, d.role, err)
	}
	return secured, nil
}

func (s *Store) clientConfig(role Role, address string) (*tls.Config, error) {
	m := s.current[role].Load()
	if m.fault != nil {
		return nil, m.fault
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("splitting the address: %w", err)
	}
	config := &tls.Config{MinVersion: minVersion(role), ServerName: host, RootCAs: m.authority}
	if m.certificate != nil {
		config.Certificates = []tls.Certificate{*m.certificate}
	}
	return config, nil
}
