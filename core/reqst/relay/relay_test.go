package relay_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"apricotproxy/core"
	"apricotproxy/core/reqst/relay"
)

func ExampleRelay_Accept() {
	r := relay.New("g", 2)
	for _, index := range []int{1, 2, 4} {
		var verdict relay.Verdict
		r, verdict = r.Accept(core.Token{Generation: "g", Index: index})
		fmt.Println(index, verdict)
	}
	fmt.Println("resume at", r.Next())
	// Output:
	// 1 Duplicate
	// 2 Deliver
	// 4 Gap
	// resume at 3
}

// Each line of a script is one event: "generation index" or
// "generation index final count".
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			next := 0
			d.MaybeScanArgs(t, "next", &next)
			r := relay.New("g", next)
			var out strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				var verdict relay.Verdict
				r, verdict = r.Accept(scriptToken(t, line))
				fmt.Fprintf(&out, "%s: %s\n", line, verdict)
			}
			fmt.Fprintf(&out, "next=%d delivered=%d complete=%t\n", r.Next(), r.Delivered(), r.Complete())
			return out.String()
		})
	})
}

func scriptToken(t *testing.T, line string) core.Token {
	t.Helper()
	fields := strings.Fields(line)
	index, err := strconv.Atoi(fields[1])
	if err != nil {
		t.Fatalf("index of %q: %v", line, err)
	}
	token := core.Token{Generation: core.GenerationID(fields[0]), Index: index}
	if len(fields) == 4 {
		token.Final = true
		if token.Count, err = strconv.Atoi(fields[3]); err != nil {
			t.Fatalf("count of %q: %v", line, err)
		}
	}
	return token
}

// Whatever an engine sends, the delivered tokens are 0, 1, 2, ... of one
// generation, and Complete follows only after all of them.
func TestAnyInputGivesEachTokenOnceInOrder(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(11)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("once in order", prop.ForAll(func(codes []int) bool {
		r := relay.New("g", 0)
		delivered := 0
		for _, code := range codes {
			token := core.Token{Generation: "g", Index: code % 8}
			if code >= 200 {
				token.Generation = "h"
			}
			if code%3 == 0 {
				token.Final, token.Count = true, (code/8)%8
			}
			var verdict relay.Verdict
			r, verdict = r.Accept(token)
			switch verdict {
			case relay.Deliver:
				if token.Index != delivered || token.Generation != "g" || r.Complete() {
					return false
				}
				delivered++
			case relay.Complete:
				if token.Count != delivered {
					return false
				}
			}
		}
		return r.Delivered() == delivered
	}, gen.SliceOf(gen.IntRange(0, 255))))
	properties.TestingRun(t)
}
