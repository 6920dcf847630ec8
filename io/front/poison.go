package front

import (
	"context"
	"errors"
	"expvar"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/procs/poison"
	"apricotproxy/core/reqst/leave"
	"apricotproxy/core/reqst/tries"
)

// errBlocked ends a try whose prompt has a part that crashes engines.
var errBlocked = errors.New("a part of the prompt crashes engines")

// _blockedParts is the number of blocks in force.
var _blockedParts = expvar.NewInt("apricotproxy.Routed.BlockedParts")

// _blockedRequests is the number of requests that are refused since they crash endpoints.
var _blockedRequests = expvar.NewInt("apricotproxy.Routed.BlockedRequests")

// SharedDetector gives the goroutines of requests access to one poison.Detector and one
// poison.CrashDetector. It is safe for concurrent use. Its lock is not held while another one
// is taken.
type SharedDetector struct {
	log logr.Logger
	// lossFound is called when this host or another one saw a loss that was not known,
	// requestLossFound when this host lost a request's connection.
	lossFound, requestLossFound func()
	// hasRequestLosses is false while requests knows no losses, so that most answers need no
	// lock.
	hasRequestLosses atomic.Bool

	mu       sync.Mutex
	detector *poison.Detector
	requests *poison.CrashDetector
	// blockedRequests and blockedParts list what of requests was last logged as blocked.
	blockedRequests []poison.Digest
	blockedParts    []string
	// watched holds, for each request that waits or was sent and has no event yet, the
	// function that ends this.
	watched map[*exchange]func()
	// inForce lists the blocks that were last logged.
	inForce []string
}

// NewSharedDetector returns a detector that knows nothing.
func NewSharedDetector(log logr.Logger, lossFound, requestLossFound func()) *SharedDetector {
	return &SharedDetector{
		log: log.WithName("poison"), lossFound: lossFound, requestLossFound: requestLossFound,
		detector: poison.New(), requests: poison.NewCrashDetector(), watched: make(map[*exchange]func()),
	}
}

// UpdateRequests calls f with the detector of requests, and logs if other requests are blocked
// afterwards. source is the origin of the change.
func (s *SharedDetector) UpdateRequests(source string, f func(*poison.CrashDetector)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.requests)
	s.hasRequestLosses.Store(!s.requests.IsIdle())
	s.noteBlockedParts(source)
	blocked := s.requests.BlockedRequests()
	if slices.Equal(blocked, s.blockedRequests) {
		return
	}
	s.log.Info("The requests that are refused since they crash endpoints changed.", "Digests", digestTexts(blocked), "Before", digestTexts(s.blockedRequests), "Source", source)
	s.blockedRequests = blocked
	_blockedRequests.Set(int64(len(blocked)))
}

// noteBlockedParts logs a change of the parts that crash endpoints at any moment of the run, and
// ends the requests that are refused now. The caller holds the lock.
func (s *SharedDetector) noteBlockedParts(source string) {
	blocked := s.requests.BlockedParts()
	if slices.Equal(blocked, s.blockedParts) {
		return
	}
	s.log.Info("The parts of prompts that are refused since endpoints end at them changed.", "Parts", blocked, "Before", s.blockedParts, "Source", source)
	s.blockedParts = blocked
	_blockedParts.Set(int64(len(blocked) + len(s.inForce)))
	s.cancelWatched(time.Now())
}

// cancelWatched ends the watched requests that are refused. The caller holds the lock.
func (s *SharedDetector) cancelWatched(now time.Time) {
	for e, cancel := range s.watched {
		if _, blocked := s.partsBlocked(now, e.sharedParts); blocked {
			cancel()
		}
	}
}

// partsBlocked reports whether requests with the parts are refused, and until when. The caller
// holds the lock.
func (s *SharedDetector) partsBlocked(now time.Time, parts []string) (until time.Time, blocked bool) {
	if until, blocked := s.detector.Blocked(now, parts); blocked {
		return until, true
	}
	return s.requests.PartsBlocked(now, parts)
}

func digestTexts(digests []poison.Digest) []string {
	texts := make([]string, len(digests))
	for i, d := range digests {
		texts[i] = d.String()
	}
	return texts
}

