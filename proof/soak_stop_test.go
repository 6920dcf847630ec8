package proof_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"apricotproxy/fakes/routed"
)

// Requests of the soak whose lengths, deadlines and bodies vary widely, before and during planned stops,
// judged by rule LOST (loss_test.go). tale is a stream that runs once, saga one that may be resumed, memo
// a plain request.

const (
	_soakLongTimeout   = 60 * time.Second // of the routes
	_soakLongEndpoints = 3
	_soakLongCallers   = 3  // of each host
	_soakLongStop      = 20 // requests around each stop
	_soakLongPieces    = 10
	_soakShortest      = 100 * time.Millisecond
	_soakLongest       = 9 * time.Second
	// _soakShortPhase is the longest answer in a phase of short ones.
	_soakShortPhase = 400 * time.Millisecond
	// _soakBeforeStop is the time of trouble before SIGTERM, _soakNotice that in which the host still
	// accepts connections.
	_soakBeforeStop = 600 * time.Millisecond
	_soakNotice     = 2400 * time.Millisecond
	// _soakLongAfter is the time after a run in which a request may go on to be judged.
	_soakLongAfter = 3 * time.Second
	// One in _soakBrokenLong answers breaks off.
	_soakBrokenLong = 20
)

// soakLong is a request whose path tells the endpoint how to answer.
type soakLong struct {
	id, kind string
	length   time.Duration
	// answer is how the answer's end is known: "length", "chunks" or "close".
	answer   string
	breaks   bool
	deadline time.Duration
	chunked  bool
	// dial, header and lastByte are times from the start of sending; pieces is the number of writes
	// of the body. With reuse another request goes before it on its connection.
	dial, header, lastByte time.Duration
	pieces                 int
	reuse                  bool
}

// soakLongRun is the latest run of a request at an endpoint. end is zero while it works on it.
type soakLongRun struct {
	begun, end time.Time
	brokeOff   bool
}

// soakLongs holds the endpoints of these requests, and their latest runs by ID.
type soakLongs struct {
	mu        sync.Mutex
	endpoints []*soakEndpoint
	started   int
	runs      map[string]*soakLongRun
	// ends counts requests by what came of them.
	ends map[string]int
}

// logUniform draws a duration of which each order of magnitude is as likely.
func logUniform(random *rand.Rand, from, to time.Duration) time.Duration {
	return time.Duration(float64(from) * math.Pow(float64(to)/float64(from), random.Float64()))
}

// drawLong draws a request to be sent at once.
func drawLong(random *rand.Rand, id string, longest time.Duration) soakLong {
	q := soakLong{kind: [...]string{"tale", "tale", "saga", "memo"}[random.IntN(4)], length: logUniform(random, _soakShortest, longest), chunked: random.IntN(2) == 0}
	q.id = q.kind + "-" + id
	q.answer = [...]string{"chunks", "close", "length"}[random.IntN(3)]
	if q.kind != "memo" && q.answer == "length" {
		q.answer = "chunks"
	}
	q.breaks = random.IntN(_soakBrokenLong) == 0
	q.deadline = logUniform(random, 300*time.Millisecond, _soakStopGrace)
	if random.IntN(3) > 0 {
		q.deadline = logUniform(random, _soakStopGrace, _soakLongTimeout)
	}
	q.deadline = q.deadline.Truncate(time.Millisecond) // as it is sent
	q.pieces = 1 + random.IntN(4)
	return q
}

// drawAroundStop draws the requests of one stop. Times count from _soakBeforeStop before SIGTERM.
func drawAroundStop(random *rand.Rand, host, stop int) []soakLong {
	var requests []soakLong
	shortFirst := random.IntN(2) == 0
	for n := range _soakLongStop {
		q := drawLong(random, fmt.Sprintf("%d-stop%d-%d", host, stop, n), _soakLongest)
		q.lastByte = _soakBeforeStop + time.Duration(random.Int64N(int64(_soakStopGrace)))
		switch isLate := q.lastByte > _soakBeforeStop+_lossSentBy; {
		case shortFirst && isLate:
			q.length = logUniform(random, time.Second, _soakLongest)
		case shortFirst:
			q.length = min(q.length, _soakShortPhase)
		}
		q.dial = time.Duration(random.Int64N(int64(min(q.lastByte, _soakBeforeStop+_soakNotice))))
		q.header = q.lastByte - logUniform(random, time.Millisecond, 2*time.Second)
		q.header = max(q.dial, q.header)
		q.reuse = random.IntN(3) == 0
		if q.reuse {
			q.dial = 0
			q.header = max(q.header, _soakBeforeStop/2)
			q.lastByte = max(q.header, q.lastByte)
		}
		requests = append(requests, q)
	}
	return requests
}

