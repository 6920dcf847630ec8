package ticket_test

import (
	"fmt"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/ticket"
)

// BenchmarkOrder measures one order in a ledger that holds many tickets: issue,
// begin, dispatch, finish.
func BenchmarkOrder(b *testing.B) {
	for _, held := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			ledger := ticket.New(ticket.Settings{
				Site:                "s",
				Self:                core.HostID{Host: "a", Incarnation: 1},
				Size:                1 << 30,
				Term:                time.Hour,
				MaxAnswerBytes:      1 << 10,
				MaxTotalAnswerBytes: 1 << 30,
			})
			if _, refusal := ledger.Issue(_start, "w", held); refusal != nil {
				b.Fatal(refusal)
			}
			order := ticket.DigestOf("book", "engrave", []byte("Ann"))
			now := _start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				tickets, _ := ledger.Issue(now, "w", 1)
				id := tickets[0].ID
				if step := ledger.Begin(now, tickets[0], "w", order); step.Kind != ticket.StepRun {
					b.Fatalf("step %d", step.Kind)
				}
				ledger.StartDispatch(now, id)
				ledger.Finish(now, id, ticket.Outcome{Outcome: core.OutcomeDone, Answer: []byte("card")})
			}
		})
	}
}
