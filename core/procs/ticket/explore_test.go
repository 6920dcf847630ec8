package ticket

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
)

// The exploration runs the real ledgers of three hosts through every order of a
// small set of actions. Host 0 issues one ticket; hosts 0 and 1 may leave; copies
// of the order come to any host; messages of the handover arrive late, twice, out
// of order or never; hosts pause between any two steps; one host may crash and come back
// as another incarnation. States that were met before are not expanded again.

const (
	_exploreHosts  = 3
	_exploreCopies = 2 // of the order
	_exploreResend = 2 // commits that a leaving host sends
)

// message is one message of a handover on its way. It may arrive now, later, or
// never, and once more.
type message struct {
	from     core.HostID
	to       int
	attempt  uint64
	commit   bool
	reply    bool
	accepted bool
	holder   core.HostID // of a commit: to whom; of a reply: who answers
	data     string
	repeated bool // it has arrived once
}

// execution is an order between Begin and Finish on one incarnation.
type execution struct {
	host core.HostID
	sent bool // the endpoint ran it
}

type world struct {
	ledgers    [_exploreHosts]*Ledger
	messages   []message
	executions []execution
	resends    [_exploreHosts]int
	copies     int
	crashes    int
	runs       int
	toldNotRun bool
	trail      []string
	switches   Switches
	ticket     Ticket
}

func exploreID(host int, incarnation int) core.HostID {
	return core.HostID{Host: core.HostName(fmt.Sprintf("h%d", host)), Incarnation: core.Incarnation(incarnation)}
}

func newWorld(t *testing.T, switches Switches) *world {
	t.Helper()
	w := &world{switches: switches}
	for i := range w.ledgers {
		w.ledgers[i] = w.newLedger(exploreID(i, 1))
	}
	tickets, refusal := w.ledgers[0].Issue(_exploreNow, "w", 1)
	if refusal != nil {
		t.Fatal(refusal)
	}
	w.ticket = tickets[0]
	return w
}

var _exploreNow = time.Unix(1_700_000_000, 0).UTC()

func (w *world) newLedger(id core.HostID) *Ledger {
	return New(Settings{Site: "s", Self: id, Key: Key{byte(id.Incarnation), id.Host[1]}, Size: 4, Term: time.Hour, AnswerBytes: 10, AnswersBytes: 100, Switches: w.switches})
}

func (w *world) clone() *world {
	c := *w
	for i, l := range w.ledgers {
		c.ledgers[i] = l.clone()
	}
	c.messages = slices.Clone(w.messages)
	c.executions = slices.Clone(w.executions)
	c.trail = slices.Clone(w.trail)
	return &c
}

func (l *Ledger) clone() *Ledger {
	c := *l
	c.records = map[ID]*record{}
	for id, r := range l.records {
		copied := *r
		c.records[id] = &copied
	}
	c.issuers = maps.Clone(l.issuers)
	c.prepared = maps.Clone(l.prepared)
	c.settled = maps.Clone(l.settled)
	return &c
}

// fingerprint tells two worlds apart as far as the future goes.
func (w *world) fingerprint() string {
	var b strings.Builder
	for _, l := range w.ledgers {
		fmt.Fprintf(&b, "%v %d%t %v %d %d %v %v|", l.settings.Self, l.stage, l.closed, l.holder, l.attempt, l.running, l.issuers, l.settled)
		for _, host := range slices.SortedFunc(maps.Keys(l.prepared), compareHosts) {
			fmt.Fprintf(&b, "p%v:%d ", host, l.prepared[host].attempt)
		}
		for _, r := range l.records {
			fmt.Fprintf(&b, "r%d%t%d", r.phase, r.open, r.outcome.Outcome)
		}
	}
	lines := make([]string, 0, len(w.messages))
	for _, m := range w.messages {
		lines = append(lines, fmt.Sprintf("%v", m))
	}
	slices.Sort(lines)
	running := make([]string, 0, len(w.executions))
	for _, e := range w.executions {
		running = append(running, fmt.Sprintf("%v", e))
	}
	slices.Sort(running)
	fmt.Fprintf(&b, "%v%v%v%d%d%d%t", lines, running, w.resends, w.copies, w.crashes, w.runs, w.toldNotRun)
	return b.String()
}