// startLong starts an endpoint of these requests.
func (r *soakRun) startLong() {
	e := &soakEndpoint{}
	endpoint, err := routed.Start(func(c *routed.Call) bool { return r.answerLong(c, e) })
	if err != nil {
		r.violate("%v", err)
		return
	}
	r.mu.Lock()
	e.Endpoint, e.name, e.build = endpoint, fmt.Sprint("long", r.longs.started), "v0"
	r.longs.started++
	r.longs.endpoints = append(r.longs.endpoints, e)
	r.mu.Unlock()
	r.writeFiles()
}

// leaveLong has an endpoint leave: it says so, and is removed once it has had time to finish.
func (r *soakRun) leaveLong(target int) {
	r.mu.Lock()
	e := r.longs.endpoints[target%len(r.longs.endpoints)]
	isLeaving := e.leaving
	e.leaving = true
	r.mu.Unlock()
	if isLeaving {
		return
	}
	r.startLong()
	time.Sleep(_soakContact)
	r.mu.Lock()
	r.longs.endpoints = slices.DeleteFunc(r.longs.endpoints, func(other *soakEndpoint) bool { return other == e })
	r.mu.Unlock()
	r.writeFiles()
	time.AfterFunc(_soakLongest, e.Close)
}

// answerLong answers a request at an endpoint as its path says: /KIND/ID/MS/ANSWER/BREAKS.
func (r *soakRun) answerLong(c *routed.Call, e *soakEndpoint) bool {
	parts := strings.Split(c.URL.Path, "/")
	if len(parts) != 6 {
		c.Answer(http.StatusOK, "")
		return true
	}
	var ms int
	_, _ = fmt.Sscan(parts[3], &ms)
	id, length, how, breaks := parts[2], time.Duration(ms)*time.Millisecond, parts[4], parts[5] == "true"
	run := &soakLongRun{begun: time.Now()}
	r.mu.Lock()
	isLeaving := e.leaving
	r.mu.Unlock()
	r.longs.mu.Lock()
	isRepeat := r.longs.runs[id] != nil
	r.longs.runs[id] = run
	r.longs.mu.Unlock()
	if isRepeat && parts[1] != "saga" {
		r.violate("%s ran again", id)
	}
	defer func() {
		r.longs.mu.Lock()
		defer r.longs.mu.Unlock()
		run.end = time.Now()
	}()
	first := 0
	if last := c.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	lines := []string{"Request-Id: " + c.Header.Get("Request-Id"), "Endpoint-Seal: s"}
	if isLeaving {
		lines = append(lines, "Endpoint-Leaving: 1")
	}
	if parts[1] != "memo" {
		lines = append(lines, "Content-Type: text/event-stream")
	}
	switch how {
	case "length":
		lines = append(lines, fmt.Sprint("Content-Length: ", len(soakLongText(c.URL.Path, first))))
	case "chunks":
		lines = append(lines, "Transfer-Encoding: chunked")
	default:
		lines = append(lines, "Connection: close")
	}
	c.Write("HTTP/1.1 200 OK\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n")
	for n := first; n < _soakLongPieces; n++ {
		if breaks && n == _soakLongPieces/2 && !isRepeat {
			r.longs.mu.Lock()
			run.brokeOff = true
			r.longs.mu.Unlock()
			c.Reset()
			return false
		}
		piece := soakEvent("v0", c.URL.Path, n)
		if how == "chunks" {
			c.Chunk(piece)
		} else {
			c.Write(piece)
		}
		time.Sleep(length / _soakLongPieces)
	}
	if how == "chunks" {
		c.EndStream()
	}
	return how != "close"
}

// soakLongText returns the answer from a piece on.
func soakLongText(path string, first int) string {
	text := ""
	for n := first; n < _soakLongPieces; n++ {
		text += soakEvent("v0", path, n)
	}
	return text
}

