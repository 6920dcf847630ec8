package caller_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Each script is one request: method and path in the first line, then headers, then
// an empty line and the body. A body "repeat N" stands for N times the letter x.
func TestBadInput(t *testing.T) {
	datadriven.RunTest(t, "testdata/input", func(t *testing.T, d *datadriven.TestData) string {
		var out string
		inRig(t, testConfig(), func(r *rig) {
			out = r.send(d.Input)
			if runs := r.engineRuns(); len(runs) != 0 {
				t.Errorf("%d generations ran; want 0", len(runs))
			}
			r.wantRuns(0)
		})
		return out
	})
}

func (r *rig) send(script string) string {
	head, body, _ := strings.Cut(script, "\n\n")
	lines := strings.Split(head, "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	var count int
	if n, _ := fmt.Sscanf(body, "repeat %d", &count); n == 1 {
		body = strings.Repeat("x", count)
	}
	request := r.request(method, "http://entry-0:80"+path, strings.TrimSpace(body))
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
	}
	res, err := r.client("caller").Do(request)
	if err != nil {
		r.t.Fatal(err)
	}
	answer, _ := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return fmt.Sprintf("%d Retry-After=%q\n%s\n", res.StatusCode, res.Header.Get("Retry-After"), answer)
}

// The connection of a caller that sends its headers or its body too slowly is closed.
func TestSlowCallers(t *testing.T) {
	for name, text := range map[string]string{
		"headers": "POST /v1/completions HTTP/1.1\r\nHost: e\r\n",
		"body":    "POST /v1/completions HTTP/1.1\r\nHost: e\r\nWorkspace: cards\r\nContent-Length: 50\r\n\r\n{",
	} {
		t.Run(name, func(t *testing.T) {
			inRig(t, testConfig(), func(r *rig) {
				conn, err := r.network.Dialer("caller").DialContext(r.t.Context(), "tcp", "entry-0:80")
				if err != nil {
					t.Fatal(err)
				}
				begin := time.Now()
				_, _ = io.WriteString(conn, text)
				_, _ = io.Copy(io.Discard, conn)
				if took, most := time.Since(begin), 12*time.Second; took > most {
					t.Errorf("the connection was open for %v; want at most %v", took, most)
				}
				_ = conn.Close()
			})
		})
	}
}

// The write deadline detects a caller that stops reading, and its generation is
// cancelled after the abandon grace.
func TestSilentCallerIsDetected(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		body := `{"service":"draft","prompt":"[[tokens=8000]]","stream":true}`
		conn, err := r.network.Dialer("caller").DialContext(r.t.Context(), "tcp", "entry-0:80")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: e\r\nWorkspace: cards\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		r.hosts["entry-0"].runner.Wait()
		time.Sleep(5 * time.Minute)
		r.hosts["entry-0"].runner.Wait()
		if ran := r.engineRuns(); len(ran) != 1 || !ran[0].Cancelled {
			t.Errorf("runs %+v; want one, cancelled", ran)
		}
		_ = conn.Close()
	})
}

func TestDrainingHostRefusesNewWork(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		r.draining = true
		status, answer := r.post("http://entry-0:80/v1/completions", _draft)
		if status != http.StatusServiceUnavailable || !strings.Contains(answer, `"Cause":"Draining"`) {
			t.Errorf("status %d: %s; want 503 Draining", status, answer)
		}
	})
}
