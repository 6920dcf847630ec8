package local

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/versn/table"
)

const (
	_routesName      = "routes"
	_outPrefix       = "out/"
	_endpointsPrefix = "endpoints/"
	// _pollInterval is how often Watch checks the file for changes.
	_pollInterval = 200 * time.Millisecond
)

// Store presents a file's content as documents: the routes, the data centres out of
// service and the endpoints. Their revision rises with each change of the file.
type Store struct {
	path string

	mu       sync.Mutex
	text     string
	site     *Site
	revision uint64
}

var _ core.DocumentStore = (*Store)(nil)

// Open reads a file and returns a store that follows its changes.
func Open(path string) (*Store, *Site, error) {
	s := &Store{path: path}
	if err := s.refresh(); err != nil {
		return nil, nil, err
	}
	return s, s.site, nil
}

// refresh reads the file again. If the file is invalid, the last valid content stays
// in force.
func (s *Store) refresh() error {
	text, err := os.ReadFile(s.path)
	if err != nil {
		return fmt.Errorf("read the site's file: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(text) == s.text {
		return nil
	}
	site, err := Parse(s.path, text)
	if err != nil {
		return err
	}
	// Revisions use the clock, so that they also rise from one process to the next.
	s.revision = max(s.revision+1, uint64(time.Now().UnixMilli()))
	site.Source.Version = s.revision
	s.text, s.site = string(text), site
	return nil
}

// List returns all documents.
func (s *Store) List(context.Context) (core.Documents, error) {
	if err := s.refresh(); err != nil {
		return core.Documents{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := core.Documents{AsOf: s.revision}
	add := func(name string, value []byte) {
		out.Documents = append(out.Documents, core.Document{Name: name, Revision: s.revision, Value: value})
	}
	add(_routesName, []byte(s.text))
	for _, dataCentre := range s.site.OutOfService {
		add(_outPrefix+string(dataCentre), nil)
	}
	for _, e := range s.site.Endpoints {
		value, err := json.Marshal(e)
		if err != nil {
			return core.Documents{}, fmt.Errorf("encode endpoint %s: %w", e.ID, err)
		}
		add(_endpointsPrefix+e.ID, value)
	}
	return out, nil
}

// Watch waits for the file to change. It reports a change as ErrHistoryLost, so that
// the caller lists all documents again.
func (s *Store) Watch(ctx context.Context, after uint64, wait time.Duration) (core.Documents, error) {
	deadline := time.Now().Add(wait)
	for {
		if err := s.refresh(); err != nil {
			return core.Documents{}, err
		}
		revision := mutex.Get(&s.mu, func() uint64 { return s.revision })
		if revision > after {
			return core.Documents{}, core.ErrHistoryLost
		}
		if !time.Now().Before(deadline) {
			return core.Documents{AsOf: revision}, nil
		}
		select {
		case <-ctx.Done():
			return core.Documents{}, fmt.Errorf("watch the site's file: %w", ctx.Err())
		case <-time.After(_pollInterval):
		}
	}
}

// Decode decodes a document of a Store.
func Decode(document core.Document) (know.Content, error) {
	if dataCentre, ok := strings.CutPrefix(document.Name, _outPrefix); ok {
		return know.Content{OutOfService: core.DataCentreName(dataCentre)}, nil
	}
	if document.Deleted {
		return know.Content{}, nil
	}
	if id, ok := strings.CutPrefix(document.Name, _endpointsPrefix); ok {
		var e core.RoutedEndpoint
		if err := json.Unmarshal(document.Value, &e); err != nil {
			return know.Content{}, fmt.Errorf("decode endpoint %s: %w", id, err)
		}
		return know.Content{Endpoint: &e}, nil
	}
	site, err := Parse(document.Name, document.Value)
	if err != nil {
		return know.Content{}, err
	}
	site.Source.Version = document.Revision
	built, err := table.Build(site.Source)
	if err != nil {
		return know.Content{}, fmt.Errorf("build the routing table: %w", err)
	}
	return know.Content{Table: built}, nil
}
