// Package poison finds what crashes endpoints: parts of prompts that crash engines (Detector),
// and single requests and parts that crash any endpoint (CrashDetector). Such a part takes down every
// engine that begins to answer a prompt with it, so that repeating the request, or serving the
// next one, takes down one engine after the other; such a request does when it is repeated.
//
// The evidence of a Detector for a part is a loss: an engine that began its answer to a request and
// was lost before the second event. Other requests that run on the engine are lost before their answer
// begins or between two events. A part whose losses occurred on several endpoints, with no
// success in between, is blocked. A CrashDetector finds parts at which engines end at any other
// moment too, from more losses. Hosts tell each other of losses, successes and blocks. For
// the evidence for a request see CrashDetector.
package poison

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// A part is blocked after losses on _minEndpoints endpoints by _minRequests requests.
	// A single request does not suffice, since its caller may just repeat it.
	_minEndpoints = 3
	_minRequests  = 2
	// _minEndpointsIfGood replaces _minEndpoints for a part with a recent success.
	_minEndpointsIfGood = 2 * _minEndpoints
	// _recentSuccessTime is how long a success counts as recent.
	_recentSuccessTime = time.Minute
	// _minSuspicionTime is the least time from a part's first loss until it is blocked. By then
	// successes known to other hosts have arrived: two heartbeat intervals.
	_minSuspicionTime = 500 * time.Millisecond
	// _lifetime is how long losses and blocks are kept. A block that ends may cost a few
	// engines again; one that hits a harmless part refuses its requests for as long.
	_lifetime = 10 * time.Minute
	// _announceTime is how long a loss is reported to other hosts after this one learned
	// of it: some heartbeats, since a datagram may get lost.
	_announceTime = 2 * time.Second
	// The most that is kept of each.
	_maxLosses    = 64
	_maxLossBytes = 1 << 20 // of the losses' parts
	_maxBlocks    = 16
	_maxGood      = 1 << 15
	// _maxReportedLosses is the most losses in a report.
	_maxReportedLosses = 16
)

// Loss is the loss of an endpoint that had begun to answer a request.
type Loss struct {
	// Endpoint is the ID of the endpoint's incarnation.
	Endpoint string
	// Request tells different requests apart. A request that is sent again keeps it.
	Request string
	// Parts are the keys of the request's parts that other requests may share.
	Parts []string
	At    time.Time
}

// Success is the latest time at which an answer to a prompt with a part went on after its
// first event.
type Success struct {
	Part string
	At   time.Time
}

// Block is a set of parts that crash engines: requests that have all of them are refused.
// It has more than one part while they have only been seen together.
type Block struct {
	Parts []string
	// Since is when the first engine was lost, Until when the block ends.
	Since time.Time
	Until time.Time
}

// Report is what a host tells the others.
type Report struct {
	Losses    []Loss
	Successes []Success
	Blocks    []Block
}

type knownLoss struct {
	Loss
	learnedAt time.Time
}

// Detector holds what a host knows of losses and successes. It is not safe for concurrent
// use.
type Detector struct {
	losses []knownLoss
	// good holds the latest success of each part, and olderGood those of parts that had
	// none since good was last full.
	good, olderGood map[string]time.Time
	blocks          []Block
	// pending is true while the losses may justify a block that is not in force.
	pending bool
}

// New returns a detector that knows nothing.
func New() *Detector { return &Detector{good: make(map[string]time.Time)} }

// RecordLoss records a loss, or further parts of one that is known. It reports whether anything was not known.
func (d *Detector) RecordLoss(now time.Time, loss Loss) bool {
	loss.Request = keyOf(loss.Request)
	loss.Parts = knownKeys(loss.Parts)
	if len(loss.Parts) == 0 || now.Sub(loss.At) > _lifetime {
		return false
	}
	i := slices.IndexFunc(d.losses, func(k knownLoss) bool { return k.Endpoint == loss.Endpoint && k.Request == loss.Request })
	if i < 0 {
		d.losses = append(d.losses, knownLoss{Loss: loss, learnedAt: now})
	} else if !d.losses[i].addParts(loss.Parts) {
		return false
	}
	d.losses = d.losses[d.countOutdated():]
	d.pending = true
	return true
}

// addParts reports whether any of the parts was not known.
func (l *knownLoss) addParts(parts []string) bool {
	all := knownKeys(union(l.Parts, parts))
	if len(all) == len(l.Parts) {
		return false
	}
	l.Parts = all
	return true
}

