package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const _beatInterval = 1200 * time.Millisecond

// call is one request that reached a worker.
type call struct {
	*http.Request
	worker  *worker
	boot    *boot
	id      string
	body    string
	entry   string // the machine that sent it
	arrived time.Time
}

// boot is one start of a worker.
type boot struct {
	version string
	born    time.Time
	server  *http.Server
	stop    context.CancelFunc

	mu       sync.Mutex
	sequence uint64
}

// worker is a worker of a service. It keeps its id and address over its starts, and writes to
// the store when it starts and at each beat.
type worker struct {
	site    *site
	id      string
	service string
	zone    string
	address string
	slots   int
	serve   func(w http.ResponseWriter, c *call)

	mu   sync.Mutex
	boot *boot
	dark *darkness
	// coldUntil is when the worker is warm again.
	coldUntil time.Time
	// arrivals holds what reached the worker.
	arrivals []*call
}

// start boots the worker.
func (k *worker) start(version string) error {
	listener, err := net.Listen("tcp", k.address)
	if err != nil {
		return fmt.Errorf("listen as a worker: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &boot{version: version, born: time.Now(), stop: stop}
	b.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { k.handle(b, w, r) })}
	k.mu.Lock()
	k.boot, k.coldUntil = b, time.Now().Add(k.site.coldStart)
	k.mu.Unlock()
	go func() { _ = b.server.Serve(listener) }()
	go k.beat(ctx, b)
	k.site.note("worker %s starts with version %s", k.id, version)
	return nil
}

// crash ends the worker's process: its port is closed and its connections end.
func (k *worker) crash() {
	k.mu.Lock()
	b := k.boot
	k.boot = nil
	k.mu.Unlock()
	if b == nil {
		return
	}
	k.site.note("worker %s crashes", k.id)
	b.stop()
	_ = b.server.Close()
}

// chill makes the worker cold for some time. It writes so to the store at once.
func (k *worker) chill(length time.Duration) {
	k.mu.Lock()
	k.coldUntil = time.Now().Add(length)
	b := k.boot
	k.mu.Unlock()
	k.site.note("worker %s becomes cold for %v, and writes so to the store", k.id, length)
	if b != nil {
		k.write(b)
	}
}

func (k *worker) coldLeft() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(time.Until(k.coldUntil), 0)
}

// isUp reports whether a boot of the worker still runs.
func (k *worker) isUp(b *boot) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.boot == b
}

// beat writes the entry when the worker starts and at each beat.
func (k *worker) beat(ctx context.Context, b *boot) {
	ticker := time.NewTicker(_beatInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		k.write(b)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// write writes the worker's entry to the store.
func (k *worker) write(b *boot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	k.site.store.put(names.EntryPrefix+k.id, map[string]any{
		"service": k.service, "address": k.address, "zone": k.zone, "version": b.version, "slots": k.slots, "state": "ready",
		"coldLeftMs": k.coldLeft().Milliseconds(), "sequence": b.sequence, "born": b.born.UnixMilli(), "stage": "unified",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
}

func (k *worker) handle(b *boot, w http.ResponseWriter, r *http.Request) {
	headers := k.site.headers
	switch r.URL.Path {
	case "/health":
		w.Header().Set(headers.EndpointID, k.id)
		w.Header().Set(names.ColdHeader, strconv.FormatInt(k.coldLeft().Milliseconds(), 10))
		return
	case k.site.paths.Report:
		writeJSON(w, map[string]any{
			"stage": "unified", "state": "ready", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
			"sequence": 1, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 34424, "handles": 0, "born": b.born.UnixMilli(), "runs": []any{},
		})
		return
	}
	id := r.Header.Get(headers.RequestID)
	if id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(headers.RequestID, id)
	if expected := r.Header.Get(headers.ExpectedEndpoint); expected != "" && expected != k.id {
		w.Header().Set(headers.EndpointID, k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	c := &call{Request: r, worker: k, boot: b, id: id, body: string(body), entry: host, arrived: time.Now()}
	k.mu.Lock()
	k.arrivals = append(k.arrivals, c)
	k.mu.Unlock()
	k.serve(w, c)
}

// stream writes the events from the one after Last-Event-Id on, and returns false if it was cut
// off. after is called after each event.
func (c *call) stream(w http.ResponseWriter, events int, pause time.Duration, after func(n int) bool) bool {
	first := 0
	if last, err := strconv.Atoi(c.Header.Get(c.worker.site.headers.LastEventID)); err == nil {
		first = last + 1
	}
	w.Header().Set(c.worker.site.headers.Seal, "seal-"+c.worker.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n < events; n++ {
		select {
		case <-time.After(pause):
		case <-c.Context().Done():
			return false
		}
		if !c.worker.isUp(c.boot) {
			return false
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s wrote piece %d\n\n", n, c.boot.version, n)
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		if !after(n) {
			return false
		}
	}
	return true
}

// darkness holds a worker's address as a machine without power does: connections to it hang.
type darkness struct {
	fd     int
	filler []net.Conn
}

// goDark cuts the power of the worker's machine. Its connections end here with a reset, as they do
// for their peer once the machine is back.
func (k *worker) goDark() error {
	k.crash()
	address, err := net.ResolveTCPAddr("tcp", k.address)
	if err != nil {
		return fmt.Errorf("resolve the worker's address: %w", err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return fmt.Errorf("open a socket: %w", err)
	}
	d := &darkness{fd: fd}
	k.dark = d
	to := &syscall.SockaddrInet4{Port: address.Port}
	copy(to.Addr[:], address.IP.To4())
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return fmt.Errorf("share the address: %w", err)
	}
	if err := syscall.Bind(fd, to); err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	// The queue of new connections is filled, so that further ones get no answer.
	for range 4 {
		conn, err := net.DialTimeout("tcp", k.address, 50*time.Millisecond)
		if err != nil {
			break
		}
		d.filler = append(d.filler, conn)
	}
	k.site.note("worker %s is dark", k.id)
	return nil
}

// endDark gives the machine power again; start boots the worker.
func (k *worker) endDark() {
	_ = syscall.Close(k.dark.fd)
	for _, conn := range k.dark.filler {
		_ = conn.Close()
	}
}
