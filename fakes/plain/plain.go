// Package plain is a small stand-in for a plain service, for tests and the
// demo. It speaks the protocol of docs/endpoints.md, records every call that
// ran, and fails on demand before or after it ran a call.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"apricotproxy/core"
)

const _bodyBytes = 16 << 20

// Config sets the behaviour of one plain service's worker.
type Config struct {
	CallTime time.Duration
	// ColdLimit is the number of calls in flight that the cold worker bears;
	// 0 for a worker that is always warm.
	ColdLimit int
	WarmAfter int // completions that make it warm
}

// Fault is what befalls a call.
type Fault uint8

// Faults of a call.
const (
	FaultNone        Fault = iota
	FaultRefused           // 503, nothing ran
	FaultAfterRun          // it ran, and the answer is 500
	FaultCutAfterRun       // it ran, and the link breaks before the answer
	FaultSilent            // it ran, and the link goes silent
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

// ColdOverload is one call above the cold limit.
type ColdOverload struct {
	At        time.Time
	ColdSince time.Time
	InFlight  int
	Limit     int
}

// Answer is what the service gives back.
type Answer struct {
	Call   core.CallName
	Serial int
	Echo   json.RawMessage
}

// Service is a stand-in for one worker. It is safe for concurrent use.
type Service struct {
	config Config
	mux    *http.ServeMux

	// mu guards all that follows.
	mu          sync.Mutex
	down        bool
	leaving     bool
	incarnation core.Incarnation
	coldSince   time.Time
	completions int
	inFlight    int
	faults      []Fault
	runs        []Run
	overload    []ColdOverload
}

// New builds a worker that serves at once.
func New(config Config) *Service {
	s := &Service{config: config, mux: http.NewServeMux(), incarnation: 1, coldSince: time.Now()}
	s.mux.HandleFunc("POST /v1/calls/{call}", s.serveCall)
	s.mux.HandleFunc("GET /v1/report", s.serveReport)
	return s
}

// ServeHTTP answers one call. A dead worker breaks the connection.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// Kill ends the process. Calls that run have run.
func (s *Service) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

// Restart begins a new incarnation, cold when the worker has a cold limit.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.incarnation++
	s.completions = 0
	s.coldSince = time.Now()
}

// SetLeaving announces in reports that the worker is being reclaimed.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// FailNext gives the faults of the next calls, in order.
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

// ColdOverloads returns the starts above the cold limit.
func (s *Service) ColdOverloads() []ColdOverload {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ColdOverload(nil), s.overload...)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, _bodyBytes))
	if err != nil {
		return // the caller is gone before its request was whole
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

// begin records a run, unless its fault is a refusal.
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
	if s.cold() && s.inFlight >= s.config.ColdLimit {
		s.overload = append(s.overload, ColdOverload{
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

// end reports whether the process died meanwhile.
func (s *Service) end() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.completions++
	return s.down
}

func (s *Service) cold() bool {
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
	if s.cold() {
		body.Phase = core.PhaseCold.String()
	}
	s.mu.Unlock()
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // a broken link concerns the caller only
}
