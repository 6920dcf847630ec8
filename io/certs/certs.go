// Package certs provides TLS for callers, between hosts and towards endpoints.
// Certificates and keys are files that the configuration names; they are read
// at start and again when they change, without dropping a connection: each new
// connection takes what was read last.
//
// A file that cannot be used changes nothing: the last good certificates stay
// in use, and the fault is logged. Where TLS is asked for and no good files were
// ever read, connections fail: they never fall back to plain ones.
package certs

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
)

// RereadInterval is how often a host looks for changed files.
const RereadInterval = 30 * time.Second

// ReadFile reads a file whole; os.ReadFile in a real process.
type ReadFile func(name string) ([]byte, error)

// FileError tells which file cannot be used, and what to do about it.
type FileError struct {
	File   string
	Remedy string
	Err    error
}

// Error gives "peer.pem: holds no certificate: name a PEM file".
func (e *FileError) Error() string {
	return fmt.Sprintf("%s: %v: %s", e.File, e.Err, e.Remedy)
}

// Unwrap gives the error within.
func (e *FileError) Unwrap() error { return e.Err }

var errNoCertificate = errors.New("holds no certificate")

// Role is a use of TLS.
type Role uint8

// Roles.
const (
	RoleCaller   Role = iota // this host towards its callers
	RolePeer                 // this host towards other hosts, in both directions
	RoleEndpoint             // this host as a client of endpoints
	_roles
)

// String names the role as the settings' keys do.
func (r Role) String() string { return [...]string{"Caller", "Peer", "Endpoint"}[r] }

// names are the files of one role; an empty name is left out.
type names struct {
	Certificate string
	Key         string
	Authority   string
}

func namesOf(settings core.TLS, role Role) names {
	switch role {
	case RoleCaller:
		return names{Certificate: settings.CallerCertificate, Key: settings.CallerKey}
	case RolePeer:
		return names{Certificate: settings.PeerCertificate, Key: settings.PeerKey, Authority: settings.PeerAuthority}
	default:
		return names{Certificate: settings.EndpointCertificate, Key: settings.EndpointKey, Authority: settings.EndpointAuthority}
	}
}

// material is what was read for one role. It is never written after reading.
type material struct {
	names       names
	texts       [3][]byte
	certificate *tls.Certificate // nil: none to show
	authority   *x509.CertPool   // nil: none to check against
	fault       error            // why there is nothing to use although TLS is asked for
}

// on tells whether TLS is asked for.
func (m *material) on() bool { return m.names != names{} }

// Store holds the certificates in use. It is safe for concurrent use.
type Store struct {
	read   ReadFile
	logger logr.Logger
	// mu serialises reading; users of current take no lock.
	mu       sync.Mutex
	settings core.TLS
	current  [_roles]atomic.Pointer[material]
}

// New reads all files that the settings name. An error is a *FileError, or
// several of them joined.
func New(settings core.TLS, read ReadFile, logger logr.Logger) (*Store, error) {
	s := &Store{read: read, logger: logger.WithName("certs")}
	if _, err := s.Apply(settings); err != nil {
		return nil, err
	}
	return s, nil
}

// Apply takes other settings over and reads the files anew. It reports whether
// anything changed. A role whose files cannot be used keeps what it had, and
// keeps its old files' names until a later Apply or Reload succeeds.
func (s *Store) Apply(settings core.TLS) (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	return s.reload()
}

// Reload reads the files again.
func (s *Store) Reload() (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reload()
}

// reload is called with mu held.
func (s *Store) reload() (changed bool, err error) {
	var faults []error
	for role := range _roles {
		before := s.current[role].Load()
		read, err := s.readRole(namesOf(s.settings, role))
		if err != nil {
			err = fmt.Errorf("reading the files of %s: %w", role, err)
			faults = append(faults, err)
			if before == nil || !before.on() {
				s.current[role].Store(&material{names: namesOf(s.settings, role), fault: err})
			}
			continue
		}
		if before != nil && before.fault == nil && before.names == read.names && equalTexts(before.texts, read.texts) {
			continue
		}
		s.current[role].Store(read)
		changed = true
	}
	return changed, errors.Join(faults...)
}

func equalTexts(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

func (s *Store) readRole(files names) (*material, error) {
	m := &material{names: files}
	for i, name := range []string{files.Certificate, files.Key, files.Authority} {
		if name == "" {
			continue
		}
		text, err := s.read(name)
		if err != nil {
			return nil, &FileError{File: name, Remedy: "create the file, or correct its name in [TLS]", Err: err}
		}
		m.texts[i] = text
	}
	if files.Certificate != "" {
		certificate, err := tls.X509KeyPair(m.texts[0], m.texts[1])
		if err != nil {
			return nil, &FileError{File: files.Certificate, Remedy: "name a PEM certificate and the key that belongs to it", Err: err}
		}
		m.certificate = &certificate
	}
	if files.Authority != "" {
		m.authority = x509.NewCertPool()
		if !m.authority.AppendCertsFromPEM(m.texts[2]) {
			return nil, &FileError{File: files.Authority, Remedy: "name a PEM file with the authority's certificates", Err: errNoCertificate}
		}
	}
	return m, nil
}

// Watch reads the files again at each interval until ctx ends. While a file
// stays faulty the fault is logged once.
func (s *Store) Watch(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	logged := ""
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		changed, err := s.Reload()
		if changed {
			s.logger.Info("Certificates were read again.")
		}
		text := ""
		if err != nil {
			text = err.Error()
		}
		if text != "" && text != logged {
			s.logger.Error(err, "Certificates cannot be used. The last good ones stay in use.")
		}
		logged = text
	}
}

// On tells whether a role uses TLS.
func (s *Store) On(role Role) bool { return s.current[role].Load().on() }

// Expiry is when a role's certificate ends.
type Expiry struct {
	Role     string
	NotAfter time.Time
}

// Expiries lists the certificates in use, for /statusz.
func (s *Store) Expiries() []Expiry {
	var result []Expiry
	for role := range _roles {
		if m := s.current[role].Load(); m.certificate != nil {
			result = append(result, Expiry{Role: role.String(), NotAfter: m.certificate.Leaf.NotAfter})
		}
	}
	return result
}
