// Package news transfers heartbeats and documents between hosts. Heartbeats are sent
// as datagrams, since a lost one is soon followed by the next, and documents over
// HTTP. Both are encoded as CBOR.
package news

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/await"
	"apricotproxy/core/procs/gossip"
	"apricotproxy/core/procs/origin"
	"apricotproxy/core/procs/pace"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/procs/poison"
	"apricotproxy/io/intact"
	"apricotproxy/io/stall"
)

const (
	// _maxDatagramBytes is the longest datagram that is received.
	_maxDatagramBytes = 16 << 10
	// _maxDocumentsBytes bounds the body of an answer with documents.
	_maxDocumentsBytes = 32 << 20
	_documentsPath     = "/documents"
	// _longBytes is the length from which a transfer of documents counts as long: 13 ms on a
	// link of 10 Mbit/s, so that 20 of them at once take as long as a heartbeat interval.
	// _maxLongTransfers is how many of them a host makes at a time: few, so that each ends
	// soon, but more than one, since the other end's link may be the narrower one.
	_longBytes = 16 << 10
	// How much of one datagram a report on prompts or requests that crash endpoints takes. The loads of a heartbeat need most of
	// theirs.
	_poisonReportBytes  = 2 << 10
	_requestReportBytes = 8 << 10
	_maxLongTransfers   = 3
)

// _pullLimits end a pull from a host that fell silent, so that another one is asked soon.
// The longest document takes 0.84 s on a link of 10 Mbit/s, and several share the link.
var _pullLimits = stall.Limits{Header: 700 * time.Millisecond, Silence: 700 * time.Millisecond, Body: 5 * time.Second, MaxBytes: _maxDocumentsBytes}

// Message is a heartbeat with loads by endpoint.
type Message struct {
	gossip.Heartbeat
	// Loads holds the loads of the sending host, or of its whole data centre in a
	// message to another one. It is nil if the message reports no loads.
	Loads map[string]place.Load
	// Poison is what the sending host knows of parts of prompts that crash engines.
	Poison poison.Report
}

// LoadUpdate holds a host's loads that changed since its last heartbeat or update. It is
// sent often, so it is kept small.
type LoadUpdate struct {
	Host        core.HostName
	Incarnation int64
	Loads       map[string]place.Load
}

// RateLimits holds rate limits that endpoints named, or no longer name. They are sent apart from
// heartbeats and rarely: hosts that do not know them understand the heartbeats all the same.
type RateLimits struct {
	Host   core.HostName
	Limits []place.EndpointRateLimit
}

// Brittle holds what endpoints said of how many requests they can turn away. Like RateLimits it is
// sent apart from heartbeats.
type Brittle struct {
	Host      core.HostName
	Endpoints []place.EndpointBrittleness
}

// Requests holds what a host knows of requests that may crash endpoints. Like RateLimits it is
// sent apart from heartbeats.
type Requests struct {
	Host       core.HostName
	DataCentre core.DataCentreName
	Report     poison.RequestReport
}

// Origins holds what a host knows, or asks, of the builds at which streams were begun. Like
// RateLimits it is sent apart from heartbeats.
type Origins struct {
	Host core.HostName
	// Records are of streams that the host began, or that it was asked for.
	Records []origin.Record
	// Questions lists the requests whose records the host asks for. The answer goes to ReplyTo.
	Questions []string
	ReplyTo   string
	// Claims lists streams of which the hosts that receive them end earlier attempts, before they answer.
	Claims []origin.Claim
	// Unknown lists the requests of which the host has no record, although it was asked.
	Unknown []string
	// Span is what the host knows of the builds in service.
	Span origin.Span
}

// Paces holds what a host saw of the paces of engines and has not told before. Like RateLimits it is
// sent apart from heartbeats.
type Paces struct {
	Host       core.HostName
	DataCentre core.DataCentreName
	Reports    []pace.Report
}

// Demand holds how a host's requests fared lately, or those of its whole data centre in a message
// to another one. Like RateLimits it is sent apart from heartbeats, and only while a service is
// short of capacity.
type Demand struct {
	Host        core.HostName
	DataCentre  core.DataCentreName
	Incarnation int64
	Demand      await.Demand
}