// countOutdated returns how many of the first losses are dropped, since there are too many.
func (d *Detector) countOutdated() int {
	first, bytes := max(len(d.losses)-_maxLosses, 0), 0
	for i, loss := range slices.Backward(d.losses) {
		if bytes += bytesOf(loss.Parts); bytes > _maxLossBytes {
			return max(first, i+1)
		}
	}
	return first
}

// RecordSuccess records that an answer to a prompt with the parts went on after its first
// event.
func (d *Detector) RecordSuccess(at time.Time, parts []string) {
	for _, part := range knownKeys(parts) {
		if !at.After(d.lastSuccess(part)) {
			continue
		}
		if len(d.good) >= _maxGood/2 {
			d.good, d.olderGood = make(map[string]time.Time), d.good
		}
		d.good[part] = at
	}
	d.narrowBlocks()
}

func (d *Detector) lastSuccess(part string) time.Time {
	if at, ok := d.good[part]; ok {
		return at
	}
	return d.olderGood[part]
}

// narrowBlocks removes parts from blocks that cannot be the cause: those that succeeded
// after the first loss and, if others are left, those that had succeeded shortly before it.
// A block without parts is dropped.
func (d *Detector) narrowBlocks() {
	for i := range d.blocks {
		since := d.blocks[i].Since
		d.blocks[i].Parts = d.withoutSuccess(d.blocks[i].Parts, since)
		if left := d.withoutSuccess(d.blocks[i].Parts, since.Add(-_recentSuccessTime)); len(left) > 0 {
			d.blocks[i].Parts = left
		}
	}
	d.blocks = slices.DeleteFunc(d.blocks, func(b Block) bool { return len(b.Parts) == 0 })
}

// withoutSuccess returns the parts without a success after a time.
func (d *Detector) withoutSuccess(parts []string, after time.Time) []string {
	return slices.DeleteFunc(slices.Clone(parts), func(part string) bool { return d.lastSuccess(part).After(after) })
}

// Blocked reports whether a request with the parts is refused, and until when.
func (d *Detector) Blocked(now time.Time, parts []string) (until time.Time, blocked bool) {
	for _, b := range d.blocks {
		if now.Before(b.Until) && containsAll(parts, b.Parts) {
			return b.Until, true
		}
	}
	return time.Time{}, false
}

// Merge adds what another host reported. It reports whether a loss or a block was not
// known, which other hosts must learn of at once.
func (d *Detector) Merge(now time.Time, report Report) (isNew bool) {
	for _, s := range report.Successes {
		d.RecordSuccess(s.At, []string{s.Part})
	}
	for _, loss := range report.Losses {
		isNew = d.RecordLoss(now, loss) || isNew
	}
	for _, b := range report.Blocks {
		isNew = d.addBlock(now, b) || isNew
	}
	return isNew
}

func (d *Detector) addBlock(now time.Time, b Block) bool {
	b.Parts = knownKeys(b.Parts)
	if len(b.Parts) == 0 || !now.Before(b.Until) || slices.ContainsFunc(d.blocks, func(k Block) bool { return containsAll(b.Parts, k.Parts) }) {
		return false
	}
	d.blocks = append(d.blocks, b)
	d.blocks = d.blocks[max(len(d.blocks)-_maxBlocks, 0):]
	before := len(d.blocks)
	d.narrowBlocks()
	return len(d.blocks) == before
}

// Settle drops what has expired, and returns the blocks that the losses known now justify
// and that were not in force.
func (d *Detector) Settle(now time.Time) []Block {
	d.losses = slices.DeleteFunc(d.losses, func(l knownLoss) bool { return now.Sub(l.At) > _lifetime })
	d.blocks = slices.DeleteFunc(d.blocks, func(b Block) bool { return !now.Before(b.Until) })
	var added []Block
	for d.pending {
		block, ok := d.findBlock(now)
		if !ok || !d.addBlock(now, block) {
			return added
		}
		added = append(added, block)
	}
	return added
}

// findBlock returns a block for the part with losses on most endpoints that no block
// explains.
func (d *Detector) findBlock(now time.Time) (Block, bool) {
	var found Block
	most := 0
	d.pending = false
	lost := d.indexLosses()
	for _, part := range slices.Sorted(maps.Keys(lost)) {
		losses := d.evidence(part, lost[part])
		endpoints := countDistinct(losses, func(l Loss) string { return l.Endpoint })
		requests := countDistinct(losses, func(l Loss) string { return l.Request })
		if endpoints < d.needed(now, part) || requests < _minRequests || endpoints <= most {
			continue
		}
		first := slices.MinFunc(losses, func(a, b Loss) int { return a.At.Compare(b.At) })
		d.pending = true
		if now.Sub(first.At) < _minSuspicionTime {
			continue
		}
		found = Block{Parts: d.commonParts(now, part, losses), Since: first.At, Until: now.Add(_lifetime)}
		most = endpoints
	}
	return found, most > 0
}

