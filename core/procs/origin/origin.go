// Package origin decides at which build a stream may go on that its caller takes up again.
//
// What two builds write does not fit into one stream, and endpoints do not check it. Within one
// answer the host knows the build; a caller that lost its connection comes to any host. That
// host uses, in this order:
//
//  1. the record that the stream was begun, its own or a copy that another host sent;
//  2. the records of the other hosts, which it asks;
//  3. that a single build was in service for as long as the stream can have lasted: a new one may
//     be known to other hosts only, so this comes after their records, and only with documents that
//     were up to date after the caller came back;
//  4. which engines hold the last part of the prompt, which belongs to this request or to its session, if no endpoint of
//     another build can have begun the stream: all that are there say that they do not hold it, and none has left;
//  5. which builds the store's history shows in service, if there is a single one now.
//
// Without any of these the build is unknown, and the stream must not go on.
package origin

import (
	"crypto/sha256"
	"encoding/base64"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
)

const (
	// _maxRecords bounds the records that a host keeps; the oldest are dropped first.
	_maxRecords = 1 << 15
	// _maxIDBytes is the longest ID of a request that is recorded as it is.
	_maxIDBytes = 128
	// _digestBytes is the length of the digest that stands for a longer ID, _digestMark begins its text.
	_digestBytes = 16
	_digestMark  = "#"
	// _viewSkew is how much longer than on this host a build may be in service on another
	// one: the time in which changed documents reach all hosts.
	_viewSkew = 2 * time.Second
	// _maxSpan is how far back it is kept which builds were in service.
	_maxSpan = 10 * time.Minute
)

// Origin is where a stream was begun.
type Origin struct {
	Service core.ServiceName
	Build   core.BuildName
}

// Record tells where a stream was begun.
type Record struct {
	// Request is the ID of the request that brought the first event.
	Request string
	Origin
	// Until is when the caller gives up.
	Until time.Time
}

// Source is how a stream's origin was found out.
type Source uint8

// Sources of an origin.
const (
	Unknown Source = iota
	Recorded
	SingleBuild
	OtherHost
	Engines
	StoreHistory
	// Unconfirmed: as SingleBuild, but another build may have come that this host has not heard of.
	Unconfirmed
)

// String returns the name used in logs.
func (s Source) String() string {
	return [...]string{"Unknown", "Recorded", "SingleBuild", "OtherHost", "Engines", "StoreHistory", "Unconfirmed"}[s]
}

// Ledger holds the records of one host and which builds were in service. It is not safe for
// concurrent use.
type Ledger struct {
	records map[string]Record
	// order lists the recorded requests, the oldest first.
	order []string
	// uncopied holds the records that were not sent to other hosts yet.
	uncopied []Record
	builds   builds
	// freshAt is when the host's documents were last known to be up to date.
	freshAt time.Time
}

// New returns a ledger that knows nothing.
func New() *Ledger {
	return &Ledger{records: make(map[string]Record), builds: builds{lastSeen: make(map[Origin]time.Time), leftAt: make(map[Origin]time.Time)}}
}

// Key returns what identifies a request in records, questions and claims: its ID, or a digest of one that has more than 128
// bytes.
func Key(id string) string {
	if len(id) <= _maxIDBytes {
		return id
	}
	digest := sha256.Sum256([]byte(id))
	return _digestMark + base64.RawURLEncoding.EncodeToString(digest[:_digestBytes])
}

// Begin records that this host delivered the first event of a stream.
func (l *Ledger) Begin(r Record) {
	if l.Add(r) {
		l.uncopied = append(l.uncopied, r)
	}
}

// Add records what another host knows. It returns false if the stream was known already.
func (l *Ledger) Add(r Record) bool {
	if _, known := l.records[r.Request]; known || r.Request == "" || len(r.Request) > _maxIDBytes {
		return false
	}
	l.records[r.Request] = r
	l.order = append(l.order, r.Request)
	if len(l.order) > _maxRecords {
		delete(l.records, l.order[0])
		l.order = l.order[1:]
	}
	return true
}

// TakeUncopied returns the records that were not sent to other hosts yet, and counts them as
// sent.
func (l *Ledger) TakeUncopied() []Record {
	records := l.uncopied
	l.uncopied = nil
	return records
}

// Find returns the record of a stream.
func (l *Ledger) Find(request string) (Record, bool) {
	r, ok := l.records[request]
	return r, ok
}

