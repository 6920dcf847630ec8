package poison

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"apricotproxy/core"
)

const (
	// _minCrashes is the number of endpoints that a request must have crashed to be blocked.
	// Losses at the same moment count once: endpoints that end together do not do so by a request.
	_minCrashes = 3
	// _crashSeparation is the time between two losses from which they are not at the same moment.
	// Times that other hosts reported are off by some milliseconds.
	_crashSeparation = 50 * time.Millisecond
	// _answerDelay is how long after a loss an answer of the same endpoint shows that it did not
	// end then: an answer that was sent before may take some time to be read.
	_answerDelay = 500 * time.Millisecond
	// _unconfirmedTime is how long after the latest loss a block may still be lifted soon, by an
	// answer. Callers are told to come back after it.
	_unconfirmedTime = time.Second
	// The most that is kept of each.
	_maxRequestLosses      = 1024
	_maxRequestLossesBytes = 4 << 20 // of the losses' parts
	_maxAnswers            = 1024
	// _maxReported bounds each list of a report, which must fit into a datagram.
	_maxReported = 64
	// _relayTime is how long this host passes on what it learned from another data centre: a
	// heartbeat interval. Several hosts of this data centre are told.
	_relayTime = 250 * time.Millisecond
)

// RequestLoss is the loss of a request's connection to an endpoint before its answer was whole.
type RequestLoss struct {
	Request  Digest
	Endpoint core.EndpointKey
	// Parts are the keys of the parts of the request's prompt that other requests may share.
	Parts []string
	// SentAt is when the request was sent there, At when its connection ended.
	SentAt time.Time
	At     time.Time
}

// EndpointAnswer is an answer of an endpoint that lost requests before.
type EndpointAnswer struct {
	Endpoint core.EndpointKey
	At       time.Time
}

// RequestSuccess is a whole answer to a request that endpoints had lost before.
type RequestSuccess struct {
	Request Digest
	At      time.Time
}

// RequestReport is what a host tells the others of requests that may crash endpoints.
type RequestReport struct {
	Losses        []RequestLoss
	Answers       []EndpointAnswer
	Successes     []RequestSuccess
	PartSuccesses []Success
}

// Origin is who saw what this host learns of a request.
type Origin uint8

// Origins.
const (
	Own Origin = iota + 1
	SameDataCentre
	OtherDataCentre
)

// observation is when something happened, when this host learned of it, and from whom.
type observation struct {
	at, learnedAt time.Time
	origin        Origin
	// sentAt is when a request was sent that was lost at the time at, parts those of its prompt.
	sentAt time.Time
	parts  []string
}

// isReported reports whether hosts of the own data centre, or of another one, are told. Who saw
// something tells all others; what came from another data centre is passed on once.
func (s observation) isReported(now time.Time, toOther bool) bool {
	switch s.origin {
	case Own:
		return now.Sub(s.learnedAt) < _announceTime
	case OtherDataCentre:
		return !toOther && now.Sub(s.learnedAt) < _relayTime
	default:
		return false
	}
}

// CrashDetector finds requests and parts of prompts that crash each endpoint that begins to run
// them, and blocks them. It is not safe for concurrent use.
//
// All requests that run on an endpoint are lost when it ends, whatever their answers have come to.
// The one that crashes it is lost with each endpoint that it reaches, and is never answered to the
// end. So a request is blocked while it was lost at _minCrashes moments with endpoints that no
// other blocked request was lost with; the one lost at most moments comes first. A loss counts
// until its endpoint answers any request, which one that only closed the connection does soon,
// or until the request is answered anywhere. For parts of prompts see findBlockedParts. All
// hosts come to the same result from the same losses.
type CrashDetector struct {
	// losses holds the losses that count, count is their number and byEndpoint that of each
	// endpoint.
	losses     map[Digest]map[core.EndpointKey]observation
	count      int
	byEndpoint map[core.EndpointKey]int
	// partBytes is about the memory that the losses' parts take.
	partBytes int
	// answers and successes hold the latest of those that dropped losses, so that reports of
	// these losses are recognised as outdated.
	answers   map[core.EndpointKey]observation
	successes map[Digest]observation
	// blocked holds the latest loss of each blocked request.
	blocked map[Digest]time.Time
	// whole holds the latest whole answer to a prompt with each part, and olderWhole those of parts
	// that had none since whole was last full.
	whole, olderWhole map[string]observation
	// blockedParts are those found at partsFoundAt; arePartsOutdated is true if something changed since.
	blockedParts     []partBlock
	partsFoundAt     time.Time
	arePartsOutdated bool
}

