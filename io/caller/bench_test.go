package caller_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/fakes/place"
	"apricotproxy/io/caller"
	"apricotproxy/io/engine"
	"apricotproxy/io/runs"
)

const (
	_benchInterval = 27 * time.Millisecond // between two tokens of a stream
	_benchStreams  = 1000
	_benchProbes   = 100 // streams past the host, in the same run
	_benchBatches  = 16  // engines whose steps are spread over the interval
)

// tickEngine sends tokens whose text is the time of sending. Streams of one batch
// get their tokens at the same moment, as a model engine sends them.
type tickEngine struct {
	// tokens is the number of tokens of a generation.
	tokens int
	// paced sends a token every interval; otherwise as fast as they are taken.
	paced bool
	// idle sends one token and then nothing, until released.
	idle    chan struct{}
	streams atomic.Int64
}

func (e *tickEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Generation-Id")
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	batch := e.streams.Add(1) % _benchBatches
	var event []byte
	for i := range e.tokens {
		if i > 0 && e.paced {
			waitForStep(batch)
		}
		if i == 1 && e.idle != nil {
			<-e.idle
		}
		event = append(event[:0], "id: "...)
		event = append(event, id...)
		event = append(event, '.')
		event = strconv.AppendInt(event, int64(i), 10)
		event = append(event, "\ndata: {\"choices\":[{\"index\":0,\"text\":\""...)
		event = strconv.AppendInt(event, time.Now().UnixNano(), 10)
		event = append(event, "\",\"finish_reason\":null}]}\n\n"...)
		if _, err := w.Write(event); err != nil {
			return
		}
		if e.paced || i == 0 {
			_ = control.Flush()
		}
	}
	_, _ = fmt.Fprintf(w, "id: %s.%d\ndata: {\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", id, e.tokens, e.tokens)
}

func waitForStep(batch int64) {
	phase := _benchInterval * time.Duration(batch) / _benchBatches
	now := time.Now()
	next := now.Add(-phase).Truncate(_benchInterval).Add(_benchInterval + phase)
	time.Sleep(next.Sub(now))
}

// benchSite is one entry host and one engine on loopback.
type benchSite struct {
	direct  string
	proxied string
}

func newBenchSite(b *testing.B, e *tickEngine) benchSite {
	b.Helper()
	serve := func(handler http.Handler) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := caller.NewServer(handler)
		go func() { _ = server.Serve(listener) }()
		b.Cleanup(func() { _ = server.Close() })
		return listener.Addr().String()
	}
	site := benchSite{direct: serve(e)}
	config := testConfig()
	config.Endpoints = []core.Endpoint{{Name: "draft-0", Service: "draft", Address: site.direct}}
	config.Limits.SilenceTimeout = time.Minute
	config.Limits.RequestTimeout = time.Minute
	dispatcher := place.New(config)
	client := engine.New(engine.Config{Dialer: &net.Dialer{}, Limits: func() core.Limits { return config.Limits }})
	b.Cleanup(client.Close)
	runner := runs.New(runs.Config{Dispatcher: dispatcher, Client: client, Logger: logr.Discard()})
	desk, err := runs.NewDesk(runs.DeskConfig{Runner: runner, Logger: logr.Discard()})
	if err != nil {
		b.Fatal(err)
	}
	site.proxied = serve(caller.New(caller.Config{Dispatcher: dispatcher, Runner: runner, Desk: desk, Logger: logr.Discard()}))
	return site
}

// latencies of one group of streams, in microseconds.
type latencies struct {
	mu    sync.Mutex
	first *hdrhistogram.Histogram
	token *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	const longest = 10_000_000
	return &latencies{first: hdrhistogram.New(1, longest, 3), token: hdrhistogram.New(1, longest, 3)}
}

var (
	_benchBody   = []byte(`{"model":"m","prompt":"p","stream":true}`)
	_benchMarker = []byte(`"text":"`)
)

// readStream sends a request and reads its tokens. opened is told of the first.
func readStream(address string, l *latencies, opened func()) (tokens int, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	begin := time.Now()
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: e\r\nWorkspace: cards\r\nGeneration-Id: g\r\nContent-Length: %d\r\n\r\n%s", len(_benchBody), _benchBody)
	if err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReaderSize(conn, 2<<10), nil)
	if err != nil {
		return 0, err
	}
	reader := bufio.NewReaderSize(res.Body, 1<<10)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return tokens, err
		}
		if bytes.Contains(line, []byte("[DONE]")) {
			return tokens, nil
		}
		at := bytes.Index(line, _benchMarker)
		if at < 0 {
			continue
		}
		digits := line[at+len(_benchMarker):]
		end := bytes.IndexByte(digits, '"')
		sent, err := strconv.ParseInt(string(digits[:end]), 10, 64)
		if err != nil {
			continue // the last event has no text
		}
		tokens++
		if tokens == 1 && opened != nil {
			opened()
		}
		if l != nil {
			l.record(tokens == 1, begin, time.Unix(0, sent))
		}
	}
}

