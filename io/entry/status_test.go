package entry_test

import (
	"net/http"
	"testing"

	"apricotproxy/fakes/routed"
)

// A report whose status was none counted as a call that the engine does not offer, so that the engine
// got a stream of which nobody knew whether it was of its build.
func TestStatusThatIsNoneConfirmsNoEngine(t *testing.T) {
	for _, status := range []string{"000 None", "600 Broken", "999"} {
		t.Run(status, func(t *testing.T) {
			testReportConfirmsNoEngine(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\n{}")
		})
	}
}

// Nor does an answer with a field whose name is none, which may else be taken for that of an engine that
// tells nothing.
func TestBrokenReportConfirmsNoEngine(t *testing.T) {
	for name, line := range routed.BrokenFields() {
		t.Run(name, func(t *testing.T) {
			testReportConfirmsNoEngine(t, "HTTP/1.1 404 Not Found\r\n"+line+"\r\nContent-Length: 0\r\n\r\n")
		})
	}
}

// testReportConfirmsNoEngine fails if a stream is taken up at an engine that answers requests for its report
// with a text.
func testReportConfirmsNoEngine(t *testing.T, text string) {
	t.Helper()
	s := newReportingSite(t, 2)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/","Streams":true}`)
	serve := buildHandler("v1")
	engine := s.endpoint("e1", func(c *routed.Call) bool {
		if c.URL.Path == s.Settings[0].Paths.Report {
			c.Write(text)
			return true
		}
		return serve(c)
	})
	s.store.Put("e1", engine.Address+" v1 1")
	b := &buildSite{site: s}
	b.waitReady([]string{"v1"}, 0, 1)
	streams := b.begin(0, 1)
	b.kill(0, streams)
	if got, _, body := b.takeUp(1, streams[0]); got == http.StatusOK {
		t.Errorf("status %d with events of %q, want the stream refused or cut", got, buildOf(body))
	}
	for _, call := range engine.Calls() {
		if call.Header.Get("Resumes") != "" {
			t.Error("the engine got the stream")
		}
	}
}
