// Package plain is a fake plain service, for tests and the demo. It speaks the
// protocol of docs/endpoints.md, records every call that ran, and fails on
// demand before or after running a call.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"apricotproxy/core"
)

const _maxBodyBytes = 16 << 20

// Config sets the behaviour of one worker of a plain service.
type Config struct {
	CallTime time.Duration // how long each call runs
	// ColdLimit is the most calls that may be in flight while the worker is
	// cold; each one above it is recorded. It is 0 for a worker that is always
	// warm.
	ColdLimit int
	WarmAfter int // completed calls after which it is warm
}

// Fault is a failure injected into a call.
type Fault uint8

// Faults of a call.
const (
	FaultNone        Fault = iota
	FaultRefused           // the call does not run and is answered with 503
	FaultAfterRun          // the call runs and is answered with 500
	FaultCutAfterRun       // the call runs and the connection breaks before the answer
	FaultSilent            // the call runs, and the connection stays open without an answer
)

// Run is one call that ran.
type Run struct {
	Call        core.CallName
	Workspace   string
	Key         string // the Idempotency-Key, empty for a repeatable call
	Body        string
	Incarnation core.Incarnation
	Started     time.Time
}

// ColdOverload records one call that exceeded the cold limit.
type ColdOverload struct {
	At        time.Time
	ColdSince time.Time
	InFlight  int // with this call
	Limit     int
}

// Answer is the body of the answer to a call.
type Answer struct {
	Call   core.CallName
	Serial int             // counts the calls that ran, from 1
	Echo   json.RawMessage // the request's body, null if it was not JSON
}

// Service is a fake of one worker. It is safe for concurrent use.
type Service struct {
	config Config
	mux    *http.ServeMux

	// mu guards the fields below.
	mu          sync.Mutex
	down        bool
	leaving     bool
	incarnation core.Incarnation
	coldSince   time.Time
	completions int
	inFlight    int
	faults      []Fault // of the next calls
	runs        []Run
	overloads   []ColdOverload
}

// New returns a worker that is ready to serve.
func New(config Config) *Service {
	s := &Service{config: config, mux: http.NewServeMux(), incarnation: 1, coldSince: time.Now()}
	s.mux.HandleFunc("POST /v1/calls/{call}", s.serveCall)
	s.mux.HandleFunc("GET /v1/report", s.serveReport)
	return s
}

// ServeHTTP serves one request. After Kill it breaks the connection.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// Kill simulates the end of the process. Calls in progress count as run, but
// their connections break.
func (s *Service) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

// Restart starts a new incarnation, which is cold if the worker has a cold
// limit.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.incarnation++
	s.completions = 0
	s.coldSince = time.Now()
}

// SetLeaving sets whether reports announce that the worker is being reclaimed.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// FailNext injects faults into the next calls, in order.
func (s *Service) FailNext(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// Runs returns all calls that ran, in order of start.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// RunsPerKey counts the runs of each Idempotency-Key.
func (s *Service) RunsPerKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for _, r := range s.runs {
		if r.Key != "" {
			counts[r.Key]++
		}
	}
	return counts
}

// ColdOverloads returns the calls that exceeded the cold limit.
func (s *Service) ColdOverloads() []ColdOverload {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ColdOverload(nil), s.overloads...)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, _maxBodyBytes))
	if err != nil {
		return // the caller went away before it had sent the whole request
	}
	fault, serial := s.begin(Run{
		Call:      core.CallName(r.PathValue("call")),
		Workspace: r.Header.Get("Workspace"),
		Key:       r.Header.Get("Idempotency-Key"),
		Body:      string(body),
		Started:   time.Now(),
	})
	if fault == FaultRefused {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.config.CallTime)
	dead := s.end()
	switch {
	case dead || fault == FaultCutAfterRun:
		panic(http.ErrAbortHandler)
	case fault == FaultAfterRun:
		http.Error(w, "failed after the run", http.StatusInternalServerError)
	case fault == FaultSilent:
		<-r.Context().Done()
	default:
		writeJSON(w, newAnswer(r, serial, body))
	}
}

func newAnswer(r *http.Request, serial int, body []byte) Answer {
	echo := json.RawMessage(body)
	if !json.Valid(body) {
		echo = nil
	}
	return Answer{Call: core.CallName(r.PathValue("call")), Serial: serial, Echo: echo}
}

// begin returns the fault of a call and, unless the fault is a refusal, records
// the run and returns its serial number.
func (s *Service) begin(run Run) (Fault, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := FaultNone
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	if fault == FaultRefused {
		return fault, 0
	}
	if s.isCold() && s.inFlight >= s.config.ColdLimit {
		s.overloads = append(s.overloads, ColdOverload{
			At:        run.Started,
			ColdSince: s.coldSince,
			InFlight:  s.inFlight + 1,
			Limit:     s.config.ColdLimit,
		})
	}
	run.Incarnation = s.incarnation
	s.inFlight++
	s.runs = append(s.runs, run)
	return fault, len(s.runs)
}

// end counts a completed call and reports whether the process was killed
// meanwhile.
func (s *Service) end() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.completions++
	return s.down
}

// isCold is called with mu held.
func (s *Service) isCold() bool {
	return s.config.ColdLimit > 0 && s.completions < s.config.WarmAfter
}

type reportBody struct {
	Incarnation core.Incarnation
	Phase       string
	Leaving     bool
	Running     int
}

func (s *Service) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	body := reportBody{
		Incarnation: s.incarnation,
		Phase:       core.PhaseWarm.String(),
		Leaving:     s.leaving,
		Running:     s.inFlight,
	}
	if s.isCold() {
		body.Phase = core.PhaseCold.String()
	}
	s.mu.Unlock()
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has gone away
}