// needed returns on how many endpoints a part's losses must have occurred.
func (d *Detector) needed(now time.Time, part string) int {
	if d.recentlyGood(now, part) {
		return _minEndpointsIfGood
	}
	return _minEndpoints
}

func (d *Detector) recentlyGood(now time.Time, part string) bool {
	at := d.lastSuccess(part)
	return !at.IsZero() && now.Sub(at) < _recentSuccessTime
}

// partLoss is a loss of a part, and the blocks that explain it.
type partLoss struct {
	Loss

	explainedBy []Block
}

// indexLosses returns the losses of each part with as many as a block needs.
func (d *Detector) indexLosses() map[string][]*partLoss {
	lost := make(map[string][]*partLoss)
	for _, loss := range d.losses {
		l := &partLoss{Loss: loss.Loss}
		for _, b := range d.blocks {
			if containsAll(loss.Parts, b.Parts) {
				l.explainedBy = append(l.explainedBy, b)
			}
		}
		for _, part := range loss.Parts {
			lost[part] = append(lost[part], l)
		}
	}
	maps.DeleteFunc(lost, func(_ string, losses []*partLoss) bool { return len(losses) < _minEndpoints })
	return lost
}

// evidence returns the losses of a part since its last success, if there are any that no
// block explains. Losses that other parts explain are left out; those that a block of
// several parts explains still count for each of these parts.
func (d *Detector) evidence(part string, lost []*partLoss) []Loss {
	var losses []Loss
	hasUnexplained := false
	for _, loss := range lost {
		if !loss.At.After(d.lastSuccess(part)) {
			continue
		}
		isExplained, byOthers := false, false
		for _, b := range loss.explainedBy {
			isExplained = true
			byOthers = byOthers || len(b.Parts) == 1 || !slices.Contains(b.Parts, part)
		}
		if !byOthers {
			losses = append(losses, loss.Loss)
		}
		hasUnexplained = hasUnexplained || !isExplained
	}
	if !hasUnexplained {
		return nil
	}
	return losses
}

// commonParts returns the parts that are in all losses: the given one, and those without a
// recent success.
func (d *Detector) commonParts(now time.Time, part string, losses []Loss) []string {
	common := slices.Clone(losses[0].Parts)
	return slices.DeleteFunc(common, func(other string) bool {
		inAll := !slices.ContainsFunc(losses, func(l Loss) bool { return !l.contains(other) })
		return other != part && (!inAll || d.recentlyGood(now, other))
	})
}

func (l *Loss) contains(part string) bool {
	_, found := slices.BinarySearch(l.Parts, part)
	return found
}

// Report returns what other hosts are told: all blocks but the largest, the losses that this host learned
// of lately or, for a host that has just started, all of them, and the successes of the
// parts concerned.
func (d *Detector) Report(now time.Time, all bool) Report {
	var r Report
	for _, loss := range slices.Backward(d.losses) {
		if len(r.Losses) < _maxReportedLosses && (all || now.Sub(loss.learnedAt) < _announceTime) {
			r.Losses = append(r.Losses, loss.Loss)
		}
	}
	r.Losses = withinBytes(r.Losses, _maxReportBytes, func(l Loss) []string { return l.Parts })
	slices.Reverse(r.Losses)
	for _, b := range d.blocks {
		if encodedBytes(b.Parts) <= _maxBlockBytes {
			r.Blocks = append(r.Blocks, b)
		}
	}
	var parts []string
	for _, loss := range r.Losses {
		parts = append(parts, loss.Parts...)
	}
	slices.Sort(parts)
	for _, part := range slices.Compact(parts) {
		if d.recentlyGood(now, part) {
			r.Successes = append(r.Successes, Success{Part: part, At: d.lastSuccess(part)})
		}
	}
	return r
}

// Blocks returns the blocks in force.
func (d *Detector) Blocks() []Block { return slices.Clone(d.blocks) }

// String lists the parts of a block, for logs.
func (b Block) String() string { return strings.Join(b.Parts, "+") }

func countDistinct(losses []Loss, key func(Loss) string) int {
	seen := make(map[string]bool, len(losses))
	for _, loss := range losses {
		seen[key(loss)] = true
	}
	return len(seen)
}
