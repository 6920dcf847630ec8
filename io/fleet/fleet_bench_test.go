package fleet_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/fleet"
	"apricotproxy/io/peers"
	"apricotproxy/io/wire"
)

// countingDialer counts the bytes of its connections, both ways.
type countingDialer struct {
	net.Dialer
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return countingConn{Conn: conn, bytes: &d.bytes}, nil
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkHeartbeat measures one heartbeat and its answer between two hosts over
// loopback TCP, with the work of both hosts, without news and with the maximum number of
// news items. A host sends or answers six heartbeats per second.
func BenchmarkHeartbeat(b *testing.B) {
	for _, items := range []int{0, 32} {
		b.Run(fmt.Sprintf("news=%d", items), func(b *testing.B) {
			served := fleet.New(fleet.Settings{Self: core.HostID{Host: "entry-0", Incarnation: 1}, Parse: parse})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{
				Handler:           peers.NewHandler(peers.Guard(stub{Fleet: served}, served.CheckSender)),
				ReadHeaderTimeout: time.Second,
			}
			go func() { _ = server.Serve(l) }()
			defer func() { _ = server.Close() }()
			dialer := &countingDialer{}
			peer := peers.NewPool(peers.Settings{Dialer: dialer}).Client(l.Addr().String())
			request := &wire.HeartbeatRequest{From: &wire.Host{Name: "entry-1", Incarnation: 5}, Revision: 7, Digest: 1}
			for i := range items {
				request.News = append(request.News, &wire.HostNews{
					Host:     &wire.Host{Name: fmt.Sprintf("entry-%d", i), Incarnation: 1733270000000000000},
					Revision: 7, AgeMillis: 900,
				})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := peer.Heartbeat(b.Context(), request); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(dialer.bytes.Load())/float64(b.N), "wire-bytes/op")
		})
	}
}