// Datagram is what was received: one of its fields is set.
type Datagram struct {
	Message    *Message
	LoadUpdate *LoadUpdate
	RateLimits *RateLimits
	Requests   *Requests
	Origins    *Origins
	Paces      *Paces
	Demand     *Demand
	Brittle    *Brittle
}

// The first byte of a datagram is the kind of what follows.
const (
	_kindMessage    = 1
	_kindLoadUpdate = 2
	_kindRateLimits = 3
	_kindRequests   = 4
	_kindOrigins    = 5
	_kindPaces      = 6
	_kindDemand     = 7
	_kindBrittle    = 8
)

// Encode returns the datagrams of a message that is sent now. Those after the first only hold what of the report on crashes does
// not fit into that one.
func Encode(m *Message, now time.Time) ([][]byte, error) {
	var datagrams [][]byte
	for i, report := range m.Poison.Split(_poisonReportBytes) {
		part := *m
		part.Poison = report
		if i > 0 {
			part.Loads = nil
		}
		datagram, err := encode(_kindMessage, toWire(&part, now))
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, datagram)
	}
	return datagrams, nil
}

// EncodeLoadUpdate returns the datagram of changed loads.
func EncodeLoadUpdate(c *LoadUpdate) ([]byte, error) {
	return encode(_kindLoadUpdate, &wireLoadUpdate{Host: string(c.Host), Incarnation: c.Incarnation, Loads: loadsToWire(c.Loads)})
}

// EncodeRateLimits returns the datagram of rate limits that is sent now.
func EncodeRateLimits(r *RateLimits, now time.Time) ([]byte, error) {
	return encode(_kindRateLimits, rateLimitsToWire(r, now))
}

// EncodeRequests returns the datagrams of a report that is sent now.
func EncodeRequests(r *Requests, now time.Time) ([][]byte, error) {
	var datagrams [][]byte
	for _, report := range r.Report.Split(_requestReportBytes) {
		part := *r
		part.Report = report
		datagram, err := encode(_kindRequests, requestsToWire(&part, now))
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, datagram)
	}
	return datagrams, nil
}

// EncodeOrigins returns the datagram of origins that is sent now. It has no span if it would be too
// long with it: a span that lacks builds would be wrong.
func EncodeOrigins(o *Origins, now time.Time) ([]byte, error) {
	datagram, err := encode(_kindOrigins, originsToWire(o, now))
	if err != nil || len(datagram) <= _maxDatagramBytes {
		return datagram, err
	}
	short := *o
	short.Span = origin.Span{}
	return encode(_kindOrigins, originsToWire(&short, now))
}

// EncodePaces returns the datagram of what was seen of the paces of engines.
func EncodePaces(p *Paces) ([]byte, error) { return encode(_kindPaces, pacesToWire(p)) }

// EncodeDemand returns the datagram of a demand.
func EncodeDemand(d *Demand) ([]byte, error) { return encode(_kindDemand, demandToWire(d)) }

// EncodeBrittle returns the datagram of what brittle endpoints said that is sent now.
func EncodeBrittle(b *Brittle, now time.Time) ([]byte, error) {
	return encode(_kindBrittle, brittleToWire(b, now))
}

func encode(kind byte, wire any) ([]byte, error) {
	b, err := cbor.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode a datagram: %w", err)
	}
	return append([]byte{kind}, b...), nil
}

