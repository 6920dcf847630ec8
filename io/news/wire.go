package news

import (
	"cmp"
	"math"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/gossip"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/procs/poison"
)

// The forms in which messages and changed loads are sent. They are CBOR arrays, since
// field names would make up most of the bytes, and traffic between data centres is
// expensive. The order of the fields is the order on the wire.
type (
	wireMessage struct {
		_           struct{} `cbor:",toarray"`
		From        wireContact
		Incarnation int64
		Stopping    bool
		Reads       bool
		AsOf        uint64
		Changed     uint64
		AgeMs       int64
		Leaving     []wireIncarnation
		Others      []wireContact
		HasLoads    bool
		Loads       []wireLoad
		Epoch       uint64
		Version     uint64
		Kept        int
		Since       uint64
		Losses      []wireLoss
		Successes   []wireSuccess
		Blocks      []wireBlock
		Reaches     bool
	}

	wireLoadUpdate struct {
		_           struct{} `cbor:",toarray"`
		Host        string
		Incarnation int64
		Loads       []wireLoad
	}

	wireRateLimits struct {
		_      struct{} `cbor:",toarray"`
		Host   string
		Limits []wireRateLimit
	}

	wireBrittle struct {
		_         struct{} `cbor:",toarray"`
		Host      string
		Endpoints []wireBrittleness
	}

	wireBrittleness struct {
		_        struct{} `cbor:",toarray"`
		Endpoint wireIncarnation
		IsNamed  bool
		Refusals int
		AgeMs    int64
	}

	wireRateLimit struct {
		_         struct{} `cbor:",toarray"`
		Endpoint  wireIncarnation
		IsNamed   bool
		PerSecond float64
		AgeMs     int64
	}

	wireRequests struct {
		_             struct{} `cbor:",toarray"`
		Host          string
		DataCentre    string
		Losses        []wireRequestLoss
		Answers       []wireEndpointAnswer
		Successes     []wireRequestSuccess
		PartSuccesses []wireSuccess
	}

	wireRequestLoss struct {
		_        struct{} `cbor:",toarray"`
		Request  poison.Digest
		Endpoint wireIncarnation
		AgeMs    int64
		RunMs    int64
		Parts    []string
	}

	wireEndpointAnswer struct {
		_        struct{} `cbor:",toarray"`
		Endpoint wireIncarnation
		AgeMs    int64
	}

	wireRequestSuccess struct {
		_       struct{} `cbor:",toarray"`
		Request poison.Digest
		AgeMs   int64
	}

	wireIncarnation struct {
		_      struct{} `cbor:",toarray"`
		ID     string
		BornMs int64
	}

	wireLoss struct {
		_        struct{} `cbor:",toarray"`
		Endpoint string
		Request  string
		Parts    []string
		AgeMs    int64
	}

	wireSuccess struct {
		_     struct{} `cbor:",toarray"`
		Part  string
		AgeMs int64
	}

	wireBlock struct {
		_      struct{} `cbor:",toarray"`
		Parts  []string
		AgeMs  int64
		LeftMs int64
	}

	wireContact struct {
		_         struct{} `cbor:",toarray"`
		Host      string
		Heartbeat string
		Documents string
		Centre    string
	}

	wireLoad struct {
		_        struct{} `cbor:",toarray"`
		Endpoint string
		Runs     int
		Tokens   int
		Prefill  int
	}
)

// _maxLoads bounds the endpoints whose loads one datagram reports, so that they fit
// into it. Those with the most prompt tokens still to be read (Prefill) are kept, since
// they matter most.
const _maxLoads = 256

func toWire(m *Message, now time.Time) *wireMessage {
	w := &wireMessage{
		From: contactToWire(m.From), Incarnation: m.Incarnation, Stopping: m.Stopping, Reads: m.CanReadStore,
		AsOf: m.SyncStatus.AsOf, Changed: m.SyncStatus.Changed, AgeMs: m.SyncStatus.Age.Milliseconds(), HasLoads: m.Loads != nil,
		Epoch: m.SyncStatus.Epoch, Version: m.SyncStatus.Version, Kept: m.SyncStatus.Kept, Since: m.SyncStatus.CompleteSince, Reaches: m.Reaches,
	}
	for _, key := range m.Leaving {
		w.Leaving = append(w.Leaving, keyToWire(key))
	}
	for _, c := range m.KnownHosts {
		w.Others = append(w.Others, contactToWire(c))
	}
	w.Loads = loadsToWire(m.Loads)
	w.addPoison(m.Poison, now)
	return w
}