// NewCrashDetector returns a detector that knows nothing.
func NewCrashDetector() *CrashDetector {
	return &CrashDetector{
		losses: make(map[Digest]map[core.EndpointKey]observation), answers: make(map[core.EndpointKey]observation),
		successes: make(map[Digest]observation), blocked: make(map[Digest]time.Time),
		byEndpoint: make(map[core.EndpointKey]int), whole: make(map[string]observation),
	}
}

// RecordLoss records a loss. It reports whether it was not known and counts.
func (d *CrashDetector) RecordLoss(now time.Time, origin Origin, loss RequestLoss) bool {
	isNew := d.addLoss(now, origin, loss)
	if isNew {
		d.update()
	}
	return isNew
}

func (d *CrashDetector) addLoss(now time.Time, origin Origin, loss RequestLoss) bool {
	if known, ok := d.losses[loss.Request][loss.Endpoint]; ok {
		return d.addParts(loss, known)
	}
	if now.Sub(loss.At) > _lifetime {
		return false
	}
	if d.answers[loss.Endpoint].at.After(loss.At.Add(_answerDelay)) || !loss.At.After(d.successes[loss.Request].at) {
		return false
	}
	if d.losses[loss.Request] == nil {
		d.losses[loss.Request] = make(map[core.EndpointKey]observation)
	}
	parts := knownKeys(loss.Parts)
	d.losses[loss.Request][loss.Endpoint] = observation{at: loss.At, learnedAt: now, origin: origin, sentAt: loss.SentAt, parts: parts}
	d.count++
	d.byEndpoint[loss.Endpoint]++
	d.partBytes += bytesOf(parts)
	d.dropExcess()
	return true
}

// addParts adds further parts to a known loss, since a report of many parts comes in several datagrams. It reports whether any was
// not known.
func (d *CrashDetector) addParts(loss RequestLoss, known observation) bool {
	parts := knownKeys(union(known.parts, knownKeys(loss.Parts)))
	if len(parts) == len(known.parts) {
		return false
	}
	d.partBytes += bytesOf(parts) - bytesOf(known.parts)
	known.parts = parts
	d.losses[loss.Request][loss.Endpoint] = known
	d.dropExcess()
	return true
}

// dropExcess drops losses while they are too many.
func (d *CrashDetector) dropExcess() {
	for d.count > _maxRequestLosses || d.partBytes > _maxRequestLossesBytes {
		d.dropLeastEvidence()
	}
}

// dropLoss drops one loss.
func (d *CrashDetector) dropLoss(request Digest, endpoint core.EndpointKey) {
	d.count--
	d.partBytes -= bytesOf(d.losses[request][endpoint].parts)
	if d.byEndpoint[endpoint]--; d.byEndpoint[endpoint] == 0 {
		delete(d.byEndpoint, endpoint)
	}
	delete(d.losses[request], endpoint)
	if len(d.losses[request]) == 0 {
		delete(d.losses, request)
	}
}

// dropLeastEvidence drops all losses of one of the requests with the fewest, the one whose
// first loss is the oldest. Those that justify a block of parts come last.
func (d *CrashDetector) dropLeastEvidence() {
	var least Digest
	var leastFirst time.Time
	for request, losses := range d.losses {
		first, isEvidence := time.Time{}, false
		for _, s := range losses {
			if first.IsZero() || s.at.Before(first) {
				first = s.at
			}
			isEvidence = isEvidence || d.hasBlockedParts(s.parts)
		}
		if isEvidence && !leastFirst.IsZero() {
			continue
		}
		fewer := len(losses) - len(d.losses[least])
		if leastFirst.IsZero() || fewer < 0 || fewer == 0 && first.Before(leastFirst) {
			least, leastFirst = request, first
		}
	}
	for endpoint := range d.losses[least] {
		d.dropLoss(least, endpoint)
	}
}

