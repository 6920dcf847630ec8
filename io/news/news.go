// Package news carries heartbeats and documents between hosts: heartbeats as
// datagrams, since one that is lost is soon followed by another, and documents by
// HTTP. Both are CBOR.
package news

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"apricotproxy/core"
	"apricotproxy/core/procs/gossip"
	"apricotproxy/core/procs/place"
)

const (
	// _datagramBytes bounds a heartbeat.
	_datagramBytes = 16 << 10
	// _documentsBytes bounds an answer with documents.
	_documentsBytes = 32 << 20
	_documentsPath  = "/documents"
	// _pullTimeout bounds one pull of documents from another host.
	_pullTimeout = 700 * time.Millisecond
)

// Message is a heartbeat with the sender's loads, or with those of its data centre;
// Loads is nil in one that tells none.
type Message struct {
	gossip.Heartbeat
	Loads map[string]place.Load
}

// Change is what changed of a host's loads since its last heartbeat: it is sent often
// and stays small.
type Change struct {
	Host        core.HostName
	Incarnation int64
	Loads       map[string]place.Load
}

// A datagram's first byte tells what follows.
const (
	_kindMessage = 1
	_kindChange  = 2
)

// Encode gives a message's bytes.
func Encode(m *Message) ([]byte, error) { return encode(_kindMessage, toWire(m)) }

// EncodeChange gives a change's bytes.
func EncodeChange(c *Change) ([]byte, error) {
	return encode(_kindChange, &wireChange{Host: string(c.Host), Incarnation: c.Incarnation, Loads: loadsToWire(c.Loads)})
}

func encode(kind byte, wire any) ([]byte, error) {
	b, err := cbor.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode a heartbeat: %w", err)
	}
	return append([]byte{kind}, b...), nil
}

// Decode reads a datagram: a message or a change, the other one is nil.
func Decode(b []byte) (*Message, *Change, error) {
	if len(b) == 0 {
		return nil, nil, errors.New("decode a heartbeat: it is empty")
	}
	switch kind := b[0]; kind {
	case _kindMessage:
		var w wireMessage
		if err := cbor.Unmarshal(b[1:], &w); err != nil {
			return nil, nil, fmt.Errorf("decode a heartbeat: %w", err)
		}
		if w.From.Host == "" {
			return nil, nil, errors.New("decode a heartbeat: the sender has no name")
		}
		return fromWire(&w), nil, nil
	case _kindChange:
		var w wireChange
		if err := cbor.Unmarshal(b[1:], &w); err != nil {
			return nil, nil, fmt.Errorf("decode a change of loads: %w", err)
		}
		return nil, &Change{Host: core.HostName(w.Host), Incarnation: w.Incarnation, Loads: loadsFromWire(w.Loads)}, nil
	default:
		return nil, nil, fmt.Errorf("decode a heartbeat: kind %d is not known", kind)
	}
}

// Receive hands each datagram on until the socket is closed.
func Receive(socket net.PacketConn, take func([]byte)) error {
	buffer := make([]byte, _datagramBytes)
	for {
		n, _, err := socket.ReadFrom(buffer)
		if err != nil {
			return fmt.Errorf("receive heartbeats: %w", err)
		}
		take(buffer[:n])
	}
}

// Pulled is what a host answers when it is asked for documents.
type Pulled struct {
	Documents []core.Document
	AsOf      uint64
	// Whole is true when the documents are all there are.
	Whole bool
	// Age is how long ago the store was known to have nothing newer.
	Age time.Duration
}

// Source gives the documents that changed after a revision.
type Source func(after uint64) Pulled

// Handler serves documents to other hosts.
func Handler(source Source) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+_documentsPath, func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after: not a number", http.StatusBadRequest)
			return
		}
		body, err := cbor.Marshal(source(after))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		_, _ = w.Write(body)
	})
	return mux
}

// Client asks other hosts for documents.
type Client struct{ client *http.Client }

// NewClient builds a client.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{client: &http.Client{Transport: transport, Timeout: _pullTimeout}}
}

// Pull asks one host.
func (c *Client) Pull(ctx context.Context, address string, after uint64) (Pulled, error) {
	url := fmt.Sprintf("http://%s%s?after=%d", address, _documentsPath, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Pulled{}, fmt.Errorf("make the call: %w", err)
	}
	res, err := c.client.Do(req)
	if err != nil {
		return Pulled{}, fmt.Errorf("ask %s for documents: %w", address, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, _documentsBytes))
	if err != nil {
		return Pulled{}, fmt.Errorf("read documents of %s: %w", address, err)
	}
	if res.StatusCode != http.StatusOK {
		return Pulled{}, fmt.Errorf("ask %s for documents: status %d", address, res.StatusCode)
	}
	var p Pulled
	if err := cbor.Unmarshal(body, &p); err != nil {
		return Pulled{}, fmt.Errorf("decode documents of %s: %w", address, err)
	}
	return p, nil
}