// addPoison adds a report. Hosts' clocks differ, so times are sent as ages.
func (w *wireMessage) addPoison(report poison.Report, now time.Time) {
	for _, l := range report.Losses {
		w.Losses = append(w.Losses, wireLoss{Endpoint: l.Endpoint, Request: l.Request, Parts: l.Parts, AgeMs: now.Sub(l.At).Milliseconds()})
	}
	for _, s := range report.Successes {
		w.Successes = append(w.Successes, wireSuccess{Part: s.Part, AgeMs: now.Sub(s.At).Milliseconds()})
	}
	for _, b := range report.Blocks {
		w.Blocks = append(w.Blocks, wireBlock{Parts: b.Parts, AgeMs: now.Sub(b.Since).Milliseconds(), LeftMs: b.Until.Sub(now).Milliseconds()})
	}
}

func (w *wireMessage) poison(now time.Time) poison.Report {
	var r poison.Report
	for _, l := range w.Losses {
		r.Losses = append(r.Losses, poison.Loss{Endpoint: l.Endpoint, Request: l.Request, Parts: l.Parts, At: now.Add(-core.Milliseconds(l.AgeMs))})
	}
	for _, s := range w.Successes {
		r.Successes = append(r.Successes, poison.Success{Part: s.Part, At: now.Add(-core.Milliseconds(s.AgeMs))})
	}
	for _, b := range w.Blocks {
		r.Blocks = append(r.Blocks, poison.Block{Parts: b.Parts, Since: now.Add(-core.Milliseconds(b.AgeMs)), Until: now.Add(core.Milliseconds(b.LeftMs))})
	}
	return r
}

// _maxRateLimits bounds the rate limits that one datagram reports, so that they fit into it.
const _maxRateLimits = 128

// rateLimitsToWire returns a report that is sent now. Hosts' clocks differ, so times are sent
// as ages.
func rateLimitsToWire(r *RateLimits, now time.Time) *wireRateLimits {
	w := &wireRateLimits{Host: string(r.Host)}
	for _, l := range r.Limits[:min(len(r.Limits), _maxRateLimits)] {
		w.Limits = append(w.Limits, wireRateLimit{
			Endpoint: keyToWire(l.Key), IsNamed: l.IsNamed, PerSecond: l.PerSecond, AgeMs: now.Sub(l.SaidAt).Milliseconds(),
		})
	}
	return w
}

// rateLimitsFromWire drops limits that no endpoint names.
func rateLimitsFromWire(w *wireRateLimits, now time.Time) *RateLimits {
	r := &RateLimits{Host: core.HostName(w.Host)}
	for _, l := range w.Limits {
		if !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 0) || l.AgeMs < 0 {
			continue
		}
		r.Limits = append(r.Limits, place.EndpointRateLimit{
			Key: keyFromWire(l.Endpoint), RateLimit: place.RateLimit{PerSecond: l.PerSecond, IsNamed: l.IsNamed, SaidAt: now.Add(-core.Milliseconds(l.AgeMs))},
		})
	}
	return r
}

// _maxBrittle bounds the brittle endpoints that one datagram reports, so that they fit into it.
const _maxBrittle = 128

func brittleToWire(b *Brittle, now time.Time) *wireBrittle {
	w := &wireBrittle{Host: string(b.Host)}
	for _, e := range b.Endpoints[:min(len(b.Endpoints), _maxBrittle)] {
		w.Endpoints = append(w.Endpoints, wireBrittleness{Endpoint: keyToWire(e.Key), IsNamed: e.IsNamed, Refusals: e.Refusals, AgeMs: now.Sub(e.SaidAt).Milliseconds()})
	}
	return w
}

// brittleFromWire drops what no endpoint says.
func brittleFromWire(w *wireBrittle, now time.Time) *Brittle {
	b := &Brittle{Host: core.HostName(w.Host)}
	for _, e := range w.Endpoints {
		if e.Refusals < 0 || e.AgeMs < 0 {
			continue
		}
		b.Endpoints = append(b.Endpoints, place.EndpointBrittleness{
			Key: keyFromWire(e.Endpoint), Brittleness: place.Brittleness{Refusals: e.Refusals, IsNamed: e.IsNamed, SaidAt: now.Add(-core.Milliseconds(e.AgeMs))},
		})
	}
	return b
}

