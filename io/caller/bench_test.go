package caller_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
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
	_benchInterval      = 27 * time.Millisecond // between two tokens of a stream
	_benchStreams       = 1000
	_benchDirectStreams = 100 // streams that bypass the host, in the same run
	_benchBatches       = 16  // batches whose steps are spread over the interval
)

// timestampEngine is an engine that sends tokens whose text is the time of sending.
// The streams of one batch get their tokens at the same time, as from a model engine.
type timestampEngine struct {
	// tokens is the number of tokens of a generation.
	tokens int
	// paced is true to send one token per interval; otherwise tokens are sent as fast
	// as they are read.
	paced bool
	// idle, if not nil, pauses each stream after its first token until it is closed.
	idle    chan struct{}
	streams atomic.Int64
}

func (e *timestampEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Generation-Id")
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	batch := e.streams.Add(1) % _benchBatches
	var event []byte
	for i := range e.tokens {
		if i > 0 && e.paced {
			waitForBatchStep(batch)
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

func waitForBatchStep(batch int64) {
	phase := _benchInterval * time.Duration(batch) / _benchBatches
	now := time.Now()
	next := now.Add(-phase).Truncate(_benchInterval).Add(_benchInterval + phase)
	time.Sleep(next.Sub(now))
}

// newBenchHost starts an entry host in front of an engine and returns its address.
func newBenchHost(b *testing.B, engineAddress string) string {
	b.Helper()
	config := testConfig()
	config.Endpoints = []core.Endpoint{{Name: "draft-0", Service: "draft", Address: engineAddress}}
	config.Limits.SilenceTimeout = time.Minute
	config.Limits.RequestTimeout = time.Minute
	dispatcher := place.New(config)
	client := engine.New(engine.Config{Dialer: &net.Dialer{}, Limits: func() core.Limits { return config.Limits }})
	b.Cleanup(client.Close)
	runner := runs.New(runs.Config{Dispatcher: dispatcher, Client: client, Logger: logr.Discard()})
	orders, err := runs.NewOrders(runs.OrdersConfig{Runner: runner, Logger: logr.Discard()})
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := caller.NewServer(caller.New(caller.Config{Dispatcher: dispatcher, Runner: runner, Orders: orders, Logger: logr.Discard()}))
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// latencies records the latencies of a group of streams, in microseconds.
type latencies struct {
	mu    sync.Mutex
	first *hdrhistogram.Histogram
	token *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	const maxMicros = 10_000_000
	return &latencies{first: hdrhistogram.New(1, maxMicros, 3), token: hdrhistogram.New(1, maxMicros, 3)}
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

func (l *latencies) quantiles() quantiles {
	return quantiles{
		First50: l.first.ValueAtQuantile(50), First99: l.first.ValueAtQuantile(99),
		Token50: l.token.ValueAtQuantile(50), Token99: l.token.ValueAtQuantile(99),
	}
}

// quantiles holds quantiles of latencies, in microseconds.
type quantiles struct {
	First50, First99, Token50, Token99 int64
}

var (
	_benchBody      = []byte(`{"model":"m","prompt":"p","stream":true}`)
	_benchTextField = []byte(`"text":"`)
)

// readStream sends a request and reads its tokens. It calls opened after the first
// token.
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
		at := bytes.Index(line, _benchTextField)
		if at < 0 {
			continue
		}
		digits := line[at+len(_benchTextField):]
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

// The benchmarks run the engine and the callers in a child process, so that the
// measurements in the parent process cover only the host. The child is the test
// binary; it reads commands as lines of JSON and answers each with one line.

const _benchChild = "APRICOTPROXY_BENCH_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(_benchChild) != "" {
		runChild()
		return
	}
	os.Exit(m.Run())
}

// command asks the child to open streams: Through the host, and Past it directly to
// the engine.
type command struct {
	Host    string
	Through int
	Past    int
	Tokens  int
	Paced   bool
	// Idle is true to leave the streams open after the first token. They end with the
	// next command.
	Idle bool
}

// result is the child's answer to a command.
type result struct {
	Engine  string
	Tokens  int64 // through the host
	Failed  int64
	Through quantiles
	Past    quantiles
}

func runChild() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	var current atomic.Pointer[timestampEngine]
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		current.Load().ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	replies := json.NewEncoder(os.Stdout)
	_ = replies.Encode(result{Engine: listener.Addr().String()})
	commands := json.NewDecoder(os.Stdin)
	release := func() {}
	for {
		var c command
		if err := commands.Decode(&c); err != nil {
			return
		}
		release()
		e := &timestampEngine{tokens: c.Tokens, paced: c.Paced}
		if c.Idle {
			e.idle = make(chan struct{})
			release = sync.OnceFunc(func() { close(e.idle) })
		}
		current.Store(e)
		_ = replies.Encode(c.run(listener.Addr().String()))
	}
}

// run opens the streams, spread over two seconds, and reads them.
func (c command) run(engineAddress string) result {
	var group, opened sync.WaitGroup
	var r result
	var tokens, failed atomic.Int64
	through, past := newLatencies(), newLatencies()
	start := func(address string, count int, l *latencies, counted bool) {
		opened.Add(count)
		for i := range count {
			group.Go(func() {
				time.Sleep(2 * time.Second * time.Duration(i) / time.Duration(count))
				n, err := readStream(address, l, sync.OnceFunc(opened.Done))
				if err != nil {
					failed.Add(1)
				}
				if counted {
					tokens.Add(int64(n))
				}
			})
		}
	}
	start(c.Host, c.Through, through, true)
	start(engineAddress, c.Past, past, false)
	if c.Idle {
		opened.Wait()
		return r
	}
	group.Wait()
	return result{Tokens: tokens.Load(), Failed: failed.Load(), Through: through.quantiles(), Past: past.quantiles()}
}

// child is the process that runs the engine and the callers.
type child struct {
	b        *testing.B
	commands *json.Encoder
	replies  *json.Decoder
	host     string
}

func startChild(b *testing.B) *child {
	b.Helper()
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), _benchChild+"=1")
	process.Stderr = os.Stderr
	in, err := process.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := process.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := process.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = in.Close()
		_ = process.Wait()
	})
	c := &child{b: b, commands: json.NewEncoder(in), replies: json.NewDecoder(out)}
	c.host = newBenchHost(b, c.reply().Engine)
	return c
}