// IsIdle reports whether no losses are known, so that answers and successes tell nothing.
func (d *CrashDetector) IsIdle() bool { return d.count == 0 }

// RecordAnswer records that an endpoint answered. It reports whether losses were dropped.
func (d *CrashDetector) RecordAnswer(now time.Time, origin Origin, answer EndpointAnswer) bool {
	if d.byEndpoint[answer.Endpoint] == 0 {
		return false
	}
	dropped := false
	for request, losses := range d.losses {
		if loss, lost := losses[answer.Endpoint]; lost && answer.At.After(loss.at.Add(_answerDelay)) {
			dropped = true
			d.dropLoss(request, answer.Endpoint)
		}
	}
	if !dropped {
		return false
	}
	if len(d.answers) >= _maxAnswers {
		clear(d.answers)
	}
	d.answers[answer.Endpoint] = observation{at: answer.At, learnedAt: now, origin: origin}
	d.update()
	return true
}

// RecordSuccess records that a request was answered. It reports whether losses were dropped.
func (d *CrashDetector) RecordSuccess(now time.Time, origin Origin, success RequestSuccess) bool {
	dropped := false
	for endpoint, loss := range d.losses[success.Request] {
		if !loss.at.After(success.At) {
			dropped = true
			d.dropLoss(success.Request, endpoint)
		}
	}
	if !dropped {
		return false
	}
	if len(d.successes) >= _maxAnswers {
		clear(d.successes)
	}
	d.successes[success.Request] = observation{at: success.At, learnedAt: now, origin: origin}
	d.update()
	return true
}

// Settle drops what has expired.
func (d *CrashDetector) Settle(now time.Time) {
	if d.IsIdle() {
		d.blockedParts = nil
		return
	}
	for request, losses := range d.losses {
		for endpoint, loss := range losses {
			if now.Sub(loss.at) > _lifetime {
				d.dropLoss(request, endpoint)
			}
		}
	}
	d.update()
	d.updateParts(now)
}

// update determines which requests are blocked.
func (d *CrashDetector) update() {
	d.arePartsOutdated = true
	clear(d.blocked)
	crashes := make(map[Digest]int)
	var candidates []Digest
	for request, losses := range d.losses {
		if len(losses) < _minCrashes {
			continue
		}
		if n := len(successiveRuns(losses, nil)); n >= _minCrashes {
			crashes[request] = n
			candidates = append(candidates, request)
		}
	}
	slices.SortFunc(candidates, func(a, b Digest) int { return cmp.Or(crashes[b]-crashes[a], bytes.Compare(a[:], b[:])) })
	explained := make(map[core.EndpointKey]bool)
	for _, request := range candidates {
		losses := d.losses[request]
		if len(successiveRuns(losses, explained)) < _minCrashes {
			continue
		}
		var latest time.Time
		for endpoint, loss := range losses {
			explained[endpoint] = true
			if loss.at.After(latest) {
				latest = loss.at
			}
		}
		d.blocked[request] = latest
	}
}

// lostRun is a run that was lost with an endpoint.
type lostRun struct {
	observation

	endpoint core.EndpointKey
}

// successiveRuns returns the longest series of lost runs that ended at different moments, without
// those at excluded endpoints. A run that was mostly after the end of another one, as a retry,
// does not end at the same moment, however soon it is lost.
func successiveRuns(losses map[core.EndpointKey]observation, excluded map[core.EndpointKey]bool) []lostRun {
	runs := make([]lostRun, 0, len(losses))
	for endpoint, loss := range losses {
		if !excluded[endpoint] {
			runs = append(runs, lostRun{observation: loss, endpoint: endpoint})
		}
	}
	slices.SortFunc(runs, func(a, b lostRun) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.endpoint.ID, b.endpoint.ID)) })
	var successive []lostRun
	var end time.Time
	for _, run := range runs {
		middle := run.sentAt.Add(run.at.Sub(run.sentAt) / 2)
		if middle.After(end) || run.at.Sub(end) >= _crashSeparation {
			successive = append(successive, run)
			end = run.at
		}
	}
	return successive
}

