package ticket

import (
	"testing"
	"time"

	"apricotproxy/core"
)

func FuzzParse(f *testing.F) {
	good := Ticket{
		ID:        ID{Issuer: core.HostID{Host: "entry-1", Incarnation: 7}, Serial: 3},
		Site:      "s",
		Workspace: "w",
		ExpiresAt: time.UnixMilli(1_700_000_000_000),
	}.withMAC(Key{1})
	f.Add(good.Text())
	f.Add("e30.AAAA")
	f.Add(".")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := Parse(text)
		if err == nil && parsed.Text() != text {
			t.Fatalf("%q parses as the ticket %q", text, parsed.Text())
		}
		if err == nil && parsed.withMAC(Key{1}).MAC == parsed.MAC && parsed.ID != good.ID {
			t.Fatalf("a ticket was forged: %+v", parsed)
		}
	})
}

func FuzzAcceptPrepare(f *testing.F) {
	f.Add([]byte(`{"Issuers":[{"Host":"a","Incarnation":1}],"Records":[{"Serial":1,"Mark":"AA==","Used":true}]}`))
	f.Add([]byte(`{}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		self, from := core.HostID{Host: "b", Incarnation: 1}, core.HostID{Host: "a", Incarnation: 1}
		l := New(Settings{Site: "s", Self: self, Size: 4, Term: time.Minute})
		if accepted, err := l.AcceptPrepare(from, 1, data); accepted && err == nil {
			l.AcceptCommit(_exploreNow, self, from, 1)
		}
	})
}