// RecordAnswer records that an endpoint answered, if it lost requests before.
func (s *SharedDetector) RecordAnswer(endpoint core.EndpointKey) {
	if !s.hasRequestLosses.Load() {
		return
	}
	now := time.Now()
	s.UpdateRequests("own", func(d *poison.CrashDetector) {
		d.RecordAnswer(now, poison.Own, poison.EndpointAnswer{Endpoint: endpoint, At: now})
	})
}

// recordWhole records that a request was answered to the end by an endpoint that did not end.
func (s *SharedDetector) recordWhole(e *exchange) {
	if !s.hasRequestLosses.Load() && len(e.sharedParts) == 0 {
		return
	}
	now := time.Now()
	s.UpdateRequests("own", func(d *poison.CrashDetector) {
		d.RecordPartSuccess(now, poison.Own, e.sharedParts)
		if !d.IsIdle() {
			d.RecordSuccess(now, poison.Own, poison.RequestSuccess{Request: e.digest(), At: now})
		}
	})
}

func (s *SharedDetector) recordRequestLoss(loss poison.RequestLoss) {
	now := time.Now()
	s.UpdateRequests("own", func(d *poison.CrashDetector) { d.RecordLoss(now, poison.Own, loss) })
	s.requestLossFound()
}

// requestBlocked reports whether a request is refused since it crashes endpoints, and when its
// caller may come back.
func (s *SharedDetector) requestBlocked(e *exchange) (until time.Time, blocked bool) {
	if !s.hasRequestLosses.Load() {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests.Blocked(time.Now(), e.digest())
}

// Merge adds what another host reported.
func (s *SharedDetector) Merge(source string, now time.Time, report poison.Report) {
	isNew := mutex.Get(&s.mu, func() bool {
		isNew := s.detector.Merge(now, report)
		s.settle(source, now)
		return isNew
	})
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
		_blockedParts.Set(int64(len(inForce) + len(s.blockedParts)))
	}
	if len(inForce) > 0 {
		s.cancelWatched(now)
	}
}

// blocked reports whether requests with the parts are refused, and until when.
func (s *SharedDetector) blocked(parts []string) (until time.Time, blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partsBlocked(time.Now(), parts)
}

func (s *SharedDetector) recordLoss(loss poison.Loss) {
	now := time.Now()
	isNew := mutex.Get(&s.mu, func() bool {
		isNew := s.detector.RecordLoss(now, loss)
		s.settle("own", now)
		return isNew
	})
	if isNew {
		s.lossFound()
	}
}

func (s *SharedDetector) recordSuccess(parts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.RecordSuccess(time.Now(), parts)
}

// _unwatchedParts counts the parts of prompts that are not checked against those that crash endpoints, since their prompts
// have too many.
var _unwatchedParts = expvar.NewInt("apricotproxy.Routed.UnwatchedParts")

// setSharedParts sets the keys of the parts that other requests may share.
func (e *exchange) setSharedParts() {
	var left int
	if e.sharedParts, left = poison.Keys(e.request.Prompt.SharedParts()); left > 0 {
		_unwatchedParts.Add(int64(left))
		e.log("A prompt has more parts than are checked.", "Unchecked", left)
	}
}

// watchBlocks has cancel called once the request's parts are blocked, until unwatchBlocks
// is called. A stream of which the caller has events is not ended: if it comes to its end, that clears
// the parts.
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

// checkBlocked answers the caller if the request crashes endpoints, or its prompt has a part
// that crashes engines, and reports whether it did. A stream of which the caller has events is
// cut then, since it would crash the endpoint that it goes on at, unless only its own losses
// speak against it: a long stream may lose several endpoints that are reclaimed.
func (e *exchange) checkBlocked() bool {
	if e.delivered {
		if _, blocked := e.front.config.Detector.blocked(e.sharedParts); blocked && len(e.sharedParts) > 0 {
			e.cut(errBlocked.Error())
		}
		return false
	}
	if until, blocked := e.front.config.Detector.requestBlocked(e); blocked {
		e.answerNotServed("the request crashes endpoints", time.Until(until))
		return true
	}
	if len(e.sharedParts) == 0 {
		return false
	}
	until, blocked := e.front.config.Detector.blocked(e.sharedParts)
	if blocked {
		e.answerNotServed(errBlocked.Error(), time.Until(until))
	}
	return blocked
}

