package certs

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"

	"apricotproxy/core"
)

// Listen wraps a listener for callers or peers. A role that is switched off
// gives the listener back as it is. Peers must show a certificate of the
// peers' authority.
func (s *Store) Listen(role Role, listener net.Listener) net.Listener {
	if !s.On(role) {
		return listener
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion: minVersion(role),
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(role)
		},
	})
}

// serverConfig is made for each connection, so that it takes what was read last.
func (s *Store) serverConfig(role Role) (*tls.Config, error) {
	m := s.current[role].Load()
	if m.certificate == nil {
		return nil, fmt.Errorf("meeting a client as %s: %w", role, errOff)
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

// Dialer wraps a dialer for peers or endpoints: connections are given out
// after the handshake. It checks that the other side's certificate is signed
// by the role's authority and names the address that was dialled. A role that
// is switched off gives the dialer back as it is.
func (s *Store) Dialer(role Role, dialer core.Dialer) core.Dialer {
	if !s.On(role) {
		return dialer
	}
	return &tlsDialer{store: s, role: role, dialer: dialer}
}

type tlsDialer struct {
	store  *Store
	role   Role
	dialer core.Dialer
}

// DialContext dials and shakes hands within ctx.
func (d *tlsDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("dialling as %s: %w", d.role, err)
	}
	connection, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dialling as %s: %w", d.role, err)
	}
	secured := tls.Client(connection, d.store.clientConfig(d.role, host))
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = connection.Close() // the handshake's error says more
		return nil, fmt.Errorf("shaking hands with %s as %s: %w", address, d.role, err)
	}
	return secured, nil
}

func (s *Store) clientConfig(role Role, host string) *tls.Config {
	m := s.current[role].Load()
	config := &tls.Config{MinVersion: minVersion(role), ServerName: host, RootCAs: m.authority}
	if m.certificate != nil {
		config.Certificates = []tls.Certificate{*m.certificate}
	}
	return config
}