func requestsToWire(r *Requests, now time.Time) *wireRequests {
	age := func(at time.Time) int64 { return now.Sub(at).Milliseconds() }
	w := &wireRequests{Host: string(r.Host), DataCentre: string(r.DataCentre)}
	for _, l := range r.Report.Losses {
		w.Losses = append(w.Losses, wireRequestLoss{Request: l.Request, Endpoint: keyToWire(l.Endpoint), AgeMs: age(l.At), RunMs: l.At.Sub(l.SentAt).Milliseconds(), Parts: l.Parts})
	}
	for _, s := range r.Report.Answers {
		w.Answers = append(w.Answers, wireEndpointAnswer{Endpoint: keyToWire(s.Endpoint), AgeMs: age(s.At)})
	}
	for _, s := range r.Report.Successes {
		w.Successes = append(w.Successes, wireRequestSuccess{Request: s.Request, AgeMs: age(s.At)})
	}
	for _, s := range r.Report.PartSuccesses {
		w.PartSuccesses = append(w.PartSuccesses, wireSuccess{Part: s.Part, AgeMs: age(s.At)})
	}
	return w
}

func requestsFromWire(w *wireRequests, now time.Time) *Requests {
	at := func(ageMs int64) time.Time { return now.Add(-core.Milliseconds(max(ageMs, 0))) }
	r := &Requests{Host: core.HostName(w.Host), DataCentre: core.DataCentreName(w.DataCentre)}
	for _, l := range w.Losses {
		lostAt := at(l.AgeMs)
		r.Report.Losses = append(r.Report.Losses, poison.RequestLoss{
			Request: l.Request, Endpoint: keyFromWire(l.Endpoint), Parts: l.Parts, SentAt: lostAt.Add(-core.Milliseconds(max(l.RunMs, 0))), At: lostAt,
		})
	}
	for _, s := range w.Answers {
		r.Report.Answers = append(r.Report.Answers, poison.EndpointAnswer{Endpoint: keyFromWire(s.Endpoint), At: at(s.AgeMs)})
	}
	for _, s := range w.Successes {
		r.Report.Successes = append(r.Report.Successes, poison.RequestSuccess{Request: s.Request, At: at(s.AgeMs)})
	}
	for _, s := range w.PartSuccesses {
		r.Report.PartSuccesses = append(r.Report.PartSuccesses, poison.Success{Part: s.Part, At: at(s.AgeMs)})
	}
	return r
}

func keyToWire(key core.EndpointKey) wireIncarnation {
	return wireIncarnation{ID: key.ID, BornMs: key.Born.UnixMilli()}
}

func keyFromWire(w wireIncarnation) core.EndpointKey {
	return core.EndpointKey{ID: w.ID, Born: time.UnixMilli(w.BornMs).UTC()}
}

func loadsToWire(loads map[string]place.Load) []wireLoad {
	var wire []wireLoad
	for id, l := range loads {
		wire = append(wire, wireLoad{Endpoint: id, Runs: l.Runs, Tokens: l.Tokens, Prefill: l.Prefill})
	}
	slices.SortFunc(wire, func(a, b wireLoad) int {
		return cmp.Or(b.Prefill-a.Prefill, b.Tokens-a.Tokens, cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return wire[:min(len(wire), _maxLoads)]
}

// _maxLoad keeps sums over the loads of all hosts far from the limits of an int.
const _maxLoad = 1 << 48

func boundedLoad(n int) int { return min(max(n, 0), _maxLoad) }

func loadsFromWire(wire []wireLoad) map[string]place.Load {
	loads := make(map[string]place.Load, len(wire))
	for _, l := range wire {
		loads[l.Endpoint] = place.Load{Runs: boundedLoad(l.Runs), Tokens: boundedLoad(l.Tokens), Prefill: boundedLoad(l.Prefill)}
	}
	return loads
}

func fromWire(w *wireMessage, now time.Time) *Message {
	m := &Message{Poison: w.poison(now), Heartbeat: gossip.Heartbeat{
		From: contactFromWire(w.From), Incarnation: w.Incarnation, Stopping: w.Stopping, CanReadStore: w.Reads, Reaches: w.Reaches,
		SyncStatus: gossip.SyncStatus{Epoch: w.Epoch, Version: w.Version, Kept: w.Kept, CompleteSince: w.Since, AsOf: w.AsOf, Changed: w.Changed, Age: time.Duration(w.AgeMs) * time.Millisecond},
	}}
	for _, l := range w.Leaving {
		m.Leaving = append(m.Leaving, keyFromWire(l))
	}
	for _, c := range w.Others {
		m.KnownHosts = append(m.KnownHosts, contactFromWire(c))
	}
	if w.HasLoads {
		m.Loads = loadsFromWire(w.Loads)
	}
	return m
}

func contactToWire(c gossip.Contact) wireContact {
	return wireContact{Host: string(c.Host), Heartbeat: c.Heartbeat, Documents: c.Documents, Centre: string(c.DataCentre)}
}

func contactFromWire(w wireContact) gossip.Contact {
	return gossip.Contact{Host: core.HostName(w.Host), Heartbeat: w.Heartbeat, Documents: w.Documents, DataCentre: core.DataCentreName(w.Centre)}
}