// successorsOf lists the worlds after each possible action.
func (w *world) successorsOf() (next []*world) {
	act := func(name string, action func(c *world)) {
		c := w.clone()
		c.trail = append(c.trail, name)
		action(c)
		next = append(next, c)
	}
	for h := range w.ledgers {
		if w.copies < _exploreCopies {
			act(fmt.Sprintf("order comes to %d", h), func(c *world) { c.order(h) })
		}
		if w.crashes == 0 {
			act(fmt.Sprintf("%d crashes", h), func(c *world) { c.crash(h) })
		}
		if h < 2 {
			w.leaving(h, act)
		}
	}
	for i, e := range w.executions {
		if !e.sent {
			act(fmt.Sprintf("dispatch at %v, runs", e.host), func(c *world) { c.dispatch(i, true) })
			act(fmt.Sprintf("dispatch at %v, refused", e.host), func(c *world) { c.dispatch(i, false) })
			act(fmt.Sprintf("give up at %v", e.host), func(c *world) { c.finish(i, core.OutcomeNotRun) })
			continue
		}
		act(fmt.Sprintf("done at %v", e.host), func(c *world) { c.finish(i, core.OutcomeDone) })
		act(fmt.Sprintf("lost at %v", e.host), func(c *world) { c.finish(i, core.OutcomeUnknown) })
	}
	for i, m := range w.messages {
		act(fmt.Sprintf("arrives %s", m), func(c *world) { c.arrive(i) })
	}
	return next
}

// String gives a message without its data.
func (m message) String() string {
	return fmt.Sprintf("{%v->%d #%d commit=%t reply=%t accepted=%t by=%v again=%t}",
		m.from, m.to, m.attempt, m.commit, m.reply, m.accepted, m.holder, m.repeated)
}

// leaving lists the steps of a host's departure. A wait for an answer may end at
// any moment: the host then tries another successor, or sends the commit again.
func (w *world) leaving(h int, act func(string, func(*world))) {
	l := w.ledgers[h]
	if l.sealed() && !l.moved() && !l.closed {
		act(fmt.Sprintf("%d gives up the handover", h), func(c *world) { c.ledgers[h].Close() })
	}
	switch l.stage {
	case stageOpen:
		act(fmt.Sprintf("%d seals", h), func(c *world) { c.ledgers[h].Seal() })
	case stageSealed:
		for to := range w.ledgers {
			if to != h && l.attempt < 2 && !l.closed {
				act(fmt.Sprintf("%d prepares %d", h, to), func(c *world) { c.prepare(h, to) })
			}
		}
	case stageCommitting:
		if w.resends[h] < _exploreResend {
			act(fmt.Sprintf("%d commits again", h), func(c *world) { c.sendCommit(h) })
		}
	}
}

func (w *world) order(h int) {
	w.copies++
	l := w.ledgers[h]
	step := l.Begin(_exploreNow, w.ticket, "w", Digest{1})
	switch step.Kind {
	case StepRun:
		w.executions = append(w.executions, execution{host: l.settings.Self})
	case StepRecorded:
		w.toldNotRun = w.toldNotRun || step.Recorded.Outcome == core.OutcomeNotRun
	case StepRefuse:
		w.toldNotRun = true
	}
}

// live gives the ledger of an incarnation, nil when it crashed.
func (w *world) live(id core.HostID) *Ledger {
	for _, l := range w.ledgers {
		if l.settings.Self == id {
			return l
		}
	}
	return nil
}

func (w *world) dispatch(i int, runs bool) {
	e := &w.executions[i]
	l := w.live(e.host)
	if !l.MayDispatch(_exploreNow, w.ticket.ID) {
		return
	}
	if runs {
		w.runs++
		e.sent = true
		return
	}
	l.TryProvedNotRun(w.ticket.ID)
}

func (w *world) finish(i int, outcome core.Outcome) {
	told := w.live(w.executions[i].host).Finish(_exploreNow, w.ticket.ID, Outcome{Outcome: outcome})
	w.toldNotRun = w.toldNotRun || told.Outcome == core.OutcomeNotRun
	w.executions = slices.Delete(w.executions, i, i+1)
}

func (w *world) crash(h int) {
	w.crashes++
	dead := w.ledgers[h].settings.Self
	w.ledgers[h] = w.newLedger(exploreID(h, 2))
	w.resends[h] = 0
	w.executions = slices.DeleteFunc(w.executions, func(e execution) bool { return e.host == dead })
}

func (w *world) prepare(h, to int) {
	l := w.ledgers[h]
	data, attempt, err := l.Prepare(_exploreNow)
	if err != nil {
		panic(err)
	}
	w.messages = append(w.messages, message{from: l.settings.Self, to: to, attempt: attempt, data: string(data)})
}

func (w *world) sendCommit(h int) {
	l := w.ledgers[h]
	w.resends[h]++
	w.messages = append(w.messages, message{
		from: l.settings.Self, to: int(l.holder.Host[1] - '0'), attempt: l.attempt, commit: true, holder: l.holder,
	})
}