func (l *latencies) record(first bool, begin, sent time.Time) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if first {
		_ = l.first.RecordValue(max(1, now.Sub(begin).Microseconds()))
		return
	}
	_ = l.token.RecordValue(max(1, now.Sub(sent).Microseconds()))
}

// _benchRamp is the time over which streams are started.
const _benchRamp = 2 * time.Second

// runStreams reads a number of streams at once.
func runStreams(b *testing.B, group *sync.WaitGroup, address string, count int, l *latencies, total *atomic.Int64) {
	b.Helper()
	for i := range count {
		group.Go(func() {
			time.Sleep(_benchRamp * time.Duration(i) / time.Duration(count))
			tokens, err := readStream(address, l, nil)
			if err != nil {
				b.Errorf("stream %d: %v", i, err)
			}
			total.Add(int64(tokens))
		})
	}
}

// BenchmarkAddedLatency gives the time that one entry host adds to the first token
// and to each token, with 1,000 open streams, against streams past the host in
// the same run.
func BenchmarkAddedLatency(b *testing.B) {
	site := newBenchSite(b, &tickEngine{tokens: 300, paced: true})
	direct, proxied := newLatencies(), newLatencies()
	var total atomic.Int64
	for range b.N {
		var group sync.WaitGroup
		runStreams(b, &group, site.proxied, _benchStreams, proxied, &total)
		runStreams(b, &group, site.direct, _benchProbes, direct, &total)
		group.Wait()
	}
	report := func(name string, of func(*latencies) *hdrhistogram.Histogram) {
		for _, q := range []float64{50, 99} {
			d, p := of(direct).ValueAtQuantile(q), of(proxied).ValueAtQuantile(q)
			b.ReportMetric(float64(d), fmt.Sprintf("%s-p%.0f-direct-µs", name, q))
			b.ReportMetric(float64(p-d), fmt.Sprintf("%s-p%.0f-added-µs", name, q))
		}
	}
	report("first", func(l *latencies) *hdrhistogram.Histogram { return l.first })
	report("token", func(l *latencies) *hdrhistogram.Histogram { return l.token })
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkTokensPerCore gives the tokens that one second of processor time of an
// entry host carries: the time of a run through the host less that of the same
// run past it.
func BenchmarkTokensPerCore(b *testing.B) {
	for name, test := range map[string]struct {
		engine  *tickEngine
		streams int
	}{
		// Each token comes alone, as with 1,000 streams of 37 tokens a second.
		"paced": {&tickEngine{tokens: 150, paced: true}, _benchStreams},
		// Tokens come as fast as they are taken.
		"saturated": {&tickEngine{tokens: 20_000}, 16},
	} {
		b.Run(name, func(b *testing.B) {
			site := newBenchSite(b, test.engine)
			var tokens atomic.Int64
			measure := func(address string) time.Duration {
				tokens.Store(0)
				before := cpuTime()
				var group sync.WaitGroup
				runStreams(b, &group, address, test.streams, nil, &tokens)
				group.Wait()
				return cpuTime() - before
			}
			var host time.Duration
			var carried int64
			for range b.N {
				past := measure(site.direct)
				through := measure(site.proxied)
				host += through - past
				carried += tokens.Load()
			}
			b.ReportMetric(float64(carried)/host.Seconds(), "tokens/core-s")
			b.ReportMetric(float64(host.Nanoseconds())/float64(carried), "cpu-ns/token")
		})
	}
}

// BenchmarkIdleStreamMemory gives the memory of the process that an idle stream
// takes in an entry host: that of streams through the host less that of the same
// number past it. The system's socket buffers are not in it.
func BenchmarkIdleStreamMemory(b *testing.B) {
	measure := func(address string, e *tickEngine) uint64 {
		before := memoryInUse()
		var group, opened sync.WaitGroup
		opened.Add(_benchStreams)
		for range _benchStreams {
			group.Go(func() { _, _ = readStream(address, nil, opened.Done) })
		}
		opened.Wait()
		after := memoryInUse()
		close(e.idle)
		group.Wait()
		return after - before
	}
	for range b.N {
		e := &tickEngine{tokens: 2, idle: make(chan struct{})}
		site := newBenchSite(b, e)
		past := measure(site.direct, e)
		e.idle = make(chan struct{})
		through := measure(site.proxied, e)
		b.ReportMetric(float64(through-past)/_benchStreams, "bytes/stream")
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