// Blocked reports whether a request is refused, and when its caller may come back.
func (d *CrashDetector) Blocked(now time.Time, request Digest) (until time.Time, blocked bool) {
	latest, blocked := d.blocked[request]
	if !blocked {
		return time.Time{}, false
	}
	return blockUntil(now, latest), true
}

// blockUntil returns when the caller of a blocked request may come back, if its latest loss is known.
func blockUntil(now, latest time.Time) time.Time {
	if now.Before(latest.Add(_unconfirmedTime)) {
		return now.Add(_unconfirmedTime)
	}
	return latest.Add(_lifetime)
}

// BlockedRequests lists the blocked requests, in a fixed order.
func (d *CrashDetector) BlockedRequests() []Digest {
	requests := make([]Digest, 0, len(d.blocked))
	for request := range d.blocked {
		requests = append(requests, request)
	}
	slices.SortFunc(requests, func(a, b Digest) int { return bytes.Compare(a[:], b[:]) })
	return requests
}

// Merge adds what another host reported.
func (d *CrashDetector) Merge(now time.Time, origin Origin, report *RequestReport) {
	changed := false
	for _, loss := range report.Losses {
		changed = d.addLoss(now, origin, loss) || changed
	}
	for _, success := range report.PartSuccesses {
		changed = d.addPartSuccess(now, origin, success) || changed
	}
	if changed {
		d.update()
	}
	for _, answer := range report.Answers {
		d.RecordAnswer(now, origin, answer)
	}
	for _, success := range report.Successes {
		d.RecordSuccess(now, origin, success)
	}
}

// Report returns what hosts of the own data centre or, if toOther is true, of another one are
// told of what this host learned lately. Losses of requests lost with most endpoints come first.
func (d *CrashDetector) Report(now time.Time, toOther bool) RequestReport {
	var r RequestReport
	for request, losses := range d.losses {
		for endpoint, loss := range losses {
			if loss.isReported(now, toOther) {
				r.Losses = append(r.Losses, loss.requestLoss(request, endpoint))
			}
		}
	}
	slices.SortFunc(r.Losses, func(a, b RequestLoss) int {
		return cmp.Or(len(d.losses[b.Request])-len(d.losses[a.Request]), b.At.Compare(a.At), bytes.Compare(a.Request[:], b.Request[:]))
	})
	r.Losses = r.Losses[:min(len(r.Losses), _maxReported)]
	r.Losses = withinBytes(r.Losses, _maxReportBytes, func(l RequestLoss) []string { return l.Parts })
	for endpoint, answer := range d.answers {
		if answer.isReported(now, toOther) && len(r.Answers) < _maxReported {
			r.Answers = append(r.Answers, EndpointAnswer{Endpoint: endpoint, At: answer.at})
		}
	}
	for request, success := range d.successes {
		if success.isReported(now, toOther) && len(r.Successes) < _maxReported {
			r.Successes = append(r.Successes, RequestSuccess{Request: request, At: success.at})
		}
	}
	r.PartSuccesses = d.reportPartSuccesses(now, toOther)
	return r
}

func (s observation) requestLoss(request Digest, endpoint core.EndpointKey) RequestLoss {
	return RequestLoss{Request: request, Endpoint: endpoint, Parts: s.parts, SentAt: s.sentAt, At: s.at}
}

// ReportBlocked returns what a host needs to block the same requests and parts: for each, its
// latest successive losses.
func (d *CrashDetector) ReportBlocked() RequestReport {
	var r RequestReport
	for _, request := range d.BlockedRequests() {
		if len(r.Losses)+_minCrashes > _maxReported {
			break
		}
		runs := successiveRuns(d.losses[request], nil)
		for _, run := range runs[len(runs)-_minCrashes:] {
			r.Losses = append(r.Losses, run.requestLoss(request, run.endpoint))
		}
	}
	for _, block := range d.blockedParts {
		if len(r.Losses)+len(block.evidence) <= _maxReported {
			r.Losses = append(r.Losses, block.evidence...)
		}
	}
	return r
}

// IsEmpty reports whether there is nothing to tell.
func (r *RequestReport) IsEmpty() bool {
	return len(r.Losses)+len(r.Answers)+len(r.Successes)+len(r.PartSuccesses) == 0
}
