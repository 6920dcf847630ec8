package load

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// FuzzStream reads arbitrary bytes as a stream, seeded with the answers of
// testdata/answers. The outcome must always be a defined one. If it is Done, the
// number of gaps between tokens must match the token count.
func FuzzStream(f *testing.F) {
	text, err := os.ReadFile("testdata/answers")
	if err != nil {
		f.Fatal(err)
	}
	datadriven.RunTestFromStringAny(f, string(text), func(_ testing.TB, d *datadriven.TestData) string {
		f.Add(d.Input + "\n\n")
		return d.Expected
	})
	f.Fuzz(func(t *testing.T, text string) {
		reader := &streamReader{}
		reader.read(strings.NewReader(text))
		got := reader.answer
		if got.Outcome < Done || got.Outcome >= _outcomeCount {
			t.Fatalf("the outcome is %d", got.Outcome)
		}
		if got.Outcome != Done {
			return
		}
		if gaps := max(got.Tokens-1, 0); len(got.TokenGaps) != gaps {
			t.Fatalf("%d tokens with %d gaps", got.Tokens, len(got.TokenGaps))
		}
	})
}
