package certs_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"io/fs"
	"math/big"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"apricotproxy/core"
	"apricotproxy/fakes/memnet"
	"apricotproxy/io/certs"
)

// Certificates must be valid in the virtual time of synctest, which starts in 2000.
var (
	_notBefore = time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC)
	_notAfter  = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
)

// authority signs certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: _notBefore, NotAfter: _notAfter,
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{certificate: certificate, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// sign returns a certificate for an address and its key, both PEM encoded.
func (a *authority) sign(t *testing.T, address string, serial int64) (certificate, key []byte) {
	t.Helper()
	own := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.ParseIP(address)},
		NotBefore: _notBefore, NotAfter: _notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, own.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(own)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded})
}

// memoryDir is a directory in memory.
type memoryDir struct {
	mu    sync.Mutex
	files map[string][]byte
}

func (f *memoryDir) read(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, found := f.files[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	return text, nil
}

func (f *memoryDir) write(name string, text []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name] = text
}

// newHostDir returns a directory with the files of a host at an address.
func newHostDir(t *testing.T, a *authority, address string) *memoryDir {
	t.Helper()
	certificate, key := a.sign(t, address, 2)
	return &memoryDir{files: map[string][]byte{"host.pem": certificate, "host.key": key, "authority.pem": a.pem}}
}

var _allFiles = core.TLS{
	CallerCertificate: "host.pem", CallerKey: "host.key",
	PeerCertificate: "host.pem", PeerKey: "host.key", PeerAuthority: "authority.pem",
	EndpointAuthority: "authority.pem", EndpointCertificate: "host.pem", EndpointKey: "host.key",
}

func newStore(t *testing.T, f *memoryDir, settings core.TLS) *certs.Store {
	t.Helper()
	store, err := certs.New(settings, f.read, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// connect has a client's store dial a server's store and receive one byte. It
// returns the client's view of the connection. The caller runs in a synctest
// bubble.
func connect(t *testing.T, network *memnet.Network, role certs.Role, server, client *certs.Store) (tls.ConnectionState, error) {
	t.Helper()
	inner, err := network.Listen("tcp", "10.0.0.1:7443")
	if err != nil {
		t.Fatal(err)
	}
	listener := server.Listen(role, inner)
	served := make(chan struct{})
	defer func() {
		_ = listener.Close()
		<-served // the server's goroutine must end before the bubble does
	}()
	go func() {
		defer close(served)
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = accepted.Write([]byte{1}) // fails if the handshake fails
		_ = accepted.Close()
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	connection, err := client.Dialer(role, network.Dialer("10.0.0.2")).DialContext(ctx, "tcp", "10.0.0.1:7443")
	if err != nil {
		return tls.ConnectionState{}, err
	}
	defer func() { _ = connection.Close() }()
	// With TLS 1.3 a client that the server rejects sees the error at its first read.
	if _, err := io.ReadFull(connection, make([]byte, 1)); err != nil {
		return tls.ConnectionState{}, err
	}
	secured, isTLS := connection.(*tls.Conn)
	if !isTLS {
		return tls.ConnectionState{}, nil
	}
	return secured.ConnectionState(), nil
}

func TestPeersAuthenticateEachOther(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	for _, test := range []struct {
		name           string
		server, client *memoryDir
		wantErr        bool
	}{
		{name: "same authority", server: newHostDir(t, ours, "10.0.0.1"), client: newHostDir(t, ours, "10.0.0.2")},
		{name: "server certificate of another authority", server: newHostDir(t, theirs, "10.0.0.1"), client: newHostDir(t, ours, "10.0.0.2"), wantErr: true},
		{name: "client certificate of another authority", server: newHostDir(t, ours, "10.0.0.1"), client: withAuthority(newHostDir(t, theirs, "10.0.0.2"), ours), wantErr: true},
		{name: "server certificate for another address", server: newHostDir(t, ours, "10.0.0.7"), client: newHostDir(t, ours, "10.0.0.2"), wantErr: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, err := connect(t, memnet.New(time.Millisecond), certs.RolePeer, newStore(t, test.server, _allFiles), newStore(t, test.client, _allFiles))
				if failed := err != nil; failed != test.wantErr {
					t.Errorf("got error %v, want an error: %t", err, test.wantErr)
				}
			})
		})
	}
}

func withAuthority(f *memoryDir, a *authority) *memoryDir {
	f.write("authority.pem", a.pem)
	return f
}

func TestPeerWithoutCertificateIsRefused(t *testing.T) {
	ours := newAuthority(t)
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		server := newStore(t, newHostDir(t, ours, "10.0.0.1"), _allFiles)
		client := newStore(t, newHostDir(t, ours, "10.0.0.2"), core.TLS{PeerAuthority: "authority.pem"})
		if _, err := connect(t, network, certs.RolePeer, server, client); err == nil {
			t.Error("a client without a certificate is accepted")
		}
	})
}

func TestDisabledTLSUsesPlainConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		off := newStore(t, &memoryDir{}, core.TLS{})
		state, err := connect(t, memnet.New(time.Millisecond), certs.RolePeer, off, off)
		if err != nil || state.HandshakeComplete {
			t.Errorf("got %v, %v", state, err)
		}
		if len(off.Expiries()) != 0 {
			t.Errorf("got %v", off.Expiries())
		}
	})
}

// TestEnableTLSWhileRunning enables TLS on two running hosts, and then on one whose
// files are missing: that one must not continue in plain text.
func TestEnableTLSWhileRunning(t *testing.T) {
	ours := newAuthority(t)
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		server := newStore(t, newHostDir(t, ours, "10.0.0.1"), core.TLS{})
		client := newStore(t, newHostDir(t, ours, "10.0.0.2"), core.TLS{})
		withoutFiles := newStore(t, &memoryDir{}, core.TLS{})
		for _, store := range []*certs.Store{server, client} {
			if changed, err := store.Apply(_allFiles); err != nil || !changed {
				t.Fatalf("changed %t, %v", changed, err)
			}
		}
		expectSerial(t, network, server, client, 2)
		if changed, err := client.Apply(_allFiles); err != nil || changed {
			t.Errorf("same settings applied again: changed %t, %v", changed, err)
		}
		if _, err := withoutFiles.Apply(_allFiles); err == nil {
			t.Error("missing files are accepted")
		}
		if _, err := connect(t, network, certs.RolePeer, server, withoutFiles); err == nil {
			t.Error("a client without files is accepted")
		}
		if _, err := connect(t, network, certs.RolePeer, withoutFiles, client); err == nil {
			t.Error("a server without files is accepted")
		}
	})
}

// TestWatchReloadsChangedFiles replaces a certificate with a new one, then with an
// invalid one: the last valid certificate stays in use.
func TestWatchReloadsChangedFiles(t *testing.T) {
	ours := newAuthority(t)
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		files := newHostDir(t, ours, "10.0.0.1")
		var lines []string
		logger := funcr.New(func(prefix, arguments string) { lines = append(lines, prefix+" "+arguments) }, funcr.Options{})
		server, err := certs.New(_allFiles, files.read, logger)
		if err != nil {
			t.Fatal(err)
		}
		client := newStore(t, newHostDir(t, ours, "10.0.0.2"), _allFiles)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go server.Watch(ctx, time.Minute)
		expectSerial(t, network, server, client, 2)

		certificate, key := ours.sign(t, "10.0.0.1", 3)
		files.write("host.pem", certificate)
		files.write("host.key", key)
		time.Sleep(90 * time.Second)
		expectSerial(t, network, server, client, 3)

		files.write("host.pem", []byte("not a certificate"))
		time.Sleep(5 * time.Minute)
		expectSerial(t, network, server, client, 3)
		if len(lines) != 2 || !strings.Contains(lines[0], "reloaded") || !strings.Contains(lines[1], "cannot be used") {
			t.Errorf("got log lines %q", lines)
		}
	})
}

func expectSerial(t *testing.T, network *memnet.Network, server, client *certs.Store, serial int64) {
	t.Helper()
	for _, role := range []certs.Role{certs.RolePeer, certs.RoleEndpoint} {
		state, err := connect(t, network, role, server, client)
		if err != nil {
			t.Fatal(err)
		}
		if got := state.PeerCertificates[0].SerialNumber.Int64(); got != serial {
			t.Errorf("%s presents certificate %d, want %d", role, got, serial)
		}
	}
}

func TestUnusableFiles(t *testing.T) {
	ours := newAuthority(t)
	for name, corrupt := range map[string]func(*memoryDir){
		"host.pem":      func(f *memoryDir) { f.write("host.pem", []byte("x")) },
		"host.key":      func(f *memoryDir) { delete(f.files, "host.key") },
		"authority.pem": func(f *memoryDir) { f.write("authority.pem", nil) },
		"other key": func(f *memoryDir) {
			_, key := ours.sign(t, "10.0.0.1", 4)
			f.write("host.key", key)
		},
	} {
		files := newHostDir(t, ours, "10.0.0.1")
		corrupt(files)
		_, err := certs.New(_allFiles, files.read, logr.Discard())
		var fileErr *certs.FileError
		if !errors.As(err, &fileErr) {
			t.Errorf("%s: got %v, want a *FileError", name, err)
		}
	}
}
