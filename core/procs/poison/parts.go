package poison

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

const (
	// _minPartCrashes is the number of moments at which a part must have been lost with endpoints
	// to be blocked. Runs of sound prompts are lost together with one that crashes their endpoint, so
	// it is more than for a single request; the users' bound counts from the fifth crash.
	_minPartCrashes = 4
	// _minPartLead is how many times as often as the next part it must have been lost, up to
	// _maxPartCrashes moments, from which on it is blocked in any case: where many endpoints end for
	// other reasons, several parts are lost often.
	_minPartLead    = 2
	_maxPartCrashes = 8
	// _maxOthersPerOwn excludes the end of an endpoint from a part's evidence if more than this
	// many endpoints without the part ended at the same moment for each one with it: a wave of
	// ends has another cause than a part that is rare among them.
	_maxOthersPerOwn = 1
	// _minSuspectEnds is the number of ends from which on a part matters: as a suspect, or as one
	// that is lost nearly as often as a suspect.
	_minSuspectEnds = 3
	// _maxCandidates bounds the sets of parts that are compared in a search, those that were lost most often.
	_maxCandidates = 64
	// _maxReportedParts bounds the parts in a report that were in prompts which were answered.
	_maxReportedParts = 1024
	// _partsInterval is the least time between two searches for parts. With hundreds of hosts, reports
	// arrive more often than a search is worth its time.
	_partsInterval = 100 * time.Millisecond
)

// partBlock is a set of parts that crash endpoints. It has more than one part while they were lost
// with the same endpoints. evidence holds its latest losses.
type partBlock struct {
	parts    []string
	latest   time.Time
	evidence []RequestLoss
}

// RecordPartSuccess records a whole answer to a prompt with the parts.
func (d *CrashDetector) RecordPartSuccess(now time.Time, origin Origin, parts []string) {
	changed := false
	for _, part := range knownKeys(parts) {
		changed = d.addPartSuccess(now, origin, Success{Part: part, At: now}) || changed
	}
	d.arePartsOutdated = d.arePartsOutdated || changed
}

// updateParts determines which parts are blocked, if something changed.
func (d *CrashDetector) updateParts(now time.Time) {
	if !d.arePartsOutdated || now.Sub(d.partsFoundAt) < _partsInterval {
		return
	}
	d.partsFoundAt = now
	// A part's first loss may be too recent, so that time alone changes the result.
	d.arePartsOutdated = d.hasRecentLoss(now)
	d.blockedParts = d.findBlockedParts(now)
}

func (d *CrashDetector) hasRecentLoss(now time.Time) bool {
	for _, losses := range d.losses {
		for _, loss := range losses {
			if now.Sub(loss.at) <= _minSuspicionTime {
				return true
			}
		}
	}
	return false
}

func (d *CrashDetector) addPartSuccess(now time.Time, origin Origin, success Success) bool {
	success.Part = keyOf(success.Part)
	if !success.At.After(d.lastWhole(success.Part).at) {
		return false
	}
	if len(d.whole) >= _maxGood/2 {
		d.whole, d.olderWhole = make(map[string]observation), d.whole
	}
	d.whole[success.Part] = observation{at: success.At, learnedAt: now, origin: origin}
	return true
}

func (d *CrashDetector) lastWhole(part string) observation {
	if s, ok := d.whole[part]; ok {
		return s
	}
	return d.olderWhole[part]
}

// reportPartSuccesses returns the whole answers to prompts with parts of known losses.
func (d *CrashDetector) reportPartSuccesses(now time.Time, toOther bool) []Success {
	parts := make(map[string]bool)
	for _, losses := range d.losses {
		for _, loss := range losses {
			for _, part := range loss.parts {
				parts[part] = true
			}
		}
	}
	var successes []Success
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		if s := d.lastWhole(part); s.isReported(now, toOther) && len(successes) < _maxReportedParts {
			successes = append(successes, Success{Part: part, At: s.at})
		}
	}
	return successes
}

