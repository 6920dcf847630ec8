package certs

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"

	"apricotproxy/core"
)

var errNoCertificateConfigured = errors.New("no certificate is configured")

// Listen wraps a listener for callers or peers. Connections are plain while TLS
// is disabled for the role. Each new connection uses the files as last loaded.
// Peers must present a certificate signed by the peers' authority.
func (s *Store) Listen(role Role, listener net.Listener) net.Listener {
	return &tlsListener{Listener: listener, store: s, role: role}
}

type tlsListener struct {
	net.Listener
	store *Store
	role  Role
}

// Accept returns the next connection. Its TLS handshake runs at the first read or
// write.
func (l *tlsListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.store.Enabled(l.role) {
		return connection, nil
	}
	return tls.Server(connection, &tls.Config{
		MinVersion: minVersion(l.role),
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return l.store.serverConfig(l.role)
		},
	}), nil
}

// serverConfig returns the TLS configuration for one accepted connection, built
// from the files as last loaded.
func (s *Store) serverConfig(role Role) (*tls.Config, error) {
	c := s.current[role].Load()
	if c.loadErr != nil {
		return nil, c.loadErr
	}
	if c.certificate == nil {
		return nil, fmt.Errorf("accepting a TLS connection as %s: %w", role, errNoCertificateConfigured)
	}
	config := &tls.Config{
		MinVersion:   minVersion(role),
		Certificates: []tls.Certificate{*c.certificate},
	}
	if role == RolePeer {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = c.authority
	}
	return config, nil
}

// minVersion requires TLS 1.3 between hosts. Callers and endpoints are other
// software and may use TLS 1.2.
func minVersion(role Role) uint16 {
	if role == RolePeer {
		return tls.VersionTLS13
	}
	return tls.VersionTLS12
}

// Dialer wraps a dialer for peers or endpoints. While TLS is enabled for the role,
// a dial includes the handshake, which verifies that the server's certificate is
// signed by the role's authority and is valid for the dialled address.
func (s *Store) Dialer(role Role, dialer core.Dialer) core.Dialer {
	return &tlsDialer{store: s, role: role, dialer: dialer}
}

type tlsDialer struct {
	store  *Store
	role   Role
	dialer core.Dialer
}

// DialContext dials and completes the TLS handshake before ctx ends.
func (d *tlsDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.store.Enabled(d.role) {
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
		_ = connection.Close() // the handshake's error is the more useful one
		return nil, fmt.Errorf("TLS handshake with %s as %s: %w", address, d.role, err)
	}
	return secured, nil
}

func (s *Store) clientConfig(role Role, address string) (*tls.Config, error) {
	c := s.current[role].Load()
	if c.loadErr != nil {
		return nil, c.loadErr
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("splitting the address: %w", err)
	}
	config := &tls.Config{MinVersion: minVersion(role), ServerName: host, RootCAs: c.authority}
	if c.certificate != nil {
		config.Certificates = []tls.Certificate{*c.certificate}
	}
	return config, nil
}