// recordEnd records the loss of the request if its connection ended before the answer was whole,
// wherever in the answer that was: an endpoint may crash at any moment of a run. An answer that
// broke off at its begin is also a loss of its prompt's parts alone, since other requests at an
// endpoint are rarely at that point.
func (e *exchange) recordEnd(ctx context.Context, end *tryResult) {
	if !end.brokenOff && !isConnectionEnd(end.err) {
		return
	}
	if e.endWasPlanned(ctx) {
		if end.health == place.Bad {
			end.health = 0
		}
		return
	}
	if (end.result == tries.Lost || end.result == tries.Broken) && isConnectionEnd(end.err) {
		e.log("A request was lost with its connection.", "Endpoint", e.run.Endpoint.ID, "AnswerBegun", e.answerBegun, "TryEvents", e.tryEvents,
			"Ran", time.Since(e.sentAt).Milliseconds(), "SharedParts", e.sharedParts, "Digest", e.digest().String())
		if e.answerBegun { // otherwise the pool of connections has recorded it
			e.front.config.Reach.RecordUnanswered(e.run.Endpoint.RoutedEndpoint)
		}
		loss := poison.RequestLoss{Request: e.digest(), Endpoint: e.run.Endpoint.Key(), Parts: e.sharedParts, SentAt: e.sentAt, At: time.Now()}
		e.onceInTouch(func() { e.front.config.Detector.recordRequestLoss(loss) })
	}
	if !end.brokenOff || len(e.sharedParts) == 0 || e.tryEvents >= _eventsOfSuccess {
		return
	}
	parts := e.request.Prompt.Parts
	loss := poison.Loss{Endpoint: e.run.Endpoint.ID, Request: parts[len(parts)-1].ID, Parts: e.sharedParts, At: time.Now()}
	e.onceInTouch(func() { e.front.config.Detector.recordLoss(loss) })
}

// onceInTouch records the loss of a connection unless the connection ended with all others of this host. The request waits
// for a moment for that to show, so that its next try finds the loss recorded, but not for the end of a suspicion.
func (e *exchange) onceInTouch(record func()) {
	lostAt, touch := time.Now(), e.front.config.Reach
	if known, inTouch := touch.awaitTouch(lostAt, _suspicionTime); known {
		if inTouch {
			record()
		}
		return
	}
	go func() {
		if _, inTouch := touch.awaitTouch(lostAt, _maxSuspicion); inTouch {
			record()
		}
	}()
}

// endWasPlanned reports whether the end of a try's connection tells nothing of the request: its endpoint had
// announced its leaving, or may have stopped work at the deadline, or because this host asked it to
// and still listens.
func (e *exchange) endWasPlanned(ctx context.Context) bool {
	end := leave.End{MayHaveStopped: e.stopRequests.mayHaveStoppedNow(), TimeLeft: time.Until(e.request.Deadline), EndpointEnded: e.leftByNotice}
	switch end.Cause() {
	case leave.AnswerComplete:
		return false
	case leave.RunStopped:
		return e.leftByNotice() || !e.front.config.Links.Refuses(ctx, e.run.Endpoint.Address)
	default:
		return true
	}
}

// isConnectionEnd reports whether an endpoint closed or reset a connection, as it does when it
// ends.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// _noticeTime is the least time between the notice of an endpoint that it is leaving and the end of
// its connections for that end to be a planned one. Hosts tell each other at once of an endpoint that refuses
// connections, so that a crash may look like a notice for some milliseconds.
const _noticeTime = 500 * time.Millisecond

// leftByNotice reports whether the endpoint of the current try had announced that it leaves.
func (e *exchange) leftByNotice() bool {
	return e.placer().leavingFor(e.run) >= _noticeTime
}

// _eventsOfSuccess is the number of events of one try after which the begin of the answer counts as
// harmless to engines.
const _eventsOfSuccess = 2

// recordBegun records once that the answer went on after its first event.
func (e *exchange) recordBegun() {
	if !e.successRecorded && len(e.sharedParts) > 0 {
		e.front.config.Detector.recordSuccess(e.sharedParts)
	}
	e.successRecorded = true
}

// recordWhole records that the answer is whole. Failures of the endpoint's own are not recorded: an
// endpoint that fails part of its requests may do so before it runs them.
func (e *exchange) recordWhole() {
	e.recordBegun()
	e.front.config.Detector.recordWhole(e)
}