// Expire drops the records of streams whose callers have given up.
func (l *Ledger) Expire(now time.Time) {
	kept := l.order[:0]
	for _, request := range l.order {
		if now.After(l.records[request].Until) {
			delete(l.records, request)
			continue
		}
		kept = append(kept, request)
	}
	l.order = kept
	l.builds.expire(now)
}

// Stream is a stream that a caller takes up.
type Stream struct {
	// Request is the ID of the request that brought the first event, as the caller says; empty
	// if it does not say.
	Request string
	// Services are those among which the requests of the stream's route are distributed.
	Services []core.ServiceName
	// BegunAfter is the earliest time at which the stream can have begun.
	BegunAfter time.Time
	// ConfirmedAfter is the time at which the documents must have been up to date, or later: a host
	// that is out of step does not know a build at which others begin streams.
	ConfirmedAfter time.Time
}

// Question returns the request whose record other hosts are asked for. It is empty if there can be
// none; they answer with the builds that were in service all the same.
func (s Stream) Question() string {
	if len(s.Request) > _maxIDBytes {
		return ""
	}
	return s.Request
}

// Resolve returns the origin of a stream without asking anyone.
func (l *Ledger) Resolve(now time.Time, s Stream) (Origin, Source) {
	if r, ok := l.records[s.Request]; ok {
		return r.Origin, Recorded
	}
	if len(s.Services) != 1 {
		return Origin{}, Unknown
	}
	if found, ok := l.builds.single(now, s.Services[0], s.BegunAfter); ok {
		if !l.IsConfirmed(s) {
			return found, Unconfirmed
		}
		return found, SingleBuild
	}
	return Origin{}, Unknown
}

// MustConfirm reports whether an engine is asked for its incarnation before a run is sent to it. begun
// is true if the stream has begun at a build, copied if the run continues from a copy there, and
// outdated if the engine may have come back as another build without the host's knowledge.
func MustConfirm(begun, copied, outdated bool) bool { return !copied && (begun || outdated) }

// Observe records which builds a view has in service.
func (l *Ledger) Observe(now time.Time, view *know.View) { l.builds.observe(now, view) }

// SetCurrent records whether the host's documents are up to date. Otherwise there may be builds
// that it does not know.
func (l *Ledger) SetCurrent(now time.Time, current bool) { l.builds.setCurrent(now, current) }

// ExcludesDeparted reports whether it is known that no endpoint that has left can have begun a stream at another
// origin than found.
func (l *Ledger) ExcludesDeparted(s Stream, found Origin) bool {
	return l.builds.excludesDeparted(s.Services, found, s.BegunAfter)
}

// IsConfirmed reports whether the documents were up to date when a stream was taken up, or later.
func (l *Ledger) IsConfirmed(s Stream) bool { return !l.freshAt.Before(s.ConfirmedAfter) }

// SetFreshAt records when the host's documents were last known to be up to date.
func (l *Ledger) SetFreshAt(at time.Time) { l.freshAt = at }

// HasSingleBuild reports whether the services have a single build in service now, so that the
// past can tell that a stream was begun there.
func (l *Ledger) HasSingleBuild(services []core.ServiceName) bool {
	return len(services) == 1 && l.builds.countPresent(services[0]) == 1
}

// Span returns what is known of the builds in service.
func (l *Ledger) Span(now time.Time) Span { return l.builds.span(now) }

// Merge adds what another host knows of the builds in service.
func (l *Ledger) Merge(s Span) { l.builds.merge(s) }

// Holder is an endpoint that was asked which parts of prompts it holds.
type Holder struct {
	Origin
	// HasAnswered is false if it cannot be asked, or did not answer.
	HasAnswered bool
	// Holds is true if it holds the last part of the request's prompt.
	Holds bool
}

// ResolveHolders returns the origin of a stream by the engines that hold the last part of its prompt, as the one that began
// it does. Others may hold it too, if it belongs to a session: the origin is unknown if engines of several
// builds hold it, or one of another build has not answered.
func ResolveHolders(holders []Holder) (Origin, Source) {
	found, source := Origin{}, Unknown
	for _, h := range holders {
		if !h.Holds {
			continue
		}
		if source == Engines && h.Origin != found {
			return Origin{}, Unknown
		}
		found, source = h.Origin, Engines
	}
	for _, h := range holders {
		if !h.HasAnswered && h.Origin != found {
			return Origin{}, Unknown
		}
	}
	return found, source
}
