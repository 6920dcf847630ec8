package links_test

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/links"
)

// _pause is how long the endpoint slow is silent before the head and before the body.
const _pause = 150 * time.Millisecond

func slow(c *routed.Call) bool {
	time.Sleep(_pause)
	c.Write("HTTP/1.1 200 OK\r\nId: " + c.Header.Get("Id") + "\r\nContent-Length: 4\r\n\r\n")
	time.Sleep(_pause)
	c.Write("done")
	return true
}

// An answer that goes on after it was asked about is read to its end, and its connection is used
// again without the earlier deadline.
func TestSilentEndpointIsWaitedFor(t *testing.T) {
	e := start(t, slow)
	p := newPool(t)
	asked := 0
	silence := &links.Silence{AskAt: time.Now().Add(_pause / 3)}
	silence.Ask = func() error {
		asked++
		silence.AskAt = time.Now().Add(_pause / 3)
		return nil
	}
	watched := request("1")
	watched.Silence = silence
	for _, r := range []*links.Request{watched, request("2")} {
		answer, err := p.Do(t.Context(), core.RoutedEndpoint{ID: "e", Address: e.Address}, r)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer)
		answer.Close()
		if string(body) != "done" || err != nil {
			t.Errorf("request %s: %q, %v", r.Header.Get("Id"), body, err)
		}
	}
	if asked < 2 || asked > 6 {
		t.Errorf("asked %d times in two pauses of %v, want 2 to 6 times", asked, _pause)
	}
	if n := e.Connections(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// What Ask returns ends the exchange, before the head of the answer and in its body.
func TestSilentEndpointIsLeft(t *testing.T) {
	errLeft := errors.New("left")
	for name, hasHead := range map[string]bool{"before the answer": false, "in the body": true} {
		t.Run(name, func(t *testing.T) {
			e := start(t, func(c *routed.Call) bool {
				if hasHead {
					c.Write("HTTP/1.1 200 OK\r\nId: " + c.Header.Get("Id") + "\r\nContent-Length: 4\r\n\r\n")
				}
				c.WaitClosed(time.Minute)
				return false
			})
			r := request("1")
			r.Silence = &links.Silence{Ask: func() error { return errLeft }}
			if !hasHead {
				r.Silence.AskAt = time.Now().Add(_pause)
			}
			answer, err := newPool(t).Do(t.Context(), core.RoutedEndpoint{ID: "e", Address: e.Address}, r)
			if hasHead && err == nil {
				r.Silence.AskAt = time.Now().Add(_pause)
				_, err = io.ReadAll(answer)
				answer.Close()
			}
			if !errors.Is(err, errLeft) {
				t.Errorf("error %v, want %v", err, errLeft)
			}
		})
	}
}

// Bytes that are there when it is time to ask are read first, since this process may have stood
// still.
func TestBytesThatAreThereAreNoSilence(t *testing.T) {
	e := start(t, slow)
	r, errAsked := request("1"), errors.New("asked")
	r.Silence = &links.Silence{Ask: func() error { return errAsked }}
	answer, err := newPool(t).Do(t.Context(), core.RoutedEndpoint{ID: "e", Address: e.Address}, r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	time.Sleep(2 * _pause) // the body arrives meanwhile
	r.Silence.AskAt = time.Now().Add(-time.Millisecond)
	if body, err := io.ReadAll(answer); string(body) != "done" || err != nil {
		t.Errorf("%q, %v; want the body", body, err)
	}
}

// Connect opens a connection for the next request, which is the first on it, and fails where none
// can be opened.
func TestConnect(t *testing.T) {
	e := start(t, func(c *routed.Call) bool { c.Answer(http.StatusOK, "done", "Id: 1"); return true })
	p, endpoint := newPool(t), core.RoutedEndpoint{ID: "e", Address: e.Address}
	if err := p.Connect(t.Context(), endpoint); err != nil {
		t.Fatal(err)
	}
	r, wasFirst := request("1"), false
	r.RequireFresh = true
	r.Identify = func(_ *http.Response, isFirst bool) links.Ownership {
		wasFirst = isFirst
		return links.Own
	}
	answer, err := p.Do(t.Context(), endpoint, r)
	if err != nil {
		t.Fatal(err)
	}
	answer.Close()
	if n := e.Connections(); n != 1 || !wasFirst {
		t.Errorf("%d connections, first answer: %v; want 1, true", n, wasFirst)
	}
	e.Close()
	if err := p.Connect(t.Context(), endpoint); err == nil {
		t.Error("connected to an endpoint that has ended")
	}
}
