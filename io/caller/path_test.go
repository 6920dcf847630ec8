package caller_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

const _draft = `{"service":"draft","prompt":"Write the card set. [[tokens=60]]","stream":true}`

func TestStreamedCompletionIsComplete(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		var s receivedStream
		request := r.request(http.MethodPost, "http://entry-0:80/v1/completions", _draft)
		if err := r.stream(r.client("caller"), request, &s); err != nil {
			t.Fatal(err)
		}
		r.wantComplete(&s)
	})
}

func TestWholeCompletion(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		status, answer := r.post("http://entry-0:80/v1/completions", `{"model":"m","prompt":"p","max_tokens":5}`)
		if status != http.StatusOK || !strings.Contains(answer, `"completion_tokens":`) {
			t.Fatalf("status %d: %s", status, answer)
		}
	})
}

func TestRepeatableCall(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		status, answer := r.post("http://entry-0:80/v1/calls/book/lookup", `{"Name":"Ann"}`)
		if status != http.StatusOK {
			t.Fatalf("status %d: %s", status, answer)
		}
	})
}

func TestOrderRunsOnceAndRepeatsGetItsAnswer(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		ticket := r.tickets("entry-0", 2)[0]
		var first string
		for i, host := range []string{"entry-0", "entry-0", "entry-1", "entry-2"} {
			status, answer := r.post("http://"+host+":80/v1/orders", orderBody(ticket, "Ann"))
			if status != http.StatusOK {
				t.Fatalf("order %d at %s: status %d: %s", i, host, status, answer)
			}
			if i == 0 {
				first = answer
			}
			if answer != first {
				t.Errorf("order %d at %s: answer %s; want %s", i, host, answer, first)
			}
		}
		if ran := r.orderRuns(); ran != 1 {
			t.Errorf("the order ran %d times; want 1", ran)
		}
	})
}

// An HTTP/1.0 connection is not hijacked; its stream is sent without chunks.
func TestStreamForHTTP10(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		conn, err := r.network.Dialer("caller").DialContext(r.t.Context(), "tcp", "entry-0:80")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.0\r\nWorkspace: cards\r\nContent-Length: %d\r\n\r\n%s", len(_draft), _draft)
		answer, err := io.ReadAll(conn)
		if err != nil {
			t.Fatal(err)
		}
		text := string(answer)
		if strings.Contains(text, "chunked") || strings.Count(text, "\nid: ") != 61 || !strings.HasSuffix(text, "data: [DONE]\n\n") {
			t.Errorf("answer %q; want 61 events without chunks", text)
		}
		_ = conn.Close()
	})
}
