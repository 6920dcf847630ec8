package runs

import (
	"math/rand/v2"
	"strings"
	"testing"

	"apricotproxy/core"
)

func testOrigin(t testing.TB, endpoint, host string) Origin {
	t.Helper()
	o, err := newOrigin(rand.NewChaCha8([32]byte{1}), core.EndpointName(endpoint),
		core.HostID{Host: core.HostName(host), Incarnation: 1733270000000000000})
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func TestGenerationIDBelongsToWorkspace(t *testing.T) {
	for _, names := range [][2]string{{"draft-1", "entry-1"}, {"a~b", "c d"}, {"ü/.", "%7E"}} {
		o := testOrigin(t, names[0], names[1])
		id := o.id("cards")
		got, err := ParseGeneration(id, "cards")
		if err != nil || got != o {
			t.Errorf("ParseGeneration(%s) = %+v, %v; want %+v", id, got, err, o)
		}
		if _, err := ParseGeneration(id, "other"); err == nil {
			t.Errorf("%s is accepted for another workspace", id)
		}
		if strings.ContainsAny(string(id), "/ ?#\n") {
			t.Errorf("%s has characters that need escaping in a URL path", id)
		}
	}
}

func FuzzParseGeneration(f *testing.F) {
	f.Add(string(testOrigin(f, "draft-1", "entry-1").id("cards")))
	f.Add("a~b~c~d~e")
	f.Add("%~~~~")
	f.Fuzz(func(t *testing.T, text string) {
		o, err := ParseGeneration(core.GenerationID(text), "cards")
		if err == nil && o.id("cards") != core.GenerationID(text) {
			t.Fatalf("%q is parsed as %+v", text, o)
		}
	})
}

func FuzzParseEventID(f *testing.F) {
	for _, seed := range []string{"g.0", "a.b.17", ".", "g.", "g.-1", "g.01", "g.99999999999", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		generation, index, err := ParseEventID(text)
		if err != nil {
			return
		}
		if again := string(generation) + "." + itoa(index); again != text || index < 0 {
			t.Fatalf("%q is parsed as %q", text, again)
		}
	})
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + string(rune('0'+n%10))
}
