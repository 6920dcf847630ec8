// Package engine is a small stand-in for a model engine, for tests and the
// demo. It speaks the protocol of docs/endpoints.md, produces deterministic
// tokens, fills its memory, preempts, starts cold, reports with a lag, and
// records everything that ran, so that a checker can compare it with what
// callers were told.
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
	// grows in proportion; 0 keeps it constant.
	BatchKnee    int
	MaxRunning   int
	MemoryTokens int64
	// ColdLimit is the number of generations that the cold engine bears. One
	// more is recorded and makes it fall over.
	ColdLimit int
	// WarmAfter completions make a cold engine warm.
	WarmAfter int
	StartWarm bool
	// RestartAfter is the time from falling over to the next start; 0 waits
	// for Restart.
	RestartAfter  time.Duration
	ReportLag     time.Duration
	CacheLag      time.Duration
	CacheGap      int // every n-th cache event is lost; 0 for none
	CachePrefixes int
	ChecksFencing bool
	LoadTime      time.Duration
	MeanTokens    int
	Hold          time.Duration // of a finished generation
}

// WithDefaults fills the fields that are zero.
func (c Config) WithDefaults() Config {
	setDefault(&c.TokenInterval, 27*time.Millisecond)
	setDefault(&c.MaxRunning, 64)
	setDefault(&c.MemoryTokens, 100_000)
	setDefault(&c.ColdLimit, 2)
	setDefault(&c.WarmAfter, 4)
	setDefault(&c.CachePrefixes, 1024)
	setDefault(&c.MeanTokens, 200)
	setDefault(&c.Hold, time.Minute)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Run is one generation that the engine took.
type Run struct {
	Generation  core.GenerationID
	Key         string
	Prompt      string
	Workspace   string
	Incarnation core.Incarnation
	Started     time.Time
	Ended       time.Time
	Tokens      int
	Completed   bool
	Cancelled   bool
}

// ColdOverload is one generation above the cold limit.
type ColdOverload struct {
	At         time.Time
	ColdSince  time.Time
	Generation core.GenerationID
	Running    int
	Limit      int
}

// Order is one engine order that arrived.
type Order struct {
	At      time.Time
	Order   core.EngineOrder
	Refused bool
}

// StreamFault is what befalls the streams that are open.
type StreamFault uint8

// Faults of open streams. New connections work in each case.
const (
	StreamHealthy StreamFault = iota
	StreamSilent              // no byte comes any more, and the link stays open
	StreamCut                 // the link is broken
)

// TokenFault is a wrong event that the next stream carries once.
type TokenFault uint8

// Faults of single tokens.
const (
	TokenHealthy TokenFault = iota
	TokenTwice
	TokenMissing
	TokenForeign
)

// Engine is a stand-in for one model engine. It is safe for concurrent use.
type Engine struct {
	config Config
	mux    *http.ServeMux

	// mu guards all that follows.
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
	running     []*generation // in order of start
	waiting     []*generation
	used        int64
	stepping    bool

	streamEpoch int
	lastFault   StreamFault
	tokenFault  TokenFault
	failures    int
	failStatus  int

	reports  []timedReport
	cache    prefixCache
	runs     []*Run
	overload []ColdOverload
	orders   []Order
}

// New builds an engine that serves at once.
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
		e.note()
	}
	return e
}

// ServeHTTP answers one call. A dead engine breaks the connection.
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
	e.note()
}

// Kill ends the process: all generations are lost and links break.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
}

func (e *Engine) kill() {
	e.down = true
	for _, g := range e.generations {
		g.lost = true
		g.end()
	}
	clear(e.generations)
	e.running, e.waiting, e.used = nil, nil, 0
	e.cache = prefixCache{}
}

// Restart begins a new incarnation of a dead engine, cold and empty.
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
	e.note()
}

// SetLeaving announces in reports that the engine is being reclaimed.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.note()
}

// BreakStreams does a fault to all streams that are open now.
func (e *Engine) BreakStreams(fault StreamFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streamEpoch++
	e.lastFault = fault
	for _, g := range e.generations {
		g.wake()
	}
}

// SpoilToken makes the next event that is sent a wrong one.
func (e *Engine) SpoilToken(fault TokenFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokenFault = fault
}

// FailNext answers the next starts with a status and runs nothing.
func (e *Engine) FailNext(times, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures, e.failStatus = times, status
}

// Runs returns all that ever ran, in order of start.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// ColdOverloads returns the starts above the cold limit.
func (e *Engine) ColdOverloads() []ColdOverload {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ColdOverload(nil), e.overload...)
}

// Orders returns the engine orders that arrived.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// Running returns the number of generations in the batch or waiting for it.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}

// Preemptions returns how often a generation lost its memory.
func (e *Engine) Preemptions() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.preemptions
}
