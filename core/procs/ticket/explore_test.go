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

// The tests of this file are a model check: a breadth-first search through every
// sequence of a small set of actions on the real ledgers of three hosts. Host 0
// issues one ticket; hosts 0 and 1 may leave; repeats of the order arrive at any
// host; handover messages arrive late, twice, out of order or never; hosts pause
// between any two steps; one host may crash and restart as another incarnation.
// States that were visited before are not expanded again.

const (
	_exploreHosts   = 3
	_exploreCopies  = 2 // requests with the order, the first one included
	_exploreCommits = 2 // commits that a leaving host may send
)

// message is a handover message in flight. It may arrive at any time or never, and
// it may be delivered twice.
type message struct {
	from      core.HostID
	to        int
	attempt   uint64
	commit    bool
	reply     bool
	accepted  bool
	holder    core.HostID // in a commit: the successor; in a reply: the host that replies
	data      string
	delivered bool // has been delivered once already
}

// execution is an order that an incarnation has begun and not yet finished.
type execution struct {
	host core.HostID
	sent bool // the endpoint has run it
}

// fleetState is one state of the search.
type fleetState struct {
	ledgers        [_exploreHosts]*Ledger
	messages       []message
	executions     []execution
	commitsSent    [_exploreHosts]int
	copies         int
	crashes        int
	runs           int
	reportedNotRun bool
	trace          []string
	switches       Switches
	ticket         Ticket
}

func exploreID(host int, incarnation int) core.HostID {
	return core.HostID{Host: core.HostName(fmt.Sprintf("h%d", host)), Incarnation: core.Incarnation(incarnation)}
}

func newFleetState(t *testing.T, switches Switches) *fleetState {
	t.Helper()
	s := &fleetState{switches: switches}
	for i := range s.ledgers {
		s.ledgers[i] = s.newLedger(exploreID(i, 1))
	}
	tickets, refusal := s.ledgers[0].Issue(_exploreNow, "w", 1)
	if refusal != nil {
		t.Fatal(refusal)
	}
	s.ticket = tickets[0]
	return s
}

var _exploreNow = time.Unix(1_700_000_000, 0).UTC()

func (s *fleetState) newLedger(id core.HostID) *Ledger {
	return New(Settings{Site: "s", Self: id, Key: Key{byte(id.Incarnation), id.Host[1]}, Size: 4, Term: time.Hour, MaxAnswerBytes: 10, MaxTotalAnswerBytes: 100, Switches: s.switches})
}

