package front

import (
	"context"
	"math"
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/origin"
)

const (
	// _peerAnswerTimeout is how long other hosts have to tell what they know of a stream: a
	// few round trips within a region, and two repetitions of a lost datagram.
	_peerAnswerTimeout = 150 * time.Millisecond
	// _claimTimeout is how long a stream that is taken up waits until other hosts have ended earlier attempts
	// at it: a round trip within a region, and the end of a run. They end them without being waited for.
	_claimTimeout = 50 * time.Millisecond
	// _questionInterval is after how long they are asked again.
	_questionInterval = 50 * time.Millisecond
	// _relayedEndTime is for how long another host is asked to end its attempt at a stream that was relayed to it: it
	// may stand still, or datagrams be lost, for some seconds while its run goes on.
	_relayedEndTime = 3 * time.Second
	// _confirmTimeout is how long a stream waits until the documents are known to be up to date: a
	// few readings of the store, which hosts tell each other with their heartbeats.
	_confirmTimeout  = time.Second
	_confirmInterval = 20 * time.Millisecond
)

// OriginConfig holds what SharedOrigins needs to ask others. Each function may be nil.
type OriginConfig struct {
	// Refresh updates what the ledger holds of the documents, before it is asked.
	Refresh func()
	// Begun is called when there are records to copy to other hosts.
	Begun func()
	// AskHosts asks other hosts for the record of a stream and returns how many were asked.
	// Their answers come to Answer. A valid claim has them end earlier attempts at the stream before.
	AskHosts func(request string, claim origin.Claim) int
	// AskHost is AskHosts for a single host.
	AskHost func(host core.HostName, request string, claim origin.Claim) int
	// AskEngines asks the engines of services which of them hold a part of a prompt.
	// arrived is when the request arrived for which they are asked.
	AskEngines func(ctx context.Context, arrived time.Time, services []core.ServiceName, part string) []origin.Holder
	// ReadHistory returns which builds the store's history shows in service.
	ReadHistory func(ctx context.Context) origin.Span
}

// SharedOrigins gives the goroutines of requests access to one origin.Ledger, and asks other
// hosts and engines. It is safe for concurrent use.
type SharedOrigins struct {
	config OriginConfig

	// historyMu is held while the store's history is read, which last began at historyReadAt. It is
	// taken before mu.
	historyMu     sync.Mutex
	historyReadAt time.Time
	// historyIsKnown is true if that reading told which builds were in service.
	historyIsKnown bool

	mu     sync.Mutex
	ledger *origin.Ledger
	// questions holds what was asked of other hosts, by the stream's request.
	questions map[string]*question
}

// question waits for what other hosts know of a stream.
type question struct {
	// waiting is the number of requests that wait for the answer.
	waiting int
	// asked is the number of hosts that were asked last, answers those that answered. The first
	// may answer before all have been asked.
	asked   int
	answers map[core.HostName]bool
	// done is closed once a host knew the stream, or none of them did, and complete once all have
	// answered.
	done, complete chan struct{}
	isDone         bool
	isComplete     bool
}

// NewSharedOrigins returns a ledger that knows nothing.
func NewSharedOrigins(config OriginConfig) *SharedOrigins {
	return &SharedOrigins{config: config, ledger: origin.New(), questions: make(map[string]*question)}
}

// Update calls f with the ledger.
func (s *SharedOrigins) Update(f func(*origin.Ledger)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.ledger)
}

// begin records that this host delivered the first event of a stream.
func (s *SharedOrigins) begin(r origin.Record) {
	s.Update(func(l *origin.Ledger) { l.Begin(r) })
	if s.config.Begun != nil {
		s.config.Begun()
	}
}

// Answer records what another host knows: records, and requests of which it has none.
func (s *SharedOrigins) Answer(from core.HostName, records []origin.Record, unknown []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.ledger.Add(r)
		if q := s.questions[r.Request]; q != nil {
			q.setDone()
			q.add(from)
		}
	}
	for _, request := range unknown {
		if q := s.questions[request]; q != nil {
			q.add(from)
		}
	}
}

// add records that a host has answered.
func (q *question) add(from core.HostName) {
	q.answers[from] = true
	q.check()
}

// check ends the question if all hosts have answered.
func (q *question) check() {
	if len(q.answers) < q.asked {
		return
	}
	q.setDone()
	if !q.isComplete {
		q.isComplete = true
		close(q.complete)
	}
}