// Decode decodes a datagram that was received now.
func Decode(b []byte, now time.Time) (Datagram, error) {
	if len(b) == 0 {
		return Datagram{}, errors.New("decode a datagram: it is empty")
	}
	switch kind := b[0]; kind {
	case _kindMessage:
		var w wireMessage
		if err := cbor.Unmarshal(b[1:], &w); err != nil {
			return Datagram{}, fmt.Errorf("decode a heartbeat: %w", err)
		}
		if w.From.Host == "" {
			return Datagram{}, errors.New("decode a heartbeat: the sender has no name")
		}
		return Datagram{Message: fromWire(&w, now)}, nil
	case _kindLoadUpdate:
		var w wireLoadUpdate
		if err := cbor.Unmarshal(b[1:], &w); err != nil {
			return Datagram{}, fmt.Errorf("decode changed loads: %w", err)
		}
		return Datagram{LoadUpdate: &LoadUpdate{Host: core.HostName(w.Host), Incarnation: w.Incarnation, Loads: loadsFromWire(w.Loads)}}, nil
	case _kindRateLimits:
		var w wireRateLimits
		if err := cbor.Unmarshal(b[1:], &w); err != nil {
			return Datagram{}, fmt.Errorf("decode rate limits: %w", err)
		}
		return Datagram{RateLimits: rateLimitsFromWire(&w, now)}, nil
	case _kindBrittle:
		var w wireBrittle
		if err := cbor.Unmarshal(b[1:], &w); err != nil {
			return Datagram{}, fmt.Errorf("decode brittle endpoints: %w", err)
		}
		return Datagram{Brittle: brittleFromWire(&w, now)}, nil
	case _kindRequests:
		var w wireRequests
		if err := cbor.Unmarshal(b[1:], &w); err != nil {
			return Datagram{}, fmt.Errorf("decode lost requests: %w", err)
		}
		return Datagram{Requests: requestsFromWire(&w, now)}, nil
	case _kindOrigins:
		var w wireOrigins
		if err := cbor.Unmarshal(b[1:], &w); err != nil {
			return Datagram{}, fmt.Errorf("decode origins of streams: %w", err)
		}
		return Datagram{Origins: originsFromWire(&w, now)}, nil
	case _kindPaces:
		var w wirePaces
		if err := cbor.Unmarshal(b[1:], &w); err != nil {
			return Datagram{}, fmt.Errorf("decode paces of engines: %w", err)
		}
		return Datagram{Paces: pacesFromWire(&w)}, nil
	case _kindDemand:
		var w wireDemand
		if err := cbor.Unmarshal(b[1:], &w); err != nil {
			return Datagram{}, fmt.Errorf("decode a demand: %w", err)
		}
		return Datagram{Demand: demandFromWire(&w)}, nil
	default:
		return Datagram{}, fmt.Errorf("decode a datagram: unknown kind %d", kind)
	}
}

const (
	// _receivePause is the pause after a failed read, so that an error that stays takes no
	// core.
	_receivePause = 20 * time.Millisecond
	// _maxReceiveFailures is how often in a row reading may fail, for two seconds in all: the
	// time after which other hosts' loads expire.
	_maxReceiveFailures = 100
)

// Receive calls handle for each datagram until the socket is closed, or reading fails for
// seconds. The bytes are valid only during the call. A datagram whose handling panics is
// dropped: another one may be in order. report is called with the errors that this outlives.
func Receive(socket net.PacketConn, handle func([]byte), report func(error)) error {
	buffer := make([]byte, _maxDatagramBytes)
	failures := 0
	for {
		n, _, err := socket.ReadFrom(buffer)
		switch {
		case err == nil:
			failures = 0
			handleOne(buffer[:n], handle, report)
		case errors.Is(err, net.ErrClosed) || failures == _maxReceiveFailures:
			return fmt.Errorf("receive heartbeats: %w", err)
		default:
			failures++
			report(fmt.Errorf("receive a heartbeat: %w", err))
			time.Sleep(_receivePause)
		}
	}
}

// handleOne calls handle. A broken promise of the system itself still panics.
func handleOne(datagram []byte, handle func([]byte), report func(error)) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case *invar.Violation:
			panic(cause)
		default:
			report(fmt.Errorf("handle a heartbeat of %d bytes: panic: %v", len(datagram), cause))
		}
	}()
	handle(datagram)
}

// PullResult is a host's answer to a request for documents.
type PullResult struct {
	Documents []core.Document
	// Epoch is the store's epoch as known to the host, AsOf the revision up to which
	// nothing is missing.
	Epoch uint64
	AsOf  uint64
	// Whole is true when these are all documents, not just those that changed.
	Whole bool
	// Age is the time since the store was known to have nothing newer.
	Age time.Duration
	// Bytes is the length of the answer as received.
	Bytes int
}

