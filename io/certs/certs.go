// Package certs provides TLS for connections from callers, between hosts and to
// endpoints. The configuration names the certificate and key files. They are
// loaded at start and reloaded when they change. Open connections are kept; each
// new connection uses the files as last loaded.
//
// When a file cannot be used, the last valid certificates stay in use and the
// error is logged. Where TLS is configured but no valid files were ever loaded,
// connections fail: they never fall back to plain text.
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

// ReloadInterval is how often a host checks for changed files.
const ReloadInterval = 30 * time.Second

// ReadFile reads a whole file. Production code passes os.ReadFile.
type ReadFile func(name string) ([]byte, error)

// FileError reports a file that cannot be used, and how to correct it.
type FileError struct {
	File   string
	Remedy string
	Err    error
}

// Error returns text such as "peer.pem: holds no certificate: name a PEM file".
func (e *FileError) Error() string {
	return fmt.Sprintf("%s: %v: %s", e.File, e.Err, e.Remedy)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

var errNoCertificate = errors.New("holds no certificate")

// Role is one of the uses of TLS. Each has its own files.
type Role uint8

// Roles.
const (
	RoleCaller   Role = iota // this host as the server of its callers
	RolePeer                 // this host as the server and client of other hosts
	RoleEndpoint             // this host as a client of endpoints
	_roleCount
)

// String returns the prefix of the role's keys in the settings.
func (r Role) String() string { return [...]string{"Caller", "Peer", "Endpoint"}[r] }

// fileNames are the files of one role. An empty name stands for no file.
type fileNames struct {
	Certificate string
	Key         string
	Authority   string
}

func fileNamesFor(settings core.TLS, role Role) fileNames {
	switch role {
	case RoleCaller:
		return fileNames{Certificate: settings.CallerCertificate, Key: settings.CallerKey}
	case RolePeer:
		return fileNames{Certificate: settings.PeerCertificate, Key: settings.PeerKey, Authority: settings.PeerAuthority}
	default:
		return fileNames{Certificate: settings.EndpointCertificate, Key: settings.EndpointKey, Authority: settings.EndpointAuthority}
	}
}

// credentials holds the loaded files of one role. It is not modified once stored.
type credentials struct {
	fileNames   fileNames
	contents    [3][]byte
	certificate *tls.Certificate // nil when the role has no certificate file
	authority   *x509.CertPool   // nil when the role has no authority file
	loadErr     error            // why TLS is configured but has no usable files; connections fail with it
}

// enabled reports whether TLS is configured for the role.
func (c *credentials) enabled() bool { return c.fileNames != fileNames{} }

// Store holds the certificates in use. It is safe for concurrent use.
type Store struct {
	read   ReadFile
	logger logr.Logger
	// mu serialises loading. Readers of current take no lock.
	mu       sync.Mutex
	settings core.TLS
	current  [_roleCount]atomic.Pointer[credentials]
}

// New loads all files that the settings name. The error joins a *FileError for
// each role whose files cannot be used.
func New(settings core.TLS, read ReadFile, logger logr.Logger) (*Store, error) {
	s := &Store{read: read, logger: logger.WithName("certs")}
	if _, err := s.Apply(settings); err != nil {
		return nil, err
	}
	return s, nil
}

// Apply replaces the settings, loads the files and reports whether anything
// changed. A role whose new files cannot be used keeps its previous credentials
// until a later Apply or Reload succeeds. If it had none, because TLS was
// disabled for it, its new connections fail until then.
func (s *Store) Apply(settings core.TLS) (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	return s.reload()
}

// Reload loads the files again and reports whether anything changed.
func (s *Store) Reload() (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reload()
}

// reload loads the files of all roles. The caller holds mu.
func (s *Store) reload() (changed bool, err error) {
	var errs []error
	for role := range _roleCount {
		previous := s.current[role].Load()
		loaded, err := s.readRole(fileNamesFor(s.settings, role))
		if err != nil {
			err = fmt.Errorf("reading the TLS files of role %s: %w", role, err)
			errs = append(errs, err)
			if previous == nil || !previous.enabled() {
				s.current[role].Store(&credentials{fileNames: fileNamesFor(s.settings, role), loadErr: err})
			}
			continue
		}
		if previous != nil && previous.loadErr == nil && previous.fileNames == loaded.fileNames && equalContents(previous.contents, loaded.contents) {
			continue
		}
		s.current[role].Store(loaded)
		changed = true
	}
	return changed, errors.Join(errs...)
}

func equalContents(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

func (s *Store) readRole(files fileNames) (*credentials, error) {
	c := &credentials{fileNames: files}
	for i, name := range []string{files.Certificate, files.Key, files.Authority} {
		if name == "" {
			continue
		}
		content, err := s.read(name)
		if err != nil {
			return nil, &FileError{File: name, Remedy: "create the file, or correct its name in [TLS]", Err: err}
		}
		c.contents[i] = content
	}
	if files.Certificate != "" {
		certificate, err := tls.X509KeyPair(c.contents[0], c.contents[1])
		if err != nil {
			return nil, &FileError{File: files.Certificate, Remedy: "name a PEM certificate and the key that belongs to it", Err: err}
		}
		c.certificate = &certificate
	}
	if files.Authority != "" {
		c.authority = x509.NewCertPool()
		if !c.authority.AppendCertsFromPEM(c.contents[2]) {
			return nil, &FileError{File: files.Authority, Remedy: "name a PEM file with the authority's certificates", Err: errNoCertificate}
		}
	}
	return c, nil
}

// Watch reloads the files at each interval until ctx ends. An error that repeats
// unchanged is logged once.
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
			s.logger.Info("Certificates were reloaded.")
		}
		message := ""
		if err != nil {
			message = err.Error()
		}
		if message != "" && message != logged {
			s.logger.Error(err, "Certificates cannot be used. The last good ones stay in use.")
		}
		logged = message
	}
}

// Enabled reports whether a role uses TLS.
func (s *Store) Enabled(role Role) bool { return s.current[role].Load().enabled() }

// Expiry is when a role's certificate expires.
type Expiry struct {
	Role     string
	NotAfter time.Time
}

// Expiries returns the expiry of each certificate in use, for /statusz.
func (s *Store) Expiries() []Expiry {
	var result []Expiry
	for role := range _roleCount {
		if c := s.current[role].Load(); c.certificate != nil {
			result = append(result, Expiry{Role: role.String(), NotAfter: c.certificate.Leaf.NotAfter})
		}
	}
	return result
}
