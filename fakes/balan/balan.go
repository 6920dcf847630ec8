// Package balan is a fake of the platform's entry balancer. It forwards each new
// connection to one host, picked by a hash of the caller's address, and takes a host out
// of rotation after two failed readiness checks in a row.
package balan

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// _failureThreshold is how many failed checks in a row take a host out of rotation.
const _failureThreshold = 2

// Host is one host behind the balancer.
type Host struct {
	CallerAddress string // where callers reach it
	ReadyURL      string // URL of the readiness check
}

type host struct {
	Host
	failures int // readiness checks failed in a row
}

// Balancer is the balancer of one data centre.
type Balancer struct {
	// Address is where callers connect.
	Address string

	listener net.Listener
	stop     context.CancelFunc
	group    sync.WaitGroup
	mu       sync.Mutex
	hosts    []*host
	conns    map[net.Conn]bool
}

// Start listens on a loopback port and checks each host's readiness once per interval.
func Start(hosts []Host, interval time.Duration) (*Balancer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &Balancer{Address: listener.Addr().String(), listener: listener, stop: stop, conns: make(map[net.Conn]bool)}
	for _, h := range hosts {
		b.hosts = append(b.hosts, &host{Host: h})
	}
	for _, h := range b.hosts {
		b.group.Go(func() { b.checkReadiness(ctx, h, interval) })
	}
	b.group.Go(b.accept)
	return b, nil
}

// Close stops listening and closes all connections.
func (b *Balancer) Close() {
	b.stop()
	_ = b.listener.Close()
	b.mu.Lock()
	for conn := range b.conns {
		_ = conn.Close()
	}
	b.mu.Unlock()
	b.group.Wait()
}

// InRotation returns the number of hosts whose readiness checks keep them in rotation.
func (b *Balancer) InRotation() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, h := range b.hosts {
		if h.failures < _failureThreshold {
			n++
		}
	}
	return n
}

func (b *Balancer) checkReadiness(ctx context.Context, h *host, interval time.Duration) {
	client := &http.Client{Timeout: interval}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		ready := isReady(ctx, client, h.ReadyURL)
		b.mu.Lock()
		if ready {
			h.failures = 0
		} else {
			h.failures++
		}
		b.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func isReady(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (b *Balancer) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.group.Go(func() { b.forward(conn) })
	}
}

// pick returns the host for a new connection. If fewer than half of the hosts are in
// rotation, it picks from all of them.
func (b *Balancer) pick(caller string) *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []*host
	for _, h := range b.hosts {
		if h.failures < _failureThreshold {
			candidates = append(candidates, h)
		}
	}
	if 2*len(candidates) < len(b.hosts) {
		candidates = b.hosts
	}
	return candidates[xxhash.Sum64String(caller)%uint64(len(candidates))]
}

// forward copies bytes between the caller and a host until either closes.
func (b *Balancer) forward(caller net.Conn) {
	defer b.closeConn(caller)
	b.track(caller)
	hostConn, err := net.Dial("tcp", b.pick(caller.RemoteAddr().String()).CallerAddress)
	if err != nil {
		return
	}
	defer b.closeConn(hostConn)
	b.track(hostConn)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = io.Copy(caller, hostConn)
		_ = caller.Close()
	}()
	if _, err := io.Copy(hostConn, caller); err == nil || !errors.Is(err, net.ErrClosed) {
		_ = hostConn.Close()
	}
	<-answered
}

func (b *Balancer) track(conn net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[conn] = true
}

func (b *Balancer) closeConn(conn net.Conn) {
	_ = conn.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, conn)
}