// pullBody is the form in which a PullResult is sent, as CBOR under the names of the fields.
type pullBody struct {
	Documents []packedDocument
	Epoch     uint64
	AsOf      uint64
	Whole     bool
	Age       time.Duration
}

// encode returns the body of an answer.
func (p *packer) encode(result PullResult) ([]byte, error) {
	body := pullBody{Epoch: result.Epoch, AsOf: result.AsOf, Whole: result.Whole, Age: result.Age}
	for _, d := range result.Documents {
		packed, err := p.pack(d)
		if err != nil {
			return nil, err
		}
		body.Documents = append(body.Documents, packed)
	}
	b, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode documents: %w", err)
	}
	return b, nil
}

func decodePull(b []byte) (PullResult, error) {
	var body pullBody
	if err := cbor.Unmarshal(b, &body); err != nil {
		return PullResult{}, fmt.Errorf("decode documents: %w", err)
	}
	result := PullResult{Epoch: body.Epoch, AsOf: body.AsOf, Whole: body.Whole, Age: body.Age, Bytes: len(b)}
	for _, packed := range body.Documents {
		d, err := packed.unpack()
		if err != nil {
			return PullResult{}, err
		}
		result.Documents = append(result.Documents, d)
	}
	return result, nil
}

// Position is the position up to which a host knows the documents, and the version of
// its routing table.
type Position struct{ Epoch, AsOf, Version uint64 }

// Source returns the documents that a host at a position lacks.
type Source func(Position) PullResult

// ErrBusy means that a host makes as many long transfers as it may. Those that it makes will
// soon be able to serve others.
var ErrBusy = errors.New("the host is busy with transfers to other hosts")

// Handler returns the HTTP handler from which other hosts request documents. It refuses long
// transfers beyond _maxLongTransfers with status 503: if all hosts shared one link, none of
// them would have a new configuration before all do, and none could pass it on meanwhile.
func Handler(source Source) http.Handler {
	packer := newPacker()
	transfers := make(chan struct{}, _maxLongTransfers)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+_documentsPath, func(w http.ResponseWriter, r *http.Request) {
		position, err := parsePosition(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		body, err := packer.encode(source(position))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if len(body) >= _longBytes {
			select {
			case transfers <- struct{}{}:
				defer func() { <-transfers }()
			default:
				http.Error(w, ErrBusy.Error(), http.StatusServiceUnavailable)
				return
			}
		}
		w.Header().Set("Content-Type", "application/cbor")
		_, _ = w.Write(body)
	})
	return mux
}

func parsePosition(query url.Values) (Position, error) {
	var p Position
	for name, field := range map[string]*uint64{"epoch": &p.Epoch, "after": &p.AsOf, "version": &p.Version} {
		n, err := strconv.ParseUint(query.Get(name), 10, 64)
		if err != nil {
			return Position{}, fmt.Errorf("parse %s: %w", name, err)
		}
		*field = n
	}
	return p, nil
}

// Client requests documents from other hosts.
type Client struct{ client *http.Client }

// NewClient returns a client that uses the transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{client: &http.Client{Transport: intact.NewTransport(transport)}}
}

// Pull requests the documents that a host at the given position lacks from the host at an
// address. The error wraps ErrBusy if another host should be asked.
func (c *Client) Pull(ctx context.Context, address string, known Position) (PullResult, error) {
	target := fmt.Sprintf("http://%s%s?epoch=%d&after=%d&version=%d", address, _documentsPath, known.Epoch, known.AsOf, known.Version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return PullResult{}, fmt.Errorf("create a request for documents: %w", err)
	}
	answer, err := stall.Do(c.client, req, _pullLimits)
	if err != nil {
		return PullResult{}, fmt.Errorf("request documents from %s: %w", address, err)
	}
	if answer.Status == http.StatusServiceUnavailable {
		return PullResult{}, fmt.Errorf("request documents from %s: %w", address, ErrBusy)
	}
	if answer.Status != http.StatusOK {
		return PullResult{}, fmt.Errorf("request documents from %s: status %d", address, answer.Status)
	}
	result, err := decodePull(answer.Body)
	if err != nil {
		return PullResult{}, fmt.Errorf("documents from %s: %w", address, err)
	}
	return result, nil
}
