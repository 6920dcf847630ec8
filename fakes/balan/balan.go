// Package balan is a stand-in for the platform's entry balancer: it hands each new
// connection to one host, picked by a hash of the caller, asks hosts whether they are
// ready, and leaves out those that twice in a row did not say so.
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

// _misses is how many unanswered questions in a row take a host out.
const _misses = 2

// Host is one host behind the balancer.
type Host struct {
	Front string // address for callers
	Ready string // URL of its readiness
}

type host struct {
	Host
	missed int
}

// Balancer is one balancer of one data centre.
type Balancer struct {
	Address string

	listener net.Listener
	stop     context.CancelFunc
	group    sync.WaitGroup
	mu       sync.Mutex
	hosts    []*host
	conns    map[net.Conn]bool
}

// Start listens on a loopback port and asks each host once per pace.
func Start(hosts []Host, pace time.Duration) (*Balancer, error) {
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
		b.group.Go(func() { b.ask(ctx, h, pace) })
	}
	b.group.Go(b.accept)
	return b, nil
}

// Close closes all connections.
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

// InRotation counts the hosts that get new connections by their own word.
func (b *Balancer) InRotation() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, h := range b.hosts {
		if h.missed < _misses {
			n++
		}
	}
	return n
}

func (b *Balancer) ask(ctx context.Context, h *host, pace time.Duration) {
	client := &http.Client{Timeout: pace}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for {
		ready := isReady(ctx, client, h.Ready)
		b.mu.Lock()
		if ready {
			h.missed = 0
		} else {
			h.missed++
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
		b.group.Go(func() { b.carry(conn) })
	}
}

// pick gives the host of a new connection. With fewer than half in rotation, all are
// used.
func (b *Balancer) pick(caller string) *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*host
	for _, h := range b.hosts {
		if h.missed < _misses {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(b.hosts) {
		in = b.hosts
	}
	return in[xxhash.Sum64String(caller)%uint64(len(in))]
}

func (b *Balancer) carry(caller net.Conn) {
	defer b.forget(caller)
	b.remember(caller)
	to, err := net.Dial("tcp", b.pick(caller.RemoteAddr().String()).Front)
	if err != nil {
		return
	}
	defer b.forget(to)
	b.remember(to)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = io.Copy(caller, to)
		_ = caller.Close()
	}()
	if _, err := io.Copy(to, caller); err == nil || !errors.Is(err, net.ErrClosed) {
		_ = to.Close()
	}
	<-answered
}

func (b *Balancer) remember(conn net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[conn] = true
}

func (b *Balancer) forget(conn net.Conn) {
	_ = conn.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, conn)
}
