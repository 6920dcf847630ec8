package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"apricotproxy/platform"
)

// BeatInterval is the pause between two beats of a worker, as in the site files.
const BeatInterval = 1200 * time.Millisecond

// Call is a request that a worker received.
type Call struct {
	*http.Request
	ID   string
	Body []byte
	From string
	At   time.Time

	worker *Worker
	conn   net.Conn
}

// WorkerSettings describe a worker.
type WorkerSettings struct {
	Store   *Store
	Service string
	Zone    string
	Slots   int
	// Version is that of the worker's software; "v1" if it is empty.
	Version string
	// Handle answers a request that is for this worker.
	Handle func(w *Worker, c *Call)
	// Move answers a call to copy a run's memory; nil if the worker does not offer it.
	Move func(w *Worker, c *Call)
	// LeavesBodies is true if Handle reads the bodies.
	LeavesBodies bool
}

// Worker is a worker that registers itself in the store. It is safe for concurrent use.
type Worker struct {
	Settings WorkerSettings
	Address  string

	mu       sync.Mutex
	id       string
	boots    int
	born     int64
	sequence int
	active   int
	draining bool
	// held are the parts of prompts that the worker has read, the oldest first.
	held     []string
	listener net.Listener
	conns    map[net.Conn]bool
	stopBeat chan struct{}
}

// StartWorker starts a worker.
func StartWorker(name string, settings WorkerSettings) (*Worker, error) {
	if settings.Version == "" {
		settings.Version = "v1"
	}
	w := &Worker{Settings: settings, conns: make(map[net.Conn]bool)}
	return w, w.boot(name, "127.0.0.1:0")
}

func (w *Worker) boot(name, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for worker %s: %w", name, err)
	}
	w.mu.Lock()
	w.boots++
	w.id, w.born, w.sequence, w.active, w.held = fmt.Sprintf("%s-%d", name, w.boots), time.Now().UnixMilli(), 0, 0, nil
	w.listener, w.Address, w.stopBeat = listener, listener.Addr().String(), make(chan struct{})
	id, stop := w.id, w.stopBeat
	w.mu.Unlock()
	go w.accept(listener)
	go w.beat(id, stop)
	return nil
}

// ID returns the worker's present ID.
func (w *Worker) ID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

func (w *Worker) beat(id string, stop <-chan struct{}) {
	key := _names.Servers + id
	for {
		w.register(key)
		select {
		case <-stop:
			time.Sleep(3 * BeatInterval) // the store removes the entry after three intervals of silence
			w.Settings.Store.Delete(key)
			return
		case <-time.After(BeatInterval):
		}
	}
}

// register writes the worker's entry.
func (w *Worker) register(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	text, _ := json.Marshal(map[string]any{
		"service": w.Settings.Service, "address": w.Address, "zone": w.Settings.Zone, "version": w.Settings.Version, "slots": w.Settings.Slots,
		"state": w.state(), "coldLeftMs": 0, "sequence": w.sequence, "born": w.born,
	})
	w.Settings.Store.Put(key, text)
}

// state is the worker's state on the wire. The caller holds the lock.
func (w *Worker) state() string {
	if w.draining {
		return "draining"
	}
	return "ready"
}

// Drain reports that the worker is leaving, and ends it after a while.
func (w *Worker) Drain(after time.Duration) {
	key := _names.Servers + w.ID()
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.register(key)
	time.AfterFunc(after, func() {
		w.mu.Lock()
		close(w.stopBeat)
		w.stopBeat = make(chan struct{})
		w.mu.Unlock()
		w.Close()
		w.Settings.Store.Delete(key)
	})
}

// hold records the parts of a prompt that was read.
func (w *Worker) hold(prompt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for part := range strings.SplitSeq(prompt, ",") {
		if id, _, ok := strings.Cut(part, ":"); ok && !slices.Contains(w.held, id) {
			w.held = append(w.held, id)
		}
	}
}

// list answers with the parts that the worker holds.
func (w *Worker) list(c *Call) {
	w.mu.Lock()
	held := make([][]any, 0, len(w.held))
	for _, id := range w.held {
		held = append(held, []any{"", id, 100, "m"})
	}
	w.mu.Unlock()
	text, _ := json.Marshal(map[string]any{"epoch": 1, "next": 1, "held": held})
	c.Answer(http.StatusOK, string(text), "Content-Type: application/json")
}

