// Package engine is a fake model engine, for tests and the demo. It speaks the
// protocol of docs/endpoints.md, produces deterministic tokens, has a limited
// memory, preempts generations when it is full, starts cold, and reports with a
// lag. It records everything that ran, so that a test can compare it with what
// callers received.
package engine

import (
	"net/http"
	"sync"
	"time"

	"apricotproxy/core"
)

// Config sets the behaviour of one engine.
type Config struct {
	Seed  uint64
	Model core.LoadedModel
	Role  string
	// TokenInterval is the time between two tokens of one generation while
	// the batch is small.
	TokenInterval time.Duration
	// BatchKnee is the number of running generations above which the interval
	// grows in proportion to their number; 0 keeps it constant.
	BatchKnee    int
	MaxRunning   int // generations in the batch
	MemoryTokens int64
	// ColdLimit is the maximum number of running and waiting generations of a cold
	// engine; those that arrived before it turned cold do not count. A generation
	// above the limit is recorded and crashes the engine.
	ColdLimit int
	// WarmAfter is the number of completions after which a cold engine is warm.
	WarmAfter int
	StartWarm bool
	// RestartAfter is the time from a crash to the restart; 0 for no automatic
	// restart.
	RestartAfter   time.Duration
	ReportLag      time.Duration // age of the state in reports
	CacheLag       time.Duration // after which a cache event is visible
	DropCacheEvery int           // every n-th cache event is dropped; 0 for none
	CachePrefixes  int           // prefixes that the cache holds
	ChecksFencing  bool          // refuses orders with an outdated fencing number
	LoadTime       time.Duration // of a model
	MeanTokens     int           // of generations whose prompt sets no length
	Retention      time.Duration // how long a completed generation can be resumed
}

// WithDefaults returns a copy in which fields that are zero and have a default
// are set to it.
func (c Config) WithDefaults() Config {
	setDefault(&c.TokenInterval, 27*time.Millisecond)
	setDefault(&c.MaxRunning, 64)
	setDefault(&c.MemoryTokens, 100_000)
	setDefault(&c.ColdLimit, 2)
	setDefault(&c.WarmAfter, 4)
	setDefault(&c.CachePrefixes, 1024)
	setDefault(&c.MeanTokens, 200)
	setDefault(&c.Retention, time.Minute)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Run records one generation that the engine accepted.
type Run struct {
	Generation  core.GenerationID
	Key         string // from the prompt's directive, as in "[[key=k]]"
	Prompt      string
	Workspace   string
	Incarnation core.Incarnation
	Started     time.Time
	Ended       time.Time
	Tokens      int
	Completed   bool
	Cancelled   bool
}

// ColdOverload records one generation that exceeded the cold limit.
type ColdOverload struct {
	At         time.Time
	ColdSince  time.Time
	Generation core.GenerationID
	Running    int // running and waiting generations that arrived since ColdSince, including this one
	Limit      int
}

// Order records one engine order that the engine received.
type Order struct {
	At      time.Time
	Order   core.EngineOrder
	Refused bool
}

// StreamFault is a fault injected into the open streams.
type StreamFault uint8

// Faults of open streams. New connections work in each case.
const (
	StreamHealthy StreamFault = iota
	StreamSilent              // nothing more is sent, and the connection stays open
	StreamCut                 // the connection breaks
)

// TokenFault is a fault injected into one token event.
type TokenFault uint8

// Faults of single tokens.
const (
	TokenHealthy TokenFault = iota
	TokenTwice              // the event is sent twice
	TokenMissing            // the event is not sent
	TokenForeign            // the event has the id of another generation
)

// Engine is a fake of one model engine. It is safe for concurrent use.
type Engine struct {
	config Config
	mux    *http.ServeMux

	// mu guards the fields below.
	mu          sync.Mutex
	down        bool
	leaving     bool
	incarnation core.Incarnation
	phase       core.Phase
	coldSince   time.Time
	completions int
	preemptions uint64
	fence       uint64
	models      []core.LoadedModel
	role        string

	generations map[core.GenerationID]*generation
	running     []*generation // in order of admission
	waiting     []*generation
	usedTokens  int64 // of the memory, by the running generations
	stepping    bool  // stepWhileBusy is running

	// streamEpoch counts the injected stream faults. streamFault is the latest
	// one; it applies to the streams opened in earlier epochs.
	streamEpoch int
	streamFault StreamFault
	// tokenFault applies to the next token that is sent.
	tokenFault TokenFault
	// failuresLeft is how many more starts are refused with failStatus.
	failuresLeft int
	failStatus   int

	reports   []timedReport
	cache     prefixCache
	runs      []*Run
	overloads []ColdOverload
	orders    []Order
}

// New returns an engine that is ready to serve.
func New(config Config) *Engine {
	config = config.WithDefaults()
	e := &Engine{
		config:      config,
		mux:         http.NewServeMux(),
		generations: map[core.GenerationID]*generation{},
		models:      []core.LoadedModel{config.Model},
		role:        config.Role,
	}
	e.mux.HandleFunc("POST /v1/completions", e.serveStart)
	e.mux.HandleFunc("GET /v1/completions/{generation}", e.serveResume)
	e.mux.HandleFunc("DELETE /v1/completions/{generation}", e.serveCancel)
	e.mux.HandleFunc("GET /v1/report", e.serveReport)
	e.mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /v1/engine-orders", e.serveOrder)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.start()
	if config.StartWarm {
		e.phase = core.PhaseWarm
		e.recordState()
	}
	return e
}

// ServeHTTP serves one request. After Kill or a crash it breaks the connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := e.down
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// start begins an incarnation. It is called with mu held.
func (e *Engine) start() {
	e.down = false
	e.incarnation++
	e.phase = core.PhaseCold
	e.coldSince = time.Now()
	e.completions = 0
	e.fence = 0
	e.reports = nil
	e.recordState()
}

// Kill simulates the end of the process: all generations are lost and their
// streams break.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
}

// kill is called with mu held.
func (e *Engine) kill() {
	e.down = true
	for _, g := range e.generations {
		g.lost = true
		g.end()
	}
	clear(e.generations)
	e.running, e.waiting, e.usedTokens = nil, nil, 0
	e.cache = prefixCache{}
}

// Restart starts a new incarnation, cold and empty, if the engine is down.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		e.start()
	}
}

// TurnCold makes a warm engine cold without warning.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.phase = core.PhaseCold
	e.coldSince = time.Now()
	e.completions = 0
	e.recordState()
}

// SetLeaving sets whether reports announce that the engine is being reclaimed.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.recordState()
}

// InjectStreamFault injects a fault into all streams that are open now.
func (e *Engine) InjectStreamFault(fault StreamFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streamEpoch++
	e.streamFault = fault
	for _, g := range e.generations {
		g.wake()
	}
}

// InjectTokenFault injects a fault into the next token that any stream sends.
func (e *Engine) InjectTokenFault(fault TokenFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokenFault = fault
}

// FailNext makes the engine refuse the next starts with a status. It runs none of
// them.
func (e *Engine) FailNext(times, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failuresLeft, e.failStatus = times, status
}

// Runs returns all generations that the engine accepted, in order of arrival.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// ColdOverloads returns the generations that exceeded the cold limit.
func (e *Engine) ColdOverloads() []ColdOverload {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ColdOverload(nil), e.overloads...)
}

// Orders returns the engine orders received so far.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// InFlight returns the number of running and waiting generations.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}

// Preemptions returns the number of preemptions so far.
func (e *Engine) Preemptions() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.preemptions
}
