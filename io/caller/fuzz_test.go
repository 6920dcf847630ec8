package caller

import (
	"encoding/json"
	"errors"
	"testing"

	"apricotproxy/core"
)

// checkNotRun checks that an error, if any, is a NotRun outcome with a detail for the
// caller.
func checkNotRun(t *testing.T, err error) {
	t.Helper()
	var outcome *core.OutcomeError
	if err != nil && (!errors.As(err, &outcome) || outcome.Outcome != core.OutcomeNotRun || outcome.Detail == "") {
		t.Fatalf("err = %v; want NotRun with a detail", err)
	}
}

func FuzzCompletionBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"p","max_tokens":5,"stream":true}`,
		`{"service":"draft","delivery":"whole","n_probs":[1,{"a":null}]}`,
		`{"model":"m","delivery":"twice"}`, `{"model":"m","max_tokens":-1}`, `[]`, `null`, `{`, `"x"`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		_, err := parseCompletion(body)
		checkNotRun(t, err)
		if err != nil {
			return
		}
		forEngine, err := engineBody(body, "m")
		checkNotRun(t, err)
		if err == nil && !json.Valid(forEngine) {
			t.Fatalf("the body for the engine is %q; want JSON", forEngine)
		}
	})
}

func FuzzStrictBodies(f *testing.F) {
	for _, seed := range []string{
		`{"Ticket":"t","Service":"s","Call":"c","Body":{"a":1}}`, `{"Ticket":"t"}`,
		`{"Count":2}`, `{"Count":"2"}`, `{"Count":2}{}`, `{"Unknown":1}`, ``, `null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		_, err := parseOrder(body)
		checkNotRun(t, err)
		_, err = parseTickets(body)
		checkNotRun(t, err)
	})
}

func FuzzResumption(f *testing.F) {
	f.Add("g", "g.3")
	f.Add("g", "h.3")
	f.Add("g", "g.2147483647")
	f.Add("", ".")
	f.Fuzz(func(t *testing.T, generation, lastEventID string) {
		resumption, err := parseResumption(generation, lastEventID)
		checkNotRun(t, err)
		if err == nil && resumption.Next < 0 {
			t.Fatalf("resumption at token %d; want 0 or more", resumption.Next)
		}
	})
}

func FuzzAppendJSONString(f *testing.F) {
	f.Add("plain")
	f.Add("q\"\\\n\x00é\xff")
	f.Fuzz(func(t *testing.T, text string) {
		var got, want string
		if err := json.Unmarshal(appendJSONString(nil, text), &got); err != nil {
			t.Fatal(err)
		}
		data, _ := json.Marshal(text)
		_ = json.Unmarshal(data, &want)
		if got != want {
			t.Fatalf("%q is encoded as %q", text, got)
		}
	})
}