func (s *fleetState) clone() *fleetState {
	c := *s
	for i, l := range s.ledgers {
		c.ledgers[i] = l.clone()
	}
	c.messages = slices.Clone(s.messages)
	c.executions = slices.Clone(s.executions)
	c.trace = slices.Clone(s.trace)
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

// fingerprint returns a string that is equal for states with the same possible
// futures.
func (s *fleetState) fingerprint() string {
	var b strings.Builder
	for _, l := range s.ledgers {
		fmt.Fprintf(&b, "%v %d%t %v %d %d %v %v|", l.settings.Self, l.stage, l.abandoned, l.holder, l.attempt, l.running, l.issuers, l.settled)
		for _, host := range slices.SortedFunc(maps.Keys(l.prepared), compareHosts) {
			fmt.Fprintf(&b, "p%v:%d ", host, l.prepared[host].attempt)
		}
		for _, r := range l.records {
			fmt.Fprintf(&b, "r%d%t%d", r.phase, r.mayHaveRun, r.outcome.Outcome)
		}
	}
	lines := make([]string, 0, len(s.messages))
	for _, m := range s.messages {
		lines = append(lines, fmt.Sprintf("%v", m))
	}
	slices.Sort(lines)
	running := make([]string, 0, len(s.executions))
	for _, e := range s.executions {
		running = append(running, fmt.Sprintf("%v", e))
	}
	slices.Sort(running)
	fmt.Fprintf(&b, "%v%v%v%d%d%d%t", lines, running, s.commitsSent, s.copies, s.crashes, s.runs, s.reportedNotRun)
	return b.String()
}

// successors returns the states after each possible action.
func (s *fleetState) successors() (next []*fleetState) {
	add := func(name string, action func(c *fleetState)) {
		c := s.clone()
		c.trace = append(c.trace, name)
		action(c)
		next = append(next, c)
	}
	for h := range s.ledgers {
		if s.copies < _exploreCopies {
			add(fmt.Sprintf("order arrives at %d", h), func(c *fleetState) { c.order(h) })
		}
		if s.crashes == 0 {
			add(fmt.Sprintf("%d crashes", h), func(c *fleetState) { c.crash(h) })
		}
		if h < 2 {
			s.departureActions(h, add)
		}
	}
	for i, e := range s.executions {
		if !e.sent {
			add(fmt.Sprintf("dispatch at %v, runs", e.host), func(c *fleetState) { c.dispatch(i, true) })
			add(fmt.Sprintf("dispatch at %v, refused", e.host), func(c *fleetState) { c.dispatch(i, false) })
			add(fmt.Sprintf("give up at %v", e.host), func(c *fleetState) { c.finish(i, core.OutcomeNotRun) })
			continue
		}
		add(fmt.Sprintf("done at %v", e.host), func(c *fleetState) { c.finish(i, core.OutcomeDone) })
		add(fmt.Sprintf("lost at %v", e.host), func(c *fleetState) { c.finish(i, core.OutcomeUnknown) })
	}
	for i, m := range s.messages {
		add(fmt.Sprintf("deliver %s", m), func(c *fleetState) { c.deliver(i) })
	}
	return next
}

// String formats a message without its data.
func (m message) String() string {
	return fmt.Sprintf("{%v->%d #%d commit=%t reply=%t accepted=%t by=%v again=%t}",
		m.from, m.to, m.attempt, m.commit, m.reply, m.accepted, m.holder, m.delivered)
}

// departureActions adds the actions of a leaving host. It may stop waiting for an
// answer at any time; it then tries another successor, or sends the commit again.
func (s *fleetState) departureActions(h int, add func(string, func(*fleetState))) {
	l := s.ledgers[h]
	if l.sealed() && !l.moved() && !l.abandoned {
		add(fmt.Sprintf("%d gives up the handover", h), func(c *fleetState) { c.ledgers[h].AbandonHandover() })
	}
	switch l.stage {
	case stageOpen:
		add(fmt.Sprintf("%d seals", h), func(c *fleetState) { c.ledgers[h].Seal() })
	case stageSealed:
		for to := range s.ledgers {
			if to != h && l.attempt < 2 && !l.abandoned {
				add(fmt.Sprintf("%d prepares %d", h, to), func(c *fleetState) { c.prepare(h, to) })
			}
		}
	case stageCommitting:
		if s.commitsSent[h] < _exploreCommits {
			add(fmt.Sprintf("%d commits again", h), func(c *fleetState) { c.sendCommit(h) })
		}
	}
}

func (s *fleetState) order(h int) {
	s.copies++
	l := s.ledgers[h]
	step := l.Begin(_exploreNow, s.ticket, "w", Digest{1})
	switch step.Kind {
	case StepRun:
		s.executions = append(s.executions, execution{host: l.settings.Self})
	case StepRecorded:
		s.reportedNotRun = s.reportedNotRun || step.Recorded.Outcome == core.OutcomeNotRun
	case StepRefuse:
		s.reportedNotRun = true
	}
}

// ledgerOf returns the ledger of an incarnation, nil if it has crashed.
func (s *fleetState) ledgerOf(id core.HostID) *Ledger {
	for _, l := range s.ledgers {
		if l.settings.Self == id {
			return l
		}
	}
	return nil
}

func (s *fleetState) dispatch(i int, runs bool) {
	e := &s.executions[i]
	l := s.ledgerOf(e.host)
	if !l.StartDispatch(_exploreNow, s.ticket.ID) {
		return
	}
	if runs {
		s.runs++
		e.sent = true
		return
	}
	l.DispatchDidNotRun(s.ticket.ID)
}

func (s *fleetState) finish(i int, outcome core.Outcome) {
	recorded := s.ledgerOf(s.executions[i].host).Finish(_exploreNow, s.ticket.ID, Outcome{Outcome: outcome})
	s.reportedNotRun = s.reportedNotRun || recorded.Outcome == core.OutcomeNotRun
	s.executions = slices.Delete(s.executions, i, i+1)
}

func (s *fleetState) crash(h int) {
	s.crashes++
	dead := s.ledgers[h].settings.Self
	s.ledgers[h] = s.newLedger(exploreID(h, 2))
	s.commitsSent[h] = 0
	s.executions = slices.DeleteFunc(s.executions, func(e execution) bool { return e.host == dead })
}

func (s *fleetState) prepare(h, to int) {
	l := s.ledgers[h]
	data, attempt, err := l.Prepare(_exploreNow)
	if err != nil {
		panic(err)
	}
	s.messages = append(s.messages, message{from: l.settings.Self, to: to, attempt: attempt, data: string(data)})
}

func (s *fleetState) sendCommit(h int) {
	l := s.ledgers[h]
	s.commitsSent[h]++
	s.messages = append(s.messages, message{
		from: l.settings.Self, to: int(l.holder.Host[1] - '0'), attempt: l.attempt, commit: true, holder: l.holder,
	})
}

// deliver delivers a message. The first time it stays in flight as a duplicate.
func (s *fleetState) deliver(i int) {
	m := s.messages[i]
	if m.delivered {
		s.messages = slices.Delete(s.messages, i, i+1)
	} else {
		s.messages[i].delivered = true
	}
	l := s.ledgers[m.to]
	if m.reply {
		s.handleReply(m)
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
	if !slices.Contains(s.messages, reply) {
		s.messages = append(s.messages, reply)
	}
}

func (s *fleetState) handleReply(m message) {
	l := s.ledgerOf(m.from)
	if l == nil {
		return
	}
	if m.commit {
		l.HandleCommitReply(m.holder, m.attempt, m.accepted)
		return
	}
	if !m.accepted || l.stage != stageSealed || l.Commit(m.holder, m.attempt) != nil {
		return
	}
	s.sendCommit(m.to)
}

// violation returns the promise that the state breaks, or "".
func (s *fleetState) violation() string {
	if s.runs > 1 {
		return "the order ran twice"
	}
	if s.reportedNotRun && s.runs > 0 {
		return "the order ran and was reported as NotRun"
	}
	holders := 0
	for _, l := range s.ledgers {
		if _, decides := l.issuers[s.ticket.ID.Issuer]; decides && !l.commitSent() {
			holders++
		}
	}
	if holders > 1 {
		return "two hosts decide on the ticket"
	}
	return ""
}

// startStates returns the states from which the search starts: a fresh ledger, and
// steps of a handover that take many actions to reach.
func startStates(t *testing.T, switches Switches) map[string]*fleetState {
	t.Helper()
	fresh := newFleetState(t, switches)
	prepared := fresh.clone()
	prepared.ledgers[0].Seal()
	prepared.prepare(0, 1)
	prepared.deliver(0)
	committing := prepared.clone()
	committing.deliver(1)
	running := newFleetState(t, switches)
	running.order(0)
	running.ledgers[0].Seal()
	running.prepare(0, 1)
	running.deliver(0)
	both := prepared.clone()
	both.ledgers[1].Seal()
	return map[string]*fleetState{
		"fresh":         fresh,
		"copy prepared": prepared,
		"commit sent":   committing,
		"order running": running,
		"both leaving":  both,
	}
}

// explore visits every state up to a depth. It returns the shortest trace to a
// violation, if there is one.
func explore(t *testing.T, start *fleetState, depth int) (states int, violation string, trace []string) {
	t.Helper()
	broken := ""
	t.Cleanup(invar.SetHandler(func(v *invar.Violation) { broken = v.Error() }))
	seen := map[string]struct{}{}
	level := []*fleetState{start}
	for range depth {
		var next []*fleetState
		for _, s := range level {
			for _, c := range s.successors() {
				violation := c.violation()
				if violation == "" {
					violation = broken
				}
				if violation != "" {
					return len(seen), violation, c.trace
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

// _exploreDepth is the number of actions from each start state. The environment
// variable EXPLORE_DEPTH overrides it.
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
	for name, start := range startStates(t, Switches{}) {
		t.Run(name, func(t *testing.T) {
			states, violation, trace := explore(t, start, exploreDepth(t))
			if violation != "" {
				t.Fatalf("%s:\n%s", violation, strings.Join(trace, "\n"))
			}
			t.Logf("%d states to depth %d", states, exploreDepth(t))
		})
	}
}

// The search must find a violation when a safeguard is disabled.
func TestExploreFindsDisabledChecks(t *testing.T) {
	for name, switches := range map[string]Switches{
		"fresh":       {RunRepeats: true},
		"commit sent": {RunDuringHandover: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, violation, trace := explore(t, startStates(t, switches)[name], _exploreDepth)
			if violation == "" {
				t.Fatalf("no violation was found with %+v; want one", switches)
			}
			t.Logf("%s after %d actions", violation, len(trace))
		})
	}
}
