package front

import (
	"errors"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core/procs/poison"
)

// errBlocked ends a try whose prompt has a part that crashes engines.
var errBlocked = errors.New("a part of the prompt crashes engines")

// _blockedParts is the number of blocks in force.
var _blockedParts = expvar.NewInt("apricotproxy.Routed.BlockedParts")

// SharedDetector gives the goroutines of requests access to one poison.Detector. It is safe
// for concurrent use. Its lock is not held while another one is taken.
type SharedDetector struct {
	log logr.Logger
	// lossFound is called when this host or another one saw a loss that was not known.
	lossFound func()

	mu       sync.Mutex
	detector *poison.Detector
	// watched holds, for each request that waits or was sent and has no event yet, the
	// function that ends this.
	watched map[*exchange]func()
	// inForce lists the blocks that were last logged.
	inForce []string
}

// NewSharedDetector returns a detector that knows nothing.
func NewSharedDetector(log logr.Logger, lossFound func()) *SharedDetector {
	return &SharedDetector{log: log.WithName("poison"), lossFound: lossFound, detector: poison.New(), watched: make(map[*exchange]func())}
}

// Merge adds what another host reported.
func (s *SharedDetector) Merge(source string, now time.Time, report poison.Report) {
	s.mu.Lock()
	isNew := s.detector.Merge(now, report)
	s.settle(source, now)
	s.mu.Unlock()
	if isNew {
		s.lossFound()
	}
}

// Report returns what other hosts are told; all is true for a host that has just started.
func (s *SharedDetector) Report(now time.Time, all bool) poison.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Report(now, all)
}

// Settle drops what has expired and blocks parts whose losses justify it by now.
func (s *SharedDetector) Settle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle("time", now)
}

// settle logs changes of the blocks and ends the requests that are refused now. source is
// the origin of the change. The caller holds the lock.
func (s *SharedDetector) settle(source string, now time.Time) {
	for _, b := range s.detector.Settle(now) {
		s.log.Info("Parts of prompts crash engines; requests with all of them are refused.", "Parts", b.Parts, "Since", b.Since, "Until", b.Until, "Source", source)
	}
	var inForce []string
	for _, b := range s.detector.Blocks() {
		inForce = append(inForce, b.String())
	}
	if !slices.Equal(inForce, s.inForce) {
		s.log.Info("The blocked parts of prompts changed.", "Blocks", inForce, "Before", s.inForce, "Source", source)
		s.inForce = inForce
		_blockedParts.Set(int64(len(inForce)))
	}
	if len(inForce) == 0 {
		return
	}
	for e, cancel := range s.watched {
		if _, blocked := s.detector.Blocked(now, e.sharedParts); blocked {
			cancel()
		}
	}
}

// blocked reports whether requests with the parts are refused, and until when.
func (s *SharedDetector) blocked(parts []string) (until time.Time, blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Blocked(time.Now(), parts)
}

func (s *SharedDetector) recordLoss(loss poison.Loss) {
	s.mu.Lock()
	isNew := s.detector.RecordLoss(loss.At, loss)
	s.settle("own", loss.At)
	s.mu.Unlock()
	if isNew {
		s.lossFound()
	}
}

func (s *SharedDetector) recordSuccess(parts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.RecordSuccess(time.Now(), parts)
}

// watchBlocks has cancel called once the request's parts are blocked, until unwatchBlocks
// is called. Once events were delivered, the prompt crashes no engine.
func (e *exchange) watchBlocks(cancel func()) {
	if e.delivered || len(e.sharedParts) == 0 {
		return
	}
	s := e.front.config.Detector
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watched[e] = cancel
}

func (e *exchange) unwatchBlocks() {
	if len(e.sharedParts) == 0 {
		return
	}
	s := e.front.config.Detector
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watched, e)
}

// checkBlocked answers the caller if the request's prompt has a part that crashes engines,
// and reports whether it did.
func (e *exchange) checkBlocked() bool {
	if e.delivered || len(e.sharedParts) == 0 {
		return false
	}
	until, blocked := e.front.config.Detector.blocked(e.sharedParts)
	if blocked {
		e.answerNotServed(errBlocked.Error(), time.Until(until))
	}
	return blocked
}

// recordEnd records a loss if the endpoint began the current try's answer and was lost
// before its first event.
func (e *exchange) recordEnd(end *tryResult) {
	if !end.brokenOff || !e.firstEventAt.IsZero() || len(e.sharedParts) == 0 {
		return
	}
	parts := e.request.Prompt.Parts
	e.front.config.Detector.recordLoss(poison.Loss{
		Endpoint: e.run.Endpoint.ID, Request: parts[len(parts)-1].ID, Parts: e.sharedParts, At: time.Now(),
	})
}

// _eventsOfSuccess is the number of events after which a prompt counts as harmless to
// engines.
const _eventsOfSuccess = 2

// recordSuccess records once that the answer went on after its first event.
func (e *exchange) recordSuccess() {
	if e.successRecorded || len(e.sharedParts) == 0 {
		return
	}
	e.successRecorded = true
	e.front.config.Detector.recordSuccess(e.sharedParts)
}
