package news_test

import (
	"errors"
	"net"
	"testing"

	"apricotproxy/io/news"
)

// faultySocket gives out errors and datagrams in order, and then is closed.
type faultySocket struct {
	net.PacketConn
	results []any
}

func (s *faultySocket) ReadFrom(p []byte) (int, net.Addr, error) {
	if len(s.results) == 0 {
		return 0, nil, net.ErrClosed
	}
	result := s.results[0]
	s.results = s.results[1:]
	if err, ok := result.(error); ok {
		return 0, nil, err
	}
	return copy(p, result.(string)), nil, nil
}

// A read that fails and a datagram whose handling panics do not end a host.
func TestReceiveOutlivesErrors(t *testing.T) {
	socket := &faultySocket{results: []any{errors.New("no buffer space"), "bad", "good"}}
	var handled []string
	reported := 0
	err := news.Receive(socket, func(b []byte) {
		if string(b) == "bad" {
			panic("an error that nobody expected")
		}
		handled = append(handled, string(b))
	}, func(error) { reported++ })
	if !errors.Is(err, net.ErrClosed) || len(handled) != 1 || handled[0] != "good" || reported != 2 {
		t.Errorf("ended with %v after %q and %d errors", err, handled, reported)
	}
}