func (c *child) do(cmd command) result {
	c.b.Helper()
	cmd.Host = c.host
	if err := c.commands.Encode(cmd); err != nil {
		c.b.Fatal(err)
	}
	r := c.reply()
	if r.Failed != 0 {
		c.b.Errorf("%d streams failed", r.Failed)
	}
	return r
}

func (c *child) reply() result {
	c.b.Helper()
	var r result
	if err := c.replies.Decode(&r); err != nil {
		c.b.Fatal(err)
	}
	return r
}

// BenchmarkAddedLatency reports the latency that an entry host adds to the first token
// and to each later one, with 1,000 open streams. It compares with streams that bypass
// the host in the same run.
func BenchmarkAddedLatency(b *testing.B) {
	c := startChild(b)
	var r result
	for range b.N {
		r = c.do(command{Through: _benchStreams, Past: _benchDirectStreams, Tokens: 300, Paced: true})
	}
	b.ReportMetric(float64(r.Past.First50), "first-p50-past-µs")
	b.ReportMetric(float64(r.Through.First50-r.Past.First50), "first-p50-added-µs")
	b.ReportMetric(float64(r.Past.First99), "first-p99-past-µs")
	b.ReportMetric(float64(r.Through.First99-r.Past.First99), "first-p99-added-µs")
	b.ReportMetric(float64(r.Past.Token50), "token-p50-past-µs")
	b.ReportMetric(float64(r.Through.Token50-r.Past.Token50), "token-p50-added-µs")
	b.ReportMetric(float64(r.Past.Token99), "token-p99-past-µs")
	b.ReportMetric(float64(r.Through.Token99-r.Past.Token99), "token-p99-added-µs")
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkTokensPerCore reports how many tokens an entry host relays per second of
// processor time.
func BenchmarkTokensPerCore(b *testing.B) {
	for name, cmd := range map[string]command{
		// Each token arrives by itself, as in 1,000 streams of 37 tokens a second.
		"paced": {Through: _benchStreams, Tokens: 300, Paced: true},
		// Tokens are sent as fast as they are read.
		"saturated": {Through: 16, Tokens: 50_000},
	} {
		b.Run(name, func(b *testing.B) {
			c := startChild(b)
			before := cpuTime()
			var tokens int64
			for range b.N {
				tokens += c.do(cmd).Tokens
			}
			used := cpuTime() - before
			b.ReportMetric(float64(tokens)/used.Seconds(), "tokens/core-s")
			b.ReportMetric(float64(used.Nanoseconds())/float64(tokens), "cpu-ns/token")
		})
	}
}

// BenchmarkIdleStreamMemory reports the memory that an idle stream takes in an entry
// host's process: heap and stacks in use, without the kernel's socket buffers.
func BenchmarkIdleStreamMemory(b *testing.B) {
	for range b.N {
		c := startChild(b)
		// These streams end before the measurement, so that it leaves out the memory
		// that the host keeps after streams have ended.
		c.do(command{Through: _benchStreams, Tokens: 1})
		heap, stack := memoryInUse()
		c.do(command{Through: _benchStreams, Tokens: 2, Idle: true})
		heapAfter, stackAfter := memoryInUse()
		c.do(command{Through: 1, Tokens: 1})
		b.ReportMetric(float64(heapAfter-heap)/_benchStreams, "heap-bytes/stream")
		b.ReportMetric(float64(stackAfter-stack)/_benchStreams, "stack-bytes/stream")
		b.ReportMetric(float64(heapAfter-heap+stackAfter-stack)/_benchStreams, "bytes/stream")
	}
}

func memoryInUse() (heap, stack int64) {
	// The second collection frees what finalizers still held during the first one, and
	// shrinks stacks again.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse), int64(m.StackInuse)
}