func (q *question) setDone() {
	if !q.isDone {
		q.isDone = true
		close(q.done)
	}
}

// await waits until a channel of the question is closed, a time has passed, or ctx ends.
func (q *question) await(ctx context.Context, closed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-closed:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// find returns where a stream was begun. ownPart is the part of the prompt that
// belongs to this request alone; empty if it has none. arrived is when the request arrived. Other hosts end
// earlier attempts at the stream, for which find waits for a moment.
func (s *SharedOrigins) find(ctx context.Context, arrived time.Time, stream origin.Stream, claim origin.Claim, ownPart string) (origin.Origin, origin.Source) {
	if s.config.Refresh != nil {
		s.config.Refresh()
		stream.ConfirmedAfter = arrived
	}
	found, source := s.resolve(stream)
	if s.config.AskHosts != nil && (source != origin.Recorded || claim.IsValid()) {
		found, source = s.resolveWithHosts(ctx, stream, claim, source)
	}
	if source == origin.Unconfirmed {
		found, source = s.awaitConfirmed(ctx, stream)
	}
	if source != origin.Unknown && source != origin.Unconfirmed {
		return found, source
	}
	if found, source := s.findAtEngines(ctx, arrived, stream, ownPart); source != origin.Unknown {
		return found, source
	}
	return s.findInHistory(ctx, arrived, stream)
}

// findAtEngines returns where a stream was begun if the engines that hold its own part tell it. The documents must name
// all engines that may hold it, and the store's history those that have left, if this host has not followed it.
func (s *SharedOrigins) findAtEngines(ctx context.Context, arrived time.Time, stream origin.Stream, ownPart string) (origin.Origin, origin.Source) {
	if s.config.AskEngines == nil || ownPart == "" || !s.awaitFresh(ctx, stream) {
		return origin.Origin{}, origin.Unknown
	}
	found, source := origin.ResolveHolders(s.config.AskEngines(ctx, arrived, stream.Services, ownPart))
	if source == origin.Unknown || s.excludesDeparted(stream, found) {
		return found, source
	}
	if s.config.ReadHistory == nil {
		return origin.Origin{}, origin.Unknown
	}
	s.readHistory(ctx, arrived)
	if !s.excludesDeparted(stream, found) {
		return origin.Origin{}, origin.Unknown
	}
	return found, source
}

// excludesDeparted is origin.Ledger.ExcludesDeparted.
func (s *SharedOrigins) excludesDeparted(stream origin.Stream, found origin.Origin) (excluded bool) {
	s.Update(func(l *origin.Ledger) { excluded = l.ExcludesDeparted(stream, found) })
	return excluded
}

// awaitFresh waits until the documents are known to be up to date. It returns false if that takes too long.
func (s *SharedOrigins) awaitFresh(ctx context.Context, stream origin.Stream) bool {
	for deadline := time.Now().Add(_confirmTimeout); ; s.config.Refresh() {
		isConfirmed := false
		s.Update(func(l *origin.Ledger) { isConfirmed = l.IsConfirmed(stream) })
		if isConfirmed {
			return true
		}
		if time.Now().After(deadline) || !sleepUnlessDone(ctx, _confirmInterval) {
			return false
		}
	}
}

// resolveWithHosts asks other hosts and returns where a stream was begun. A single build was found
// without them, if at all: the stream's own may be new, and known to other hosts only.
func (s *SharedOrigins) resolveWithHosts(ctx context.Context, stream origin.Stream, claim origin.Claim, before origin.Source) (origin.Origin, origin.Source) {
	began := time.Now()
	q := s.askHosts(ctx, stream.Question(), claim.IsValid(), _peerAnswerTimeout, func() int { return s.config.AskHosts(stream.Question(), claim) })
	if before != origin.Recorded {
		q.await(ctx, q.done, _peerAnswerTimeout)
	}
	if claim.IsValid() {
		q.await(ctx, q.complete, time.Until(began.Add(_claimTimeout)))
	}
	found, source := s.resolve(stream)
	if source != origin.Unknown && source != origin.Unconfirmed && source != before {
		source = origin.OtherHost
	}
	return found, source
}

// awaitConfirmed waits until the documents are known to be up to date, and returns where a stream was
// begun by then.
func (s *SharedOrigins) awaitConfirmed(ctx context.Context, stream origin.Stream) (origin.Origin, origin.Source) {
	deadline := time.Now().Add(_confirmTimeout)
	for {
		select {
		case <-ctx.Done():
			return origin.Origin{}, origin.Unknown
		case <-time.After(_confirmInterval):
		}
		s.config.Refresh()
		if found, source := s.resolve(stream); source != origin.Unconfirmed || time.Now().After(deadline) {
			return found, source
		}
	}
}

// findInHistory returns where a stream was begun if the store's history shows a single build.
func (s *SharedOrigins) findInHistory(ctx context.Context, arrived time.Time, stream origin.Stream) (origin.Origin, origin.Source) {
	isSingle := false
	s.Update(func(l *origin.Ledger) { isSingle = l.HasSingleBuild(stream.Services) })
	if s.config.ReadHistory == nil || !isSingle {
		return origin.Origin{}, origin.Unknown
	}
	if s.readHistory(ctx, arrived) {
		stream.ConfirmedAfter = time.Time{} // the history was read after the request arrived
	}
	if found, source := s.resolve(stream); source != origin.Unknown && source != origin.Unconfirmed {
		return found, origin.StoreHistory
	}
	return origin.Origin{}, origin.Unknown
}

// readHistory has the ledger learn what the store's history tells, and reports whether it tells anything. Requests that
// arrive while it is read share the next reading, so that none waits for more than two.
func (s *SharedOrigins) readHistory(ctx context.Context, arrived time.Time) bool {
	s.historyMu.Lock()
	defer s.historyMu.Unlock()
	if s.historyReadAt.Before(arrived) {
		s.historyReadAt = time.Now()
		span := s.config.ReadHistory(ctx)
		s.historyIsKnown = !span.Since.IsZero()
		s.Update(func(l *origin.Ledger) { l.Merge(span) })
	}
	return s.historyIsKnown
}

func (s *SharedOrigins) resolve(stream origin.Stream) (origin.Origin, origin.Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Resolve(time.Now(), stream)
}

// askHosts asks other hosts for a stream's record until one has it, or all have answered if the stream is
// claimed, at most for a time. Datagrams may be lost, so they are asked repeatedly, in the background.
// send asks them once and returns how many were asked.
func (s *SharedOrigins) askHosts(ctx context.Context, request string, isClaimed bool, limit time.Duration, send func() int) *question {
	q := s.beginQuestion(request)
	if !s.ask(q, send) {
		s.endQuestion(request, q)
		return q
	}
	ended := q.done
	if isClaimed {
		ended = q.complete
	}
	go func() {
		defer s.endQuestion(request, q)
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		for {
			q.await(ctx, ended, _questionInterval)
			select {
			case <-ended:
				return
			case <-ctx.Done():
				return
			default:
			}
			s.ask(q, send)
		}
	}()
	return q
}

// endAt has another host end its attempt at a stream that goes on elsewhere. It is asked for _relayedEndTime, unless
// ctx ends before.
// The returned channel is closed once it has answered.
func (s *SharedOrigins) endAt(ctx context.Context, host core.HostName, claim origin.Claim) (answered <-chan struct{}) {
	if s.config.AskHost == nil || !claim.IsValid() {
		answered := make(chan struct{})
		close(answered)
		return answered
	}
	return s.askHosts(ctx, claim.Stream, true, _relayedEndTime, func() int { return s.config.AskHost(host, claim.Stream, claim) }).complete
}

// ask asks other hosts once. It returns false if all have answered, or there are none.
func (s *SharedOrigins) ask(q *question, send func() int) bool {
	asked := send()
	s.mu.Lock()
	defer s.mu.Unlock()
	q.asked = asked
	q.check()
	return !q.isComplete
}

// beginQuestion joins the question for a stream, or begins it.
func (s *SharedOrigins) beginQuestion(request string) *question {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.questions[request]
	if q == nil {
		q = &question{asked: math.MaxInt, answers: make(map[core.HostName]bool), done: make(chan struct{}), complete: make(chan struct{})}
		s.questions[request] = q
	}
	q.waiting++
	return q
}

func (s *SharedOrigins) endQuestion(request string, q *question) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.waiting--
	if q.waiting == 0 {
		delete(s.questions, request)
	}
}