// sendLong sends a request from begun on, and judges what came of it.
func (r *soakRun) sendLong(host int, q soakLong, begun time.Time) {
	time.Sleep(time.Until(begun.Add(q.dial)))
	conn, err := net.Dial("tcp", r.hosts[host].caller)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	answers := bufio.NewReader(conn)
	if q.reuse {
		path := fmt.Sprintf("/memo/%s-first/100/length/false", q.id)
		_, _ = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nRequest-Id: "+q.id+"-first\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n")
		res, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.Close {
			return
		}
	}
	time.Sleep(time.Until(begun.Add(q.header)))
	path := fmt.Sprintf("/%s/%s/%d/%s/%t", q.kind, q.id, q.length.Milliseconds(), q.answer, q.breaks)
	framing := fmt.Sprint("Content-Length: ", 4*q.pieces)
	piece, last := "body", ""
	if q.chunked {
		framing, piece, last = "Transfer-Encoding: chunked", "4\r\nbody\r\n", "0\r\n\r\n"
	}
	sent := time.Now()
	head := "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + q.id + fmt.Sprint("\r\nDeadline-Ms: ", q.deadline.Milliseconds()) + "\r\n" + framing + "\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return // unread
	}
	type end struct {
		at     time.Time
		status int
		text   string
		err    error
	}
	ended := make(chan end, 1)
	go func() {
		_ = conn.SetReadDeadline(r.begun.Add(_soakDuration + _soakLongAfter))
		e := end{}
		var res *http.Response
		if res, e.err = http.ReadResponse(answers, nil); e.err == nil {
			e.status = res.StatusCode
			var body []byte
			body, e.err = io.ReadAll(res.Body)
			e.text = string(body)
		}
		e.at = time.Now()
		ended <- e
	}()
	written := true
	for n := range q.pieces {
		time.Sleep(time.Until(begun.Add(q.header + (q.lastByte-q.header)*time.Duration(n+1)/time.Duration(q.pieces))))
		text := piece
		if n == q.pieces-1 {
			text += last
		}
		if _, err := io.WriteString(conn, text); err != nil {
			written = false
			break
		}
	}
	lastByte := time.Now()
	e := <-ended
	r.judgeLong(host, q, path, sent, lastByte, written, e.at, e.status, e.text, e.err)
}

// judgeLong judges a request by rule LOST, and its answer.
func (r *soakRun) judgeLong(host int, q soakLong, path string, sent, lastByte time.Time, written bool, ended time.Time, status int, text string, err error) {
	h := r.hosts[host]
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return // the run is over
	}
	at := func(moment time.Time) time.Duration { return moment.Sub(r.begun) }
	c := lossCase{
		sent: at(sent), lastByte: at(lastByte), ended: at(ended), terminated: _never, grace: _soakStopGrace,
		answered: err == nil, budget: min(q.deadline, _soakLongTimeout), worked: -1,
	}
	if !written {
		c.lastByte = _never
	}
	r.longs.mu.Lock()
	passedOnAt := time.Duration(-1)
	if run := r.longs.runs[q.id]; run != nil {
		c.passedOn, c.brokeOff, c.worked, passedOnAt = true, run.brokeOff, c.ended, at(run.begun)
		if !run.end.IsZero() {
			c.worked = min(at(run.end), c.ended)
		}
	}
	r.longs.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, moment := range h.terminated {
		if moment.Before(ended) {
			c.terminated = at(moment)
		}
	}
	for _, moment := range h.hangups {
		c.hangups = append(c.hangups, at(moment))
	}
	for _, d := range h.disrupted {
		until := _never
		if !d[1].IsZero() {
			until = at(d[1])
		}
		c.disrupted = append(c.disrupted, [2]time.Duration{at(d[0]), until})
	}
	switch {
	case c.isLost():
		r.violations = append(r.violations, fmt.Sprintf("LOST at host %d: %s, SIGTERM %v, sent %v, last byte %v, passed on %v, endpoint at work until %v, cut %v with status %d, %v\n%+v\n%+v\n%s",
			host, q.id, c.terminated, c.sent, c.lastByte, passedOnAt, c.worked, c.ended, status, err, q, c, strings.Join(h.linesOf(q.id), "\n")))
	case err == nil && status == http.StatusOK && text != soakLongText(path, 0):
		r.violations = append(r.violations, fmt.Sprintf("%s got %q", q.id, text))
	case err == nil && status == http.StatusServiceUnavailable && c.passedOn && q.kind != "saga":
		r.violations = append(r.violations, q.id+" ran although a host reported it as not run")
	}
	what := fmt.Sprint(status)
	if err != nil {
		what = "cut"
	}
	r.longs.ends[strings.SplitN(q.id, "-", 2)[0]+" "+what]++
}

