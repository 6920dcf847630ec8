package proof_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/ticket"
	"apricotproxy/core/versn/owner"
	fakeengine "apricotproxy/fakes/engine"
	"apricotproxy/io/engine"
	"apricotproxy/io/peers"
	"apricotproxy/io/wire"
)

// These are the benchmarks of docs/CAPACITY.md that belong to no single package.
// `make capacity` runs them together with the benchmarks of the packages.

// meteredDialer counts the bytes that its connections send and receive.
type meteredDialer struct {
	net.Dialer
	bytes atomic.Int64
}

type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (d *meteredDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return meteredConn{Conn: c, bytes: &d.bytes}, nil
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// listen serves a handler on loopback and returns its address.
func listen(b *testing.B, handler http.Handler) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// perCall measures the bytes and the processor time per call. The processor time
// includes both ends.
func perCall(b *testing.B, d *meteredDialer, call func() error) {
	b.Helper()
	if err := call(); err != nil { // opens the connection
		b.Fatal(err)
	}
	b.ResetTimer()
	bytes, cpu := d.bytes.Load(), processorTime()
	for range b.N {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(d.bytes.Load()-bytes)/float64(b.N), "bytes/call")
	b.ReportMetric(float64((processorTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/call")
}

// BenchmarkReport measures one load report of an endpoint, including both ends.
func BenchmarkReport(b *testing.B) {
	e := fakeengine.New(fakeengine.Config{Model: core.LoadedModel{Model: "model-name", Version: "2026-01"}})
	endpoint := core.Endpoint{Name: "draft@10.0.0.1:9000", Address: listen(b, e)}
	d := &meteredDialer{}
	client := engine.New(engine.Config{Dialer: d, Limits: func() core.Limits {
		return core.Limits{SilenceTimeout: 5 * time.Second, DialTimeout: time.Second}
	}})
	b.Run("Report", func(b *testing.B) {
		perCall(b, d, func() error {
			_, err := client.Report(b.Context(), endpoint)
			return err
		})
	})
	b.Run("CacheEvents", func(b *testing.B) {
		perCall(b, d, func() error {
			_, err := client.CacheEvents(b.Context(), endpoint, 0)
			return err
		})
	})
}

// lender implements only the call Borrow of a peer; the benchmark makes no others.
type lender struct {
	wire.Peer
}

func (lender) Borrow(context.Context, *wire.BorrowRequest) (*wire.BorrowReply, error) {
	return &wire.BorrowReply{
		Granted: true, Owner: &wire.Host{Name: "austin-a-host-1", Incarnation: 1733270000000000000},
		Endpoint: "draft@10.0.0.1:9000", Position: 3, Serial: 12345, TermMillis: 5000, Revision: 12,
	}, nil
}

// BenchmarkBorrow measures the borrowing of one slot between two hosts, including both
// ends.
func BenchmarkBorrow(b *testing.B) {
	address := listen(b, peers.NewHandler(lender{}))
	d := &meteredDialer{}
	peer := peers.NewPool(peers.Settings{Dialer: d}).Client(address)
	request := &wire.BorrowRequest{
		From:     &wire.Host{Name: "austin-b-host-1", Incarnation: 1733270000000000000},
		Endpoint: "draft@10.0.0.1:9000", Revision: 12, To: &wire.Host{Name: "austin-a-host-1"},
	}
	perCall(b, d, func() error {
		_, err := peer.Borrow(b.Context(), request)
		return err
	})
}

// BenchmarkOrder measures one order in a ledger that holds many tickets: the ticket is
// issued, and the order is started and recorded. The clock advances so that as many
// tickets expire as are issued. It also measures the memory per ticket.
func BenchmarkOrder(b *testing.B) {
	const term = time.Hour // a ticket is held for twice as long
	for _, held := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			before := heapInUse()
			l := ticket.New(ticket.Settings{
				Self: core.HostID{Host: "entry-1", Incarnation: 1}, Site: "s", Size: 1 << 30, Term: term,
			})
			order := func() {
				now = now.Add(2 * term / time.Duration(held))
				tickets, err := l.Issue(now, "w", 1)
				if err != nil {
					b.Fatal(err)
				}
				l.Begin(now, tickets[0], "w", ticket.DigestOf("desk", "book", nil))
				l.Finish(now, tickets[0].ID, ticket.Outcome{Outcome: core.OutcomeDone})
			}
			for range held {
				order()
			}
			memory := heapInUse() - before
			b.ResetTimer()
			for range b.N {
				order()
			}
			b.ReportMetric(float64(memory)/float64(held), "bytes/ticket")
		})
	}
}

// largeConfig returns a site like those of docs/CAPACITY.md, with the given numbers of
// hosts and endpoints.
func largeConfig(hosts, endpoints int) core.Config {
	config := core.Config{
		Site: "large", Revision: 1,
		DataCentres: []core.DataCentre{{Name: "a", InService: true}},
		Services:    []core.Service{{Name: "draft", Kind: core.ServiceEngine, Model: "m"}},
	}
	for i := range hosts {
		config.Hosts = append(config.Hosts, core.Host{Name: core.HostName(fmt.Sprintf("host-%03d", i)), DataCentre: "a"})
	}
	for i := range endpoints {
		config.Endpoints = append(config.Endpoints, core.Endpoint{
			Name: core.EndpointName(fmt.Sprintf("draft-%03d", i)), Service: "draft", DataCentre: "a",
			ColdSlots: 2, WarmSlots: 24, MemoryTokens: 120_000,
		})
	}
	return config
}

// BenchmarkOwnership measures how long it takes to compute the table of slot owners
// and endpoint groups of one revision, and the memory that the table takes.
func BenchmarkOwnership(b *testing.B) {
	for _, size := range []struct{ hosts, endpoints int }{{9, 24}, {90, 150}, {360, 600}} {
		b.Run(fmt.Sprintf("hosts=%d/endpoints=%d", size.hosts, size.endpoints), func(b *testing.B) {
			config := largeConfig(size.hosts, size.endpoints)
			before := heapInUse()
			table := owner.Build(config)
			memory := heapInUse() - before
			assigned := 0
			for i := range config.Endpoints {
				if table.IsAssigned(i, config.Hosts[0].Name) {
					assigned++
				}
			}
			b.ResetTimer()
			for range b.N {
				table = owner.Build(config)
			}
			runtime.KeepAlive(table)
			b.ReportMetric(float64(memory), "held-bytes")
			b.ReportMetric(float64(assigned), "endpoints/host")
		})
	}
}
