// Package platf is a fake of the platform: its configuration service, its host
// list, which lags, and the published rate of its weight store. It speaks the
// protocol of docs/platform.md.
package platf

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"apricotproxy/core"
)

// WatchTimeout is how long a watch waits for a newer version.
const WatchTimeout = 30 * time.Second

// Config sets the behaviour of the platform.
type Config struct {
	ReadsPerSecond float64       // rate limit of the configuration service; 0 for none
	ListLag        time.Duration // after which a change of the host list is visible
	LoadsPerMinute float64       // published as the weight store's rate
}

// entry holds the value of one key of the configuration service.
type entry struct {
	value   []byte
	version uint64
	// changed is closed when the entry changes.
	changed chan struct{}
	// before is the value that the current one replaced.
	before pinnedEntry
	// pinned is served instead of the current value if it is not nil.
	pinned *pinnedEntry
}

type pinnedEntry struct {
	value   []byte
	version uint64
}

// listing is one version of the host list.
type listing struct {
	at    time.Time // when it was set
	hosts []core.ListedHost
}

// Platform is a fake platform. It is safe for concurrent use.
type Platform struct {
	config Config
	mux    *http.ServeMux

	// mu guards the fields below.
	mu       sync.Mutex
	entries  map[string]*entry
	down     bool
	calls    int
	watching int
	refused  int
	tokens   float64   // of the rate limit's token bucket
	tokensAt time.Time // when tokens was last refilled
	listings []listing // oldest first
}

// New returns a platform without values and without hosts.
func New(config Config) *Platform {
	p := &Platform{
		config:   config,
		mux:      http.NewServeMux(),
		entries:  map[string]*entry{},
		tokens:   config.ReadsPerSecond,
		tokensAt: time.Now(),
		listings: []listing{{at: time.Now()}},
	}
	p.mux.HandleFunc("GET /v1/config/{key...}", p.serveConfig)
	p.mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	p.mux.HandleFunc("GET /v1/weights", p.serveWeights)
	return p
}

// ServeHTTP serves one request. While the platform is down, it breaks the
// connection.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	down := p.down
	p.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	p.mux.ServeHTTP(w, r)
}

// Publish sets the value of a key and raises its version.
func (p *Platform) Publish(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entry(key)
	e.before = pinnedEntry{value: e.value, version: e.version}
	e.value = value
	e.version++
	close(e.changed)
	e.changed = make(chan struct{})
}

// PublishBundle publishes a site's configuration.
func (p *Platform) PublishBundle(site core.SiteName, bundle core.Bundle) error {
	value, err := json.Marshal(bundle)
	if err != nil {
		return fmt.Errorf("encode the bundle: %w", err)
	}
	p.Publish("apricotproxy/"+string(site), value)
	return nil
}

// entry returns the entry of a key, which it creates if need be. It is called
// with mu held.
func (p *Platform) entry(key string) *entry {
	e, ok := p.entries[key]
	if !ok {
		e = &entry{changed: make(chan struct{})}
		p.entries[key] = e
	}
	return e
}

// SetDown takes the platform down or brings it up again. Going down breaks the
// connections of waiting watches.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	for _, e := range p.entries {
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// SetStale sets whether the configuration service keeps serving the values of
// this moment, whatever is published later. SetStale(false) makes it serve the
// newest values again.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.entries {
		e.pinned = nil
		if stale {
			e.pinned = &pinnedEntry{value: e.value, version: e.version}
		}
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// ServePrevious makes the configuration service serve the values that the current
// ones replaced, like a service restored from a backup. SetStale(false) makes it
// serve the newest values again.
func (p *Platform) ServePrevious() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.entries {
		old := e.before
		e.pinned = &old
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// SetHosts changes the host list; readers see it after the lag.
func (p *Platform) SetHosts(hosts []core.ListedHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listings = append(p.listings, listing{at: time.Now(), hosts: slices.Clone(hosts)})
}

// Calls returns the number of calls to the configuration service so far,
// refused ones included.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Watching returns the number of waiting watches.
func (p *Platform) Watching() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watching
}

// Refused returns the number of calls refused by the rate limit.
func (p *Platform) Refused() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// admit counts a call and reports whether the rate limit allows it.
func (p *Platform) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.config.ReadsPerSecond == 0 {
		return true
	}
	now := time.Now()
	p.tokens += now.Sub(p.tokensAt).Seconds() * p.config.ReadsPerSecond
	p.tokens = min(p.tokens, p.config.ReadsPerSecond)
	p.tokensAt = now
	if p.tokens < 1 {
		p.refused++
		return false
	}
	p.tokens--
	return true
}

func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request) {
	if !p.admit() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "above the rate", http.StatusTooManyRequests)
		return
	}
	key := r.PathValue("key")
	after := r.URL.Query().Get("After")
	if after == "" {
		p.writeValue(w, key, 0)
		return
	}
	version, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		http.Error(w, "After: expected a version", http.StatusBadRequest)
		return
	}
	p.awaitVersion(r, key, version)
	p.writeValue(w, key, version)
}

// awaitVersion waits until the key's version is above after, the watch times
// out, the platform goes down or the caller goes away.
func (p *Platform) awaitVersion(r *http.Request, key string, after uint64) {
	timeout := time.NewTimer(WatchTimeout)
	defer timeout.Stop()
	p.mu.Lock()
	p.watching++
	defer func() { p.watching--; p.mu.Unlock() }()
	for !p.down {
		_, version, changed := p.currentValue(key)
		if version > after {
			return
		}
		p.mu.Unlock()
		select {
		case <-changed:
			p.mu.Lock()
		case <-timeout.C:
			p.mu.Lock()
			return
		case <-r.Context().Done():
			p.mu.Lock()
			return
		}
	}
}

// currentValue returns the value and version to serve, and a channel that is
// closed when the entry changes. It is called with mu held.
func (p *Platform) currentValue(key string) ([]byte, uint64, <-chan struct{}) {
	e := p.entry(key)
	if e.pinned != nil {
		return e.pinned.value, e.pinned.version, e.changed
	}
	return e.value, e.version, e.changed
}

// writeValue answers with the key's value if its version is above after.
func (p *Platform) writeValue(w http.ResponseWriter, key string, after uint64) {
	p.mu.Lock()
	value, version, _ := p.currentValue(key)
	down := p.down
	p.mu.Unlock()
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case version == 0:
		http.Error(w, "no value", http.StatusNotFound)
	case version <= after:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("Version", strconv.FormatUint(version, 10))
		_, _ = w.Write(value) // fails only if the client has gone away
	}
}

type hostsBody struct {
	Hosts []core.ListedHost
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	now := time.Now()
	body := hostsBody{Hosts: []core.ListedHost{}}
	for _, l := range p.listings {
		if now.Sub(l.at) >= p.config.ListLag && l.hosts != nil {
			body.Hosts = l.hosts
		}
	}
	p.mu.Unlock()
	writeJSON(w, body)
}

type weightsBody struct {
	LoadsPerMinute float64
}

func (p *Platform) serveWeights(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, weightsBody{LoadsPerMinute: p.config.LoadsPerMinute})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has gone away
}
