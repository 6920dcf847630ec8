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

// Virtual time starts in 2000.
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

// sign gives a certificate for an address, and its key, as PEM texts.
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

// folder is a directory in memory.
type folder struct {
	mu    sync.Mutex
	files map[string][]byte
}

func (f *folder) read(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, found := f.files[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	return text, nil
}

func (f *folder) write(name string, text []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name] = text
}

// newFolder holds the files of a host at an address.
func newFolder(t *testing.T, a *authority, address string) *folder {
	t.Helper()
	certificate, key := a.sign(t, address, 2)
	return &folder{files: map[string][]byte{"host.pem": certificate, "host.key": key, "authority.pem": a.pem}}
}

var _all = core.TLS{
	CallerCertificate: "host.pem", CallerKey: "host.key",
	PeerCertificate: "host.pem", PeerKey: "host.key", PeerAuthority: "authority.pem",
	EndpointAuthority: "authority.pem", EndpointCertificate: "host.pem", EndpointKey: "host.key",
}

func newStore(t *testing.T, f *folder, settings core.TLS) *certs.Store {
	t.Helper()
	store, err := certs.New(settings, f.read, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// meet has a client's store dial a server's store and exchange a byte. It
// gives the client's view of the connection. It is called in a bubble.
func meet(t *testing.T, network *memnet.Network, role certs.Role, server, client *certs.Store) (tls.ConnectionState, error) {
	t.Helper()
	inner, err := network.Listen("tcp", "10.0.0.1:7443")
	if err != nil {
		t.Fatal(err)
	}
	listener := server.Listen(role, inner)
	served := make(chan struct{})
	defer func() {
		_ = listener.Close()
		<-served // a bubble's time stops with its test, and would hold the server
	}()
	go func() {
		defer close(served)
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = accepted.Write([]byte{1}) // fails when the handshake does
		_ = accepted.Close()
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	connection, err := client.Dialer(role, network.Dialer("10.0.0.2")).DialContext(ctx, "tcp", "10.0.0.1:7443")
	if err != nil {
		return tls.ConnectionState{}, err
	}
	defer func() { _ = connection.Close() }()
	// With TLS 1.3 a refused client learns of it at its first read.
	if _, err := io.ReadFull(connection, make([]byte, 1)); err != nil {
		return tls.ConnectionState{}, err
	}
	secured, isTLS := connection.(*tls.Conn)
	if !isTLS {
		return tls.ConnectionState{}, nil
	}
	return secured.ConnectionState(), nil
}

func TestPeersShowCertificatesToEachOther(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	for _, test := range []struct {
		name           string
		server, client *folder
		fails          bool
	}{
		{name: "both of the authority", server: newFolder(t, ours, "10.0.0.1"), client: newFolder(t, ours, "10.0.0.2")},
		{name: "server of another authority", server: newFolder(t, theirs, "10.0.0.1"), client: newFolder(t, ours, "10.0.0.2"), fails: true},
		{name: "client of another authority", server: newFolder(t, ours, "10.0.0.1"), client: withAuthority(newFolder(t, theirs, "10.0.0.2"), ours), fails: true},
		{name: "server of another address", server: newFolder(t, ours, "10.0.0.7"), client: newFolder(t, ours, "10.0.0.2"), fails: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, err := meet(t, memnet.New(time.Millisecond), certs.RolePeer, newStore(t, test.server, _all), newStore(t, test.client, _all))
				if failed := err != nil; failed != test.fails {
					t.Errorf("got %v, want a failure: %t", err, test.fails)
				}
			})
		})
	}
}

func withAuthority(f *folder, a *authority) *folder {
	f.write("authority.pem", a.pem)
	return f
}

func TestPeerWithoutCertificateIsRefused(t *testing.T) {
	ours := newAuthority(t)
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		server := newStore(t, newFolder(t, ours, "10.0.0.1"), _all)
		client := newStore(t, newFolder(t, ours, "10.0.0.2"), core.TLS{PeerAuthority: "authority.pem"})
		if _, err := meet(t, network, certs.RolePeer, server, client); err == nil {
			t.Error("a client without certificate is let in")
		}
	})
}

func TestSwitchedOffGivesPlainConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		off := newStore(t, &folder{}, core.TLS{})
		state, err := meet(t, memnet.New(time.Millisecond), certs.RolePeer, off, off)
		if err != nil || state.HandshakeComplete {
			t.Errorf("got %v, %v", state, err)
		}
		if len(off.Expiries()) != 0 {
			t.Errorf("got %v", off.Expiries())
		}
	})
}

// TestSwitchingOn switches TLS on for two hosts that run, and then for one
// whose files are missing: it must not go on in plain text.
func TestSwitchingOn(t *testing.T) {
	ours := newAuthority(t)
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		server := newStore(t, newFolder(t, ours, "10.0.0.1"), core.TLS{})
		client := newStore(t, newFolder(t, ours, "10.0.0.2"), core.TLS{})
		bare := newStore(t, &folder{}, core.TLS{})
		for _, store := range []*certs.Store{server, client} {
			if changed, err := store.Apply(_all); err != nil || !changed {
				t.Fatalf("changed %t, %v", changed, err)
			}
		}
		expectSerial(t, network, server, client, 2)
		if changed, err := client.Apply(_all); err != nil || changed {
			t.Errorf("the same settings again: changed %t, %v", changed, err)
		}
		if _, err := bare.Apply(_all); err == nil {
			t.Error("missing files are accepted")
		}
		if _, err := meet(t, network, certs.RolePeer, server, bare); err == nil {
			t.Error("a client without files is let in")
		}
		if _, err := meet(t, network, certs.RolePeer, bare, client); err == nil {
			t.Error("a server without files is trusted")
		}
	})
}

// TestFilesAreReadAgain renews a certificate, then spoils it, under Watch.
func TestFilesAreReadAgain(t *testing.T) {
	ours := newAuthority(t)
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		files := newFolder(t, ours, "10.0.0.1")
		var lines []string
		logger := funcr.New(func(prefix, arguments string) { lines = append(lines, prefix+" "+arguments) }, funcr.Options{})
		server, err := certs.New(_all, files.read, logger)
		if err != nil {
			t.Fatal(err)
		}
		client := newStore(t, newFolder(t, ours, "10.0.0.2"), _all)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go server.Watch(ctx, time.Minute)
		expectSerial(t, network, server, client, 2)

		certificate, key := ours.sign(t, "10.0.0.1", 3)
		files.write("host.pem", certificate)
		files.write("host.key", key)
		time.Sleep(90 * time.Second)
		expectSerial(t, network, server, client, 3)

		files.write("host.pem", []byte("spoiled"))
		time.Sleep(5 * time.Minute)
		expectSerial(t, network, server, client, 3)
		if len(lines) != 2 || !strings.Contains(lines[0], "read again") || !strings.Contains(lines[1], "cannot be used") {
			t.Errorf("got the log %q", lines)
		}
	})
}

func expectSerial(t *testing.T, network *memnet.Network, server, client *certs.Store, serial int64) {
	t.Helper()
	for _, role := range []certs.Role{certs.RolePeer, certs.RoleEndpoint} {
		state, err := meet(t, network, role, server, client)
		if err != nil {
			t.Fatal(err)
		}
		if got := state.PeerCertificates[0].SerialNumber.Int64(); got != serial {
			t.Errorf("%s shows certificate %d, want %d", role, got, serial)
		}
	}
}

func TestFaultyFiles(t *testing.T) {
	ours := newAuthority(t)
	for name, spoil := range map[string]func(*folder){
		"host.pem":      func(f *folder) { f.write("host.pem", []byte("x")) },
		"host.key":      func(f *folder) { delete(f.files, "host.key") },
		"authority.pem": func(f *folder) { f.write("authority.pem", nil) },
		"other key": func(f *folder) {
			_, key := ours.sign(t, "10.0.0.1", 4)
			f.write("host.key", key)
		},
	} {
		files := newFolder(t, ours, "10.0.0.1")
		spoil(files)
		_, err := certs.New(_all, files.read, logr.Discard())
		var fault *certs.FileError
		if !errors.As(err, &fault) {
			t.Errorf("%s: got %v, want a *FileError", name, err)
		}
	}
}