// linesOf returns what the host logged of a request.
func (h *soakHost) linesOf(id string) []string {
	h.logMu.Lock()
	defer h.logMu.Unlock()
	return slices.DeleteFunc(slices.Clone(h.lines), func(line string) bool { return !strings.Contains(line, `"`+id+`"`) })
}

// lastLines returns the last lines that the host logged.
func (h *soakHost) lastLines() string {
	h.logMu.Lock()
	defer h.logMu.Unlock()
	return strings.Join(h.lines[max(len(h.lines)-40, 0):], "\n")
}

// awaitExit waits until a host's process has ended, and reports whether that was within its time to stop.
// A freeze that began before SIGTERM and ends after it does not count.
func (r *soakRun) awaitExit(h *soakHost, exited chan struct{}, terminated time.Time) bool {
	for {
		due := terminated.Add(_soakStopGrace + time.Second)
		r.mu.Lock()
		for _, d := range h.disrupted {
			if d[0].Before(terminated) && d[1].After(terminated) {
				due = due.Add(d[1].Sub(terminated))
			}
		}
		r.mu.Unlock()
		wait := time.Until(due)
		if wait <= 0 {
			return false
		}
		select {
		case <-exited:
			return true
		case <-time.After(wait):
		}
	}
}

// callLong sends one request after the other to a host. Phases of short answers alternate with those
// of any length.
func (r *soakRun) callLong(random *rand.Rand, shortFor time.Duration, host, caller int) {
	isShort, until := true, time.Now().Add(shortFor)
	for n := 0; r.deadline.Err() == nil; n++ {
		if time.Now().After(until) {
			isShort, until = !isShort, time.Now().Add(time.Duration(2+random.IntN(4))*time.Second)
		}
		longest := _soakLongest
		if isShort {
			longest = _soakShortPhase
		}
		r.sendLong(host, drawLong(random, fmt.Sprintf("%d-%d-%d", host, caller, n), longest), time.Now())
		time.Sleep(15 * time.Millisecond)
	}
}

// disturbStop sends requests around a stop from _soakBeforeStop before SIGTERM on. Signals, changes and
// endpoints that leave come before and in it. It returns when SIGTERM is due.
func (r *soakRun) disturbStop(process *os.Process, host, stop int) {
	random := rand.New(rand.NewPCG(r.seed, uint64(1000+100*host+stop)))
	begun := time.Now()
	for _, q := range drawAroundStop(random, host, stop) {
		r.aside.Go(func() { r.sendLong(host, q, begun) })
	}
	for range random.IntN(4) {
		after := time.Duration(random.Int64N(int64(_soakBeforeStop + _soakStopGrace/2)))
		kind, target := random.IntN(3), random.IntN(1<<16)
		r.aside.Go(func() {
			time.Sleep(after)
			switch kind {
			case 0:
				r.hangUp(host, process)
			case 1:
				r.inject(soakFault{kind: "change"})
			case 2:
				r.leaveLong(target)
			}
		})
	}
	time.Sleep(time.Until(begun.Add(_soakBeforeStop)))
}

// hangUp sends SIGHUP to a host.
func (r *soakRun) hangUp(host int, process *os.Process) {
	r.mu.Lock()
	r.hosts[host].hangups = append(r.hosts[host].hangups, time.Now())
	r.mu.Unlock()
	_ = process.Signal(syscall.SIGHUP)
}

// drawStops draws stops of two hosts at once, and of a host that was just started.
func drawStops(seed uint64) []soakFault {
	random := rand.New(rand.NewPCG(seed, 8))
	target := random.IntN(1 << 16)
	at := 4*time.Second + time.Duration(random.Int64N(int64(2*time.Second)))
	both := soakFault{at: at, kind: "stop", target: target}
	second := both
	second.target++
	again := soakFault{at: at + time.Duration(random.Int64N(int64(time.Second))), kind: "stops", target: target + 2, length: time.Duration(random.Int64N(int64(time.Second)))}
	return []soakFault{both, second, again}
}