// Crash ends the worker as a crash of its process does, and starts it again under a new ID at its
// address after a while.
func (w *Worker) Crash(name string, down time.Duration) {
	w.mu.Lock()
	if w.listener == nil {
		w.mu.Unlock()
		return
	}
	_ = w.listener.Close()
	w.listener = nil
	close(w.stopBeat)
	for conn := range w.conns {
		reset(conn)
	}
	w.conns = make(map[net.Conn]bool)
	address := w.Address
	w.mu.Unlock()
	time.AfterFunc(down, func() { _ = w.boot(name, address) })
}

// Close ends the worker for good.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener != nil {
		_ = w.listener.Close()
	}
	for conn := range w.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (w *Worker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		isDown := w.listener != listener
		if !isDown {
			w.conns[conn] = true
		}
		w.mu.Unlock()
		if isDown {
			reset(conn)
			continue
		}
		go w.serve(conn)
	}
}

func (w *Worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		c := &Call{Request: request, ID: request.Header.Get(Headers.RequestID), From: conn.RemoteAddr().String(), At: time.Now(), worker: w, conn: conn}
		if !w.Settings.LeavesBodies || c.ID == "" {
			if c.Body, err = io.ReadAll(request.Body); err != nil {
				return
			}
		}
		w.answer(c)
	}
}

func (w *Worker) answer(c *Call) {
	switch {
	case c.URL.Path == _names.Report:
		w.report(c)
	case c.URL.Path == platform.Paths().Held:
		w.list(c)
	case c.URL.Path == platform.Paths().Move && w.Settings.Move != nil:
		w.Settings.Move(w, c)
	case c.ID == "":
		c.Answer(http.StatusBadRequest, "", Headers.NotRun+": 1")
	case c.Header.Get(Headers.ExpectedEndpoint) != "" && c.Header.Get(Headers.ExpectedEndpoint) != w.ID():
		c.Answer(http.StatusMisdirectedRequest, "", Headers.NotRun+": 1")
	default:
		w.mu.Lock()
		w.active++
		w.mu.Unlock()
		w.hold(c.Header.Get(Headers.Parts))
		w.Settings.Handle(w, c)
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}
}

func (w *Worker) report(c *Call) {
	w.mu.Lock()
	text, _ := json.Marshal(map[string]any{
		"stage": "unified", "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "active": w.active, "kvUsed": 0, "kvTotal": 90000,
		"handles": 0, "state": w.state(), "born": w.born, "runs": []any{},
	})
	w.mu.Unlock()
	c.Answer(http.StatusOK, string(text), "Content-Type: application/json")
}

// head returns the head of an answer up to its last header.
func (c *Call) head(status int, headers []string) string {
	lines := []string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status))}
	if c.ID != "" {
		lines = append(lines, Headers.RequestID+": "+c.ID)
	}
	lines = append(lines, headers...)
	c.worker.mu.Lock()
	if c.worker.draining {
		lines = append(lines, Headers.Leaving+": 1")
	}
	c.worker.mu.Unlock()
	return strings.Join(lines, "\r\n") + "\r\n"
}

// Seal is the header that proves an answer to be this worker's.
func (c *Call) Seal() string { return Headers.Seal + ": " + c.worker.ID() + "." + c.ID }

// Answer sends a complete answer.
func (c *Call) Answer(status int, body string, headers ...string) {
	_, _ = io.WriteString(c.conn, c.head(status, headers)+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// BeginStream sends the head of a stream of events.
func (c *Call) BeginStream(headers ...string) {
	_, _ = io.WriteString(c.conn, c.head(http.StatusOK, headers)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// Event sends an event of a stream. It returns false once the connection is closed.
func (c *Call) Event(id int, data string) bool {
	text := fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
	_, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

// BeginUnframed sends the head of a stream of events that has neither a length nor chunks and ends with its
// connection.
func (c *Call) BeginUnframed(headers ...string) {
	_, _ = io.WriteString(c.conn, c.head(http.StatusOK, headers)+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
}

// UnframedEvent sends an event of such a stream. It returns false once the connection is closed.
func (c *Call) UnframedEvent(id int, data string) bool {
	_, err := fmt.Fprintf(c.conn, "id: %d\ndata: %s\n\n", id, data)
	return err == nil
}

// Close closes the call's connection.
func (c *Call) Close() { _ = c.conn.Close() }

// EndStream ends a stream.
func (c *Call) EndStream() { _, _ = io.WriteString(c.conn, "0\r\n\r\n") }
