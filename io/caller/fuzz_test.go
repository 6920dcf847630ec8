package caller

import (
	"encoding/json"
	"errors"
	"testing"

	"apricotproxy/core"
)

// wantTyped checks that a refusal is one that callers can read.
func wantTyped(t *testing.T, err error) {
	t.Helper()
	var outcome *core.OutcomeError
	if err != nil && (!errors.As(err, &outcome) || outcome.Outcome != core.OutcomeNotRun || outcome.Detail == "") {
		t.Fatalf("error %v is no NotRun with a detail", err)
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
		wantTyped(t, err)
		if err != nil {
			return
		}
		forEngine, err := engineBody(body, "m")
		wantTyped(t, err)
		if err == nil && !json.Valid(forEngine) {
			t.Fatalf("the engine gets %q", forEngine)
		}
	})
}

func FuzzOwnBodies(f *testing.F) {
	for _, seed := range []string{
		`{"Ticket":"t","Service":"s","Call":"c","Body":{"a":1}}`, `{"Ticket":"t"}`,
		`{"Count":2}`, `{"Count":"2"}`, `{"Count":2}{}`, `{"Unknown":1}`, ``, `null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		_, err := parseOrder(body)
		wantTyped(t, err)
		_, err = parseTickets(body)
		wantTyped(t, err)
	})
}

func FuzzResumption(f *testing.F) {
	f.Add("g", "g.3")
	f.Add("g", "h.3")
	f.Add("g", "g.2147483647")
	f.Add("", ".")
	f.Fuzz(func(t *testing.T, generation, lastEventID string) {
		resumption, err := parseResumption(generation, lastEventID)
		wantTyped(t, err)
		if err == nil && resumption.Next < 0 {
			t.Fatalf("resumption at %d", resumption.Next)
		}
	})
}

func FuzzAppendText(f *testing.F) {
	f.Add("plain")
	f.Add("q\"\\\n\x00é\xff")
	f.Fuzz(func(t *testing.T, text string) {
		var got, want string
		if err := json.Unmarshal(appendText(nil, text), &got); err != nil {
			t.Fatal(err)
		}
		data, _ := json.Marshal(text)
		_ = json.Unmarshal(data, &want)
		if got != want {
			t.Fatalf("%q is written as %q", text, got)
		}
	})
}
