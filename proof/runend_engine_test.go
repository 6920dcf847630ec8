package proof_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"apricotproxy/fakes/routed"
)

// endEngine is a fake engine that works on a run until it is done or was stopped, or the engine ends. A run whose
// connection closes goes on, unless the engine drops it.
type endEngine struct {
	index   int
	address string
	drops   bool
	ledger  *endLedger

	mu       sync.Mutex
	endpoint *routed.Endpoint
	born     time.Time
	leaving  bool
	// ended is closed when the engine ends.
	ended chan struct{}
	// The engine sends and reads nothing until silentUntil. Until lateUntil it acts on requests only after lateBy, and
	// on calls to move a run too unless it is their answers that are late.
	silentUntil, lateUntil time.Time
	lateBy                 time.Duration
	answersLate            bool
}

// endRun is a run of a stream at an engine.
type endRun struct {
	id, from, last string
	engine, host   int
	// arrived is when the engine got the request, begun when its work began.
	arrived, begun, end time.Time
	endCause            string
	stopped             chan struct{}
}

func (r *endRun) String() string {
	end := "still works"
	if !r.end.IsZero() {
		end = r.end.UTC().Format("05.000") + " " + r.endCause
	}
	return fmt.Sprintf("engine %d, sent by host %d at %s, from %q after %q, begun %s, %s", r.engine, r.host, r.arrived.UTC().Format("04:05.000"), r.from, r.last,
		r.begun.UTC().Format("05.000"), end)
}

// endLedger holds the runs of each stream by its path, in the order in which they arrived.
type endLedger struct {
	mu   sync.Mutex
	runs map[string][]*endRun
}

func (l *endLedger) begin(path string, run *endRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.begun = time.Now()
	i := slices.IndexFunc(l.runs[path], func(other *endRun) bool { return other.arrived.After(run.arrived) })
	if i < 0 {
		i = len(l.runs[path])
	}
	l.runs[path] = slices.Insert(l.runs[path], i, run)
}

// finish records the end of a run unless it has ended, and reports whether it had not.
func (l *endLedger) finish(run *endRun, cause string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !run.end.IsZero() {
		return false
	}
	run.end, run.endCause = time.Now(), cause
	close(run.stopped)
	return true
}

// find returns the runs at an engine that have not ended, of one request or of all if id is empty.
func (l *endLedger) find(engine int, id string) (found []*endRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.runs {
		for _, run := range runs {
			if run.engine == engine && (id == "" || run.id == id) && run.end.IsZero() {
				found = append(found, run)
			}
		}
	}
	return found
}

