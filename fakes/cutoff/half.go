package cutoff

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Half is a network whose connections can be reset at their near ends only. Their far ends stay open, and what they
// send is discarded. It is safe for concurrent use.
type Half struct {
	Address string

	listener net.Listener
	target   string
	closed   chan struct{}

	mu    sync.Mutex
	nears []*net.TCPConn
}

// StartHalf starts a network that forwards connections to target.
func StartHalf(target string) (*Half, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	h := &Half{Address: listener.Addr().String(), listener: listener, target: target, closed: make(chan struct{})}
	go h.accept()
	return h, nil
}

// Close closes the listener, and the far ends of the connections that were reset.
func (h *Half) Close() {
	_ = h.listener.Close()
	close(h.closed)
}

// ResetNear resets the near ends of the open connections.
func (h *Half) ResetNear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, near := range h.nears {
		reset(near)
	}
	h.nears = nil
}

func (h *Half) accept() {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		if near, ok := conn.(*net.TCPConn); ok {
			go h.forward(near)
		}
	}
}

func (h *Half) forward(near *net.TCPConn) {
	far, err := net.Dial("tcp", h.target)
	if err != nil {
		reset(near)
		return
	}
	defer func() { _ = far.Close() }()
	h.mu.Lock()
	h.nears = append(h.nears, near)
	h.mu.Unlock()
	go func() { _, _ = io.Copy(far, near) }()
	if _, err := io.Copy(near, far); err == nil {
		_ = near.Close() // the far end has closed
		return
	}
	go func() { _, _ = io.Copy(io.Discard, far) }()
	<-h.closed
}