// partSuspect is a part with losses since its last whole answer.
type partSuspect struct {
	part string
	// ends holds one lost run for each endpoint, lost the number of lost runs.
	ends     map[core.EndpointKey]observation
	requests map[core.EndpointKey]Digest
	lost     int
	runs     []lostRun
	// others are the parts that were lost with the same endpoints.
	others []string
}

// findBlockedParts returns the parts that crash endpoints, from the losses of all requests. All
// runs on an endpoint end with it, so a part that crashes endpoints is lost again and again by
// several requests, and is never in a prompt that was answered to the end. The part lost at most
// moments comes first and explains these ends; what else was lost there needs other ends to be
// blocked.
func (d *CrashDetector) findBlockedParts(now time.Time) []partBlock {
	ends, suspects := d.suspectedParts()
	candidates := make([]*partSuspect, 0, len(suspects))
	for _, s := range suspects {
		if len(s.ends) < _minSuspectEnds {
			continue
		}
		s.keepEvidence(ends)
		if s.runs = successiveRuns(s.ends, nil); len(s.runs) >= _minSuspectEnds {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(a, b *partSuspect) int {
		return cmp.Or(len(b.runs)-len(a.runs), a.lost-b.lost, strings.Compare(a.part, b.part))
	})
	candidates = joinSameEnds(candidates)
	candidates = candidates[:min(len(candidates), _maxCandidates)]
	explained := make(map[core.EndpointKey]bool)
	var blocks []partBlock
	for _, s := range candidates {
		if !s.maySuffice(now) || len(successiveRuns(s.ends, explained)) < s.needed(candidates, explained) {
			continue
		}
		block := partBlock{parts: slices.Sorted(slices.Values(append(s.others, s.part))), latest: s.runs[len(s.runs)-1].at, evidence: s.evidence()}
		for endpoint := range s.ends {
			explained[endpoint] = true
		}
		blocks = append(blocks, block)
	}
	return blocks
}

// joinSameEnds joins the suspects that were lost with the same endpoints to the first of them. Prompts may have a thousand parts in
// common.
func joinSameEnds(suspects []*partSuspect) []*partSuspect {
	bySum := make(map[uint64][]*partSuspect)
	var joined []*partSuspect
	for _, s := range suspects {
		sum := s.sumOfEnds()
		if i := slices.IndexFunc(bySum[sum], s.sameEnds); i >= 0 {
			first := bySum[sum][i]
			first.others = append(first.others, s.part)
			continue
		}
		bySum[sum] = append(bySum[sum], s)
		joined = append(joined, s)
	}
	return joined
}

func (s *partSuspect) sameEnds(other *partSuspect) bool {
	return maps.EqualFunc(s.ends, other.ends, func(a, b observation) bool { return a.at.Equal(b.at) })
}

// sumOfEnds returns a number that is the same for suspects with the same ends.
func (s *partSuspect) sumOfEnds() (sum uint64) {
	for endpoint, loss := range s.ends {
		sum += xxhash.Sum64String(endpoint.ID) ^ uint64(loss.at.UnixNano())
	}
	return sum
}

// needed returns at how many moments the part must have been lost: more than other parts were until
// its latest loss at ends that it does not explain. Later ends say nothing of a part that is
// blocked by then.
func (s *partSuspect) needed(candidates []*partSuspect, explained map[core.EndpointKey]bool) int {
	latest := s.runs[len(s.runs)-1].at
	needed := _minPartCrashes
	for _, other := range candidates {
		ends := maps.Clone(other.ends)
		maps.DeleteFunc(ends, func(endpoint core.EndpointKey, loss observation) bool {
			_, isOwn := s.ends[endpoint]
			return isOwn || explained[endpoint] || loss.at.After(latest)
		})
		if n := _minPartLead * len(successiveRuns(ends, nil)); n > needed {
			needed = min(n, _maxPartCrashes)
		}
	}
	return needed
}

// suspectedParts returns when endpoints ended, and the parts with losses since their last whole answer.
func (d *CrashDetector) suspectedParts() (ends map[core.EndpointKey]time.Time, suspects map[string]*partSuspect) {
	ends, suspects = make(map[core.EndpointKey]time.Time), make(map[string]*partSuspect)
	counts := d.countLosses()
	for request, losses := range d.losses {
		for endpoint, loss := range losses {
			if at, ok := ends[endpoint]; !ok || loss.at.Before(at) {
				ends[endpoint] = loss.at
			}
			for _, part := range loss.parts {
				if counts[part] < _minSuspectEnds || !loss.at.After(d.lastWhole(part).at) {
					continue
				}
				s := suspects[part]
				if s == nil {
					s = &partSuspect{part: part, ends: make(map[core.EndpointKey]observation), requests: make(map[core.EndpointKey]Digest)}
					suspects[part] = s
				}
				s.lost++
				if known, ok := s.ends[endpoint]; !ok || loss.sentAt.After(known.sentAt) {
					s.ends[endpoint], s.requests[endpoint] = loss, request
				}
			}
		}
	}
	return ends, suspects
}

// countLosses returns the number of losses of each part.
func (d *CrashDetector) countLosses() map[string]int {
	counts := make(map[string]int)
	for _, losses := range d.losses {
		for _, loss := range losses {
			for _, part := range loss.parts {
				counts[part]++
			}
		}
	}
	return counts
}

// keepEvidence drops the ends at which many endpoints without the part ended too.
func (s *partSuspect) keepEvidence(ends map[core.EndpointKey]time.Time) {
	dropped := make(map[core.EndpointKey]bool)
	for endpoint, loss := range s.ends {
		own, others := 0, 0
		for other, at := range ends {
			if at.Sub(loss.at).Abs() >= _crashSeparation {
				continue
			}
			if _, ok := s.ends[other]; ok {
				own++
			} else {
				others++
			}
		}
		dropped[endpoint] = others > _maxOthersPerOwn*own
	}
	maps.DeleteFunc(s.ends, func(endpoint core.EndpointKey, _ observation) bool { return dropped[endpoint] })
}

// maySuffice reports whether the losses of a part justify a block if no other part was lost as often.
func (s *partSuspect) maySuffice(now time.Time) bool {
	return len(s.runs) >= _minPartCrashes && now.Sub(s.runs[0].at) >= _minSuspicionTime && s.countRequests() >= _minRequests
}

func (s *partSuspect) countRequests() int {
	requests := make(map[Digest]bool)
	for endpoint := range s.ends {
		requests[s.requests[endpoint]] = true
	}
	return len(requests)
}

// evidence returns the latest losses that suffice for a block, of _minRequests requests at least.
func (s *partSuspect) evidence() []RequestLoss {
	var losses []RequestLoss
	requests := make(map[Digest]bool)
	for _, run := range slices.Backward(s.runs) {
		request := s.requests[run.endpoint]
		if len(losses) >= _minPartCrashes && len(requests) >= _minRequests {
			break
		}
		requests[request] = true
		losses = append(losses, run.requestLoss(request, run.endpoint))
	}
	return losses
}

// hasBlockedParts reports whether parts contain all parts of a block.
func (d *CrashDetector) hasBlockedParts(parts []string) bool {
	return slices.ContainsFunc(d.blockedParts, func(b partBlock) bool { return containsAll(parts, b.parts) })
}

// PartsBlocked reports whether a request with the parts is refused, and when its caller may come back.
func (d *CrashDetector) PartsBlocked(now time.Time, parts []string) (until time.Time, blocked bool) {
	d.updateParts(now)
	for _, b := range d.blockedParts {
		if containsAll(parts, b.parts) {
			return blockUntil(now, b.latest), true
		}
	}
	return time.Time{}, false
}

// BlockedParts lists the blocked parts, in a fixed order. Parts that are blocked together are
// joined.
func (d *CrashDetector) BlockedParts() []string {
	var names []string
	for _, b := range d.blockedParts {
		slices.Sort(b.parts)
		names = append(names, strings.Join(b.parts, "+"))
	}
	slices.Sort(names)
	return names
}