// arrive delivers a message; the first time a copy of it stays on its way.
func (w *world) arrive(i int) {
	m := w.messages[i]
	if m.repeated {
		w.messages = slices.Delete(w.messages, i, i+1)
	} else {
		w.messages[i].repeated = true
	}
	l := w.ledgers[m.to]
	if m.reply {
		w.answered(m)
		return
	}
	reply := message{from: m.from, to: int(m.from.Host[1] - '0'), attempt: m.attempt, commit: m.commit, reply: true, holder: l.settings.Self}
	if m.commit {
		reply.accepted = l.AcceptCommit(_exploreNow, m.holder, m.from, m.attempt)
	} else {
		accepted, err := l.AcceptPrepare(m.from, m.attempt, []byte(m.data))
		if err != nil {
			panic(err)
		}
		reply.accepted = accepted
	}
	if !slices.Contains(w.messages, reply) {
		w.messages = append(w.messages, reply)
	}
}

func (w *world) answered(m message) {
	l := w.live(m.from)
	if l == nil {
		return
	}
	if m.commit {
		l.Committed(m.holder, m.attempt, m.accepted)
		return
	}
	if !m.accepted || l.stage != stageSealed || l.Commit(m.holder, m.attempt) != nil {
		return
	}
	w.sendCommit(m.to)
}

// fault names a broken promise of the world, or "".
func (w *world) fault() string {
	if w.runs > 1 {
		return "the order ran twice"
	}
	if w.toldNotRun && w.runs > 0 {
		return "the order ran and is called NotRun"
	}
	holders := 0
	for _, l := range w.ledgers {
		if _, decides := l.issuers[w.ticket.ID.Issuer]; decides && !l.sent() {
			holders++
		}
	}
	if holders > 1 {
		return "two hosts decide on the ticket"
	}
	return ""
}

// starts are the points from which the exploration goes to its depth: a fresh
// ledger, and the steps of a handover that take many actions to reach.
func starts(t *testing.T, switches Switches) map[string]*world {
	t.Helper()
	fresh := newWorld(t, switches)
	prepared := fresh.clone()
	prepared.ledgers[0].Seal()
	prepared.prepare(0, 1)
	prepared.arrive(0)
	committing := prepared.clone()
	committing.arrive(1)
	running := newWorld(t, switches)
	running.order(0)
	running.ledgers[0].Seal()
	running.prepare(0, 1)
	running.arrive(0)
	both := prepared.clone()
	both.ledgers[1].Seal()
	return map[string]*world{
		"fresh":          fresh,
		"copy prepared":  prepared,
		"commit sent":    committing,
		"order running":  running,
		"both are going": both,
	}
}

// explore visits every state up to a depth. It returns the shortest trail to a
// fault.
func explore(t *testing.T, start *world, depth int) (states int, fault string, trail []string) {
	t.Helper()
	broken := ""
	t.Cleanup(invar.Handle(func(v *invar.Violation) { broken = v.Error() }))
	seen := map[string]struct{}{}
	level := []*world{start}
	for range depth {
		var next []*world
		for _, w := range level {
			for _, c := range w.successorsOf() {
				fault := c.fault()
				if fault == "" {
					fault = broken
				}
				if fault != "" {
					return len(seen), fault, c.trail
				}
				key := c.fingerprint()
				if _, ok := seen[key]; ok {
					continue
				}
				seen[key] = struct{}{}
				next = append(next, c)
			}
		}
		level = next
	}
	return len(seen), "", nil
}

// _exploreDepth is the number of actions from each start. A greater one is set
// by the environment variable EXPLORE_DEPTH.
const _exploreDepth = 6

func exploreDepth(t *testing.T) int {
	t.Helper()
	text := os.Getenv("EXPLORE_DEPTH")
	if text == "" {
		return _exploreDepth
	}
	depth, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("EXPLORE_DEPTH: %v", err)
	}
	return depth
}

func TestExploreLedgerAndHandover(t *testing.T) {
	for name, start := range starts(t, Switches{}) {
		t.Run(name, func(t *testing.T) {
			states, fault, trail := explore(t, start, exploreDepth(t))
			if fault != "" {
				t.Fatalf("%s:\n%s", fault, strings.Join(trail, "\n"))
			}
			t.Logf("%d states to depth %d", states, exploreDepth(t))
		})
	}
}

// Each mechanism that is switched off must be noticed.
func TestExploreNoticesSwitchedOff(t *testing.T) {
	for name, switches := range map[string]Switches{
		"fresh":       {NoLedgerCheck: true},
		"commit sent": {OpenWhileMoving: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, fault, trail := explore(t, starts(t, switches)[name], _exploreDepth)
			if fault == "" {
				t.Fatalf("no fault was found with %+v; want one", switches)
			}
			t.Logf("%s after %d actions", fault, len(trail))
		})
	}
}
