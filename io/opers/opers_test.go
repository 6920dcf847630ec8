package opers_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/procs/audit"
	"apricotproxy/io/opers"
)

type status struct {
	Host     string
	Revision int
}

func newDependencies() opers.Dependencies {
	trail := audit.New(2)
	when := time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)
	for _, subject := range []string{"austin-a", "austin-b", "waco"} {
		trail.Record(audit.Event(when, core.HostID{Host: "waco-host-1", Incarnation: 7}, core.AuditDataCentreOut, 12, subject, "revision 12"))
	}
	return opers.Dependencies{
		Ready:  func() error { return nil },
		Status: func() any { return status{Host: "waco-host-1", Revision: 12} },
		Trail:  trail,
		Logger: logr.Discard(),
	}
}

// TestSurface sends the request of each case in testdata/surface.
func TestSurface(t *testing.T) {
	datadriven.RunTest(t, "testdata/surface", func(t *testing.T, d *datadriven.TestData) string {
		dependencies := newDependencies()
		if d.HasArg("not-ready") {
			dependencies.Ready = func() error { return errors.New("no configuration yet") }
		}
		method, target, _ := strings.Cut(strings.TrimSpace(d.Input), " ")
		var body *strings.Reader
		request := httptest.NewRequest(method, target, nil)
		if d.HasArg("body") {
			body = strings.NewReader("x")
			request = httptest.NewRequest(method, target, body)
		}
		answer := httptest.NewRecorder()
		opers.NewHandler(dependencies).ServeHTTP(answer, request)
		return fmt.Sprintf("%d\n%s", answer.Code, answer.Body)
	})
}

// TestAuditStream follows the trail over an in-memory connection. Entries that the
// trail holds come first, then new ones, with pings while there are none.
func TestAuditStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dependencies := newDependencies()
		server := opers.NewServer(dependencies)
		client, listener := newPipeListener()
		go func() { _ = server.Serve(listener) }()
		ctx, cancel := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://host/auditz?Follow=yes&After=2", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(answer.Body)
		expectSubject(t, lines, "waco")
		expectSubject(t, lines, "") // a ping after some seconds without events
		dependencies.Trail.Record(core.AuditEvent{Subject: "laidley"})
		expectSubject(t, lines, "laidley")
		cancel()
		if err := server.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
		client.CloseIdleConnections()
	})
}

func TestVariables(t *testing.T) {
	expvar.NewFloat("test.nan").Set(math.NaN())
	answer := httptest.NewRecorder()
	opers.NewHandler(newDependencies()).ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/debug/vars", nil))
	var variables struct {
		Memory struct{ HeapAlloc uint64 } `json:"memstats"`
		Audit  map[core.AuditKind]uint64  `json:"apricotproxy.Audit"`
	}
	if err := json.Unmarshal(answer.Body.Bytes(), &variables); err != nil {
		t.Fatal(err)
	}
	if variables.Memory.HeapAlloc == 0 || variables.Audit[core.AuditDataCentreOut] != 3 {
		t.Errorf("got %+v", variables)
	}
}

// TestShutdownEndsStreams shuts a server down while a client follows the trail.
func TestShutdownEndsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := opers.NewServer(newDependencies())
		client, listener := newPipeListener()
		go func() { _ = server.Serve(listener) }()
		answer, err := client.Get("http://host/auditz?Follow=yes")
		if err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(answer.Body)
		expectSubject(t, lines, "austin-b")
		expectSubject(t, lines, "waco")
		stopped := make(chan error)
		go func() { stopped <- server.Shutdown(t.Context()) }()
		if lines.Scan() {
			t.Errorf("got %q after the shutdown", lines.Text())
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		client.CloseIdleConnections()
	})
}

func expectSubject(t *testing.T, lines *bufio.Scanner, subject string) {
	t.Helper()
	if !lines.Scan() {
		t.Fatalf("the stream ended: %v", lines.Err())
	}
	if line := lines.Text(); subject == "" && line != "" || !strings.Contains(line, subject) {
		t.Fatalf("got %q, want the subject %q", line, subject)
	}
}

// pipeListener accepts in-memory connections, which testing/synctest requires for
// virtual time.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func newPipeListener() (*http.Client, *pipeListener) {
	l := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	dial := func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		l.connections <- server
		return client, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial}}, l
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