func (e *endEngine) start() error {
	endpoint, err := routed.StartAt(e.address, e.handle)
	if err != nil {
		return fmt.Errorf("start an engine: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endpoint, e.born, e.ended, e.leaving = endpoint, time.Now(), make(chan struct{}), false
	e.silentUntil, e.lateUntil = time.Time{}, time.Time{}
	return nil
}

// kill ends the engine with its runs.
func (e *endEngine) kill() {
	e.mu.Lock()
	close(e.ended)
	endpoint := e.endpoint
	e.mu.Unlock()
	for _, run := range e.ledger.find(e.index, "") {
		e.ledger.finish(run, "killed")
	}
	endpoint.Close()
}

func (e *endEngine) silence(length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = time.Now().Add(length)
}

func (e *endEngine) delay(length, by time.Duration, answersLate bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lateUntil, e.lateBy, e.answersLate = time.Now().Add(length), by, answersLate
}

// awaitSound waits while the engine is silent. It reports whether the engine lives.
func (e *endEngine) awaitSound(ended chan struct{}) bool {
	for {
		e.mu.Lock()
		rest := time.Until(e.silentUntil)
		e.mu.Unlock()
		select {
		case <-ended:
			return false
		case <-time.After(rest):
		}
		if rest <= 0 {
			return true
		}
	}
}

// awaitAction waits as an engine does that acts late. It reports whether the engine lives.
func (e *endEngine) awaitAction(ended chan struct{}) bool {
	e.mu.Lock()
	by := time.Duration(0)
	if time.Now().Before(e.lateUntil) {
		by = e.lateBy
	}
	e.mu.Unlock()
	select {
	case <-ended:
		return false
	case <-time.After(by):
		return true
	}
}

func (e *endEngine) handle(c *routed.Call) bool {
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	if !e.awaitSound(ended) {
		return false
	}
	switch {
	case c.URL.Path == "/v1/moves":
		return e.move(c, ended)
	case c.URL.Path == "/v1/report":
		e.mu.Lock()
		report := fmt.Sprintf(`{"Leaving":%t,"Born":%q}`, e.leaving, e.born.Format(time.RFC3339Nano))
		e.mu.Unlock()
		c.Answer(http.StatusOK, report)
	case strings.HasPrefix(c.URL.Path, "/v1/moves/"):
		c.Answer(http.StatusOK, "")
	case strings.HasPrefix(c.URL.Path, "/once/"), strings.HasPrefix(c.URL.Path, "/feed/"):
		e.run(c, ended)
		return false
	default:
		c.Answer(http.StatusNotFound, "")
	}
	return true
}

func (e *endEngine) move(c *routed.Call, ended chan struct{}) bool {
	var move struct {
		ID   string
		Last bool
	}
	if err := json.Unmarshal([]byte(c.BodyText), &move); err != nil {
		c.Answer(http.StatusBadRequest, "")
		return true
	}
	e.mu.Lock()
	answersLate := e.answersLate
	e.mu.Unlock()
	if !answersLate && !e.awaitAction(ended) {
		return false
	}
	runs := e.ledger.find(e.index, move.ID)
	for _, run := range runs {
		if move.Last {
			e.ledger.finish(run, "stopped")
		}
	}
	if answersLate && !e.awaitAction(ended) {
		return false
	}
	if len(runs) == 0 {
		c.Answer(http.StatusNotFound, "")
		return true
	}
	c.Answer(http.StatusOK, `{"handle":"h`+move.ID+`","created":1}`)
	return true
}

func (e *endEngine) run(c *routed.Call, ended chan struct{}) {
	run := &endRun{
		id: c.Header.Get("Request-Id"), from: c.Header.Get("Continue-From"), last: c.Header.Get("Last-Event-Id"),
		engine: e.index, arrived: time.Now(), stopped: make(chan struct{}),
	}
	_, _ = fmt.Sscanf(c.RemoteAddr, "127.0.0.%d:", &run.host)
	run.host-- // host 0 sends from 127.0.0.1
	dropped := make(chan struct{})
	if e.drops {
		go func() {
			if c.WaitClosed(_endDeadline) && e.awaitSound(ended) {
				close(dropped)
			}
		}()
	}
	if !e.awaitAction(ended) {
		return
	}
	select {
	case <-dropped:
		return
	default:
	}
	e.ledger.begin(c.URL.Path, run)
	cause := e.stream(c, run, ended, dropped)
	e.ledger.finish(run, cause)
}

// stream sends the events of a run and returns why it ended.
func (e *endEngine) stream(c *routed.Call, run *endRun, ended, dropped chan struct{}) (cause string) {
	first := 0
	if run.last != "" {
		_, _ = fmt.Sscan(run.last, &first)
		first++
	}
	c.BeginStream("Request-Id: "+run.id, "Endpoint-Seal: s", "Connection: close")
	number := 0
	_, _ = fmt.Sscan(c.URL.Path[len("/once/"):], &number)
	for events, pause := endEvents(number); first < events; first++ {
		select {
		case <-ended:
			return "killed"
		case <-run.stopped:
			return "stopped"
		case <-dropped:
			return "dropped"
		case <-time.After(pause):
		}
		if !e.awaitSound(ended) {
			return "killed"
		}
		c.Chunk(cutEvent(c.URL.Path, first))
	}
	c.EndStream()
	return "done"
}

// endEvents returns how many events a stream has, and the pause between two.
func endEvents(number int) (int, time.Duration) {
	return 24 + number*7%40, time.Duration(50+number*13%50) * time.Millisecond
}
