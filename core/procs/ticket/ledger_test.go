package ticket_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/core"
	"apricotproxy/core/procs/ticket"
)

var _start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ledgerOf(host string, incarnation core.Incarnation) *ticket.Ledger {
	return ticket.New(ticket.Settings{
		Site:                "s",
		Self:                core.HostID{Host: core.HostName(host), Incarnation: incarnation},
		Key:                 ticket.Key{host[0], byte(incarnation)},
		Size:                3,
		Term:                time.Minute,
		MaxAnswerBytes:      8,
		MaxTotalAnswerBytes: 12,
	})
}

func ExampleLedger() {
	ledger := ledgerOf("a", 1)
	tickets, _ := ledger.Issue(_start, "w", 1)
	t, order := tickets[0], ticket.DigestOf("book", "engrave", []byte("Ann"))
	step := ledger.Begin(_start, t, "w", order)
	fmt.Println(step.Kind == ticket.StepRun, ledger.StartDispatch(_start, t.ID))
	ledger.Finish(_start, t.ID, ticket.Outcome{Outcome: core.OutcomeDone, Answer: []byte("card 7")})
	again := ledger.Begin(_start, t, "w", order)
	fmt.Println(again.Kind == ticket.StepRecorded, string(again.Recorded.Answer))
	// Output:
	// true true
	// true card 7
}

// script is the state of one script of testdata/scripts.
type script struct {
	t       *testing.T
	now     time.Time
	ledgers map[string]*ticket.Ledger
	tickets map[string]ticket.Ticket
	copies  map[string]preparedCopy
}

type preparedCopy struct {
	data    []byte
	attempt uint64
}

// TestScripts runs the scripts of testdata/scripts. Each command starts with the
// name of a host; "a2" is the second incarnation of host a. A script gives its
// tickets and the copies of ledgers names of its own. The commands of a handover of
// host a's ledger to host b are:
//
//	a seal                       a starts no more orders
//	a prepare 1                  a makes a copy of its ledger, named 1
//	b receive-copy 1 a           b receives copy 1 from a
//	a commit 1 b                 a commits copy 1 to b
//	b receive-commit 1 a b       b receives the commit of copy 1, addressed to b
//	a receive-reply 1 b true     a receives b's reply that it accepts the commit
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{
			t:       t,
			now:     _start,
			ledgers: map[string]*ticket.Ledger{},
			tickets: map[string]ticket.Ticket{},
			copies:  map[string]preparedCopy{},
		}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				fmt.Fprintf(&out, "%s: %s\n", line, s.run(strings.Fields(line)))
			}
			return out.String()
		})
	})
}

func (s *script) ledger(name string) *ticket.Ledger {
	if _, ok := s.ledgers[name]; !ok {
		s.ledgers[name] = ledgerOf(name[:1], s.id(name).Incarnation)
	}
	return s.ledgers[name]
}

func (s *script) id(name string) core.HostID {
	incarnation := core.Incarnation(1)
	if len(name) > 1 {
		incarnation = core.Incarnation(name[1] - '0')
	}
	return core.HostID{Host: core.HostName(name[:1]), Incarnation: incarnation}
}

func (s *script) run(f []string) string {
	if f[0] == "sleep" {
		d, err := time.ParseDuration(f[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(d)
		return "ok"
	}
	l := s.ledger(f[0])
	switch f[1] {
	case "issue":
		return s.issue(l, f[2:])
	case "forge":
		t := s.tickets[f[2]]
		t.MAC[0] ^= 1
		s.tickets[f[3]] = t
		return "ok"
	case "order":
		return describe(l.Begin(s.now, s.tickets[f[2]], core.WorkspaceName(f[3]), ticket.DigestOf("book", "engrave", []byte(f[4]))))
	case "dispatch":
		return fmt.Sprint(l.StartDispatch(s.now, s.tickets[f[2]].ID))
	case "refused":
		l.DispatchDidNotRun(s.tickets[f[2]].ID)
		return "ok"
	case "finish":
		return s.finish(l, f[2:])
	case "held":
		return fmt.Sprintf("%d held, %d running", l.Held(), l.Running())
	default:
		return s.move(l, f)
	}
}

func (s *script) issue(l *ticket.Ledger, names []string) string {
	tickets, refusal := l.Issue(s.now, "w", len(names))
	if refusal != nil {
		return refusal.Error()
	}
	for i, name := range names {
		s.tickets[name] = tickets[i]
	}
	return "ok"
}

func (s *script) finish(l *ticket.Ledger, f []string) string {
	outcomes := map[string]core.Outcome{"Done": core.OutcomeDone, "NotRun": core.OutcomeNotRun, "Unknown": core.OutcomeUnknown}
	outcome := ticket.Outcome{Outcome: outcomes[f[1]]}
	if len(f) > 2 {
		outcome.Answer = []byte(f[2])
	}
	l.Finish(s.now, s.tickets[f[0]].ID, outcome)
	return "ok"
}

// move runs the handover commands.
func (s *script) move(l *ticket.Ledger, f []string) string {
	switch f[1] {
	case "seal":
		l.Seal()
		return "ok"
	case "prepare":
		data, attempt, err := l.Prepare(s.now)
		if err != nil {
			return err.Error()
		}
		s.copies[f[2]] = preparedCopy{data: data, attempt: attempt}
		return fmt.Sprintf("attempt %d", attempt)
	case "receive-copy":
		copied := s.copies[f[2]]
		accepted, err := l.AcceptPrepare(s.id(f[3]), copied.attempt, copied.data)
		return fmt.Sprint(accepted, errors.Unwrap(err))
	case "commit":
		if err := l.Commit(s.id(f[3]), s.copies[f[2]].attempt); err != nil {
			return err.Error()
		}
		return "ok"
	case "receive-commit":
		return fmt.Sprint(l.AcceptCommit(s.now, s.id(f[4]), s.id(f[3]), s.copies[f[2]].attempt))
	case "receive-reply":
		l.HandleCommitReply(s.id(f[3]), s.copies[f[2]].attempt, f[4] == "true")
		holder, moved := l.Holder()
		return fmt.Sprintf("moved=%t %s", moved, holder)
	default:
		s.t.Fatalf("unknown command %q", f)
		return ""
	}
}

func describe(step ticket.Step) string {
	switch step.Kind {
	case ticket.StepRun:
		return "Run"
	case ticket.StepWait:
		return "Wait"
	case ticket.StepElsewhere:
		return "Elsewhere " + step.Holder.String()
	case ticket.StepRefuse:
		return "Refuse " + step.Err.Error()
	default:
		return strings.TrimSpace(fmt.Sprintf("Recorded %s %s %s %s", step.Recorded.Outcome, step.Recorded.Cause, step.Recorded.Detail, step.Recorded.Answer))
	}
}
