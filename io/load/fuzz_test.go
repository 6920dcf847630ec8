package load

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// FuzzStream reads any bytes as a stream. The corpus is the answers of the
// scripted cases. Whatever comes, the result has a known outcome; Done has a
// token count that the gaps between tokens agree with.
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
		if got.Outcome < Done || got.Outcome >= _outcomes {
			t.Fatalf("the outcome is %d", got.Outcome)
		}
		if got.Outcome != Done {
			return
		}
		if gaps := max(got.Tokens-1, 0); len(got.Between) != gaps {
			t.Fatalf("%d tokens with %d gaps", got.Tokens, len(got.Between))
		}
	})
}
