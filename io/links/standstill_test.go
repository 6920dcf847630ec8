package links_test

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/links"
)

// A long answer that had arrived while this process stood still counted as silent after its first
// buffer was read.
func TestLongAnswerThatIsThereIsNoSilence(t *testing.T) {
	body := strings.Repeat("x", 32<<10)
	e := start(t, func(c *routed.Call) bool {
		c.Write("HTTP/1.1 200 OK\r\nId: " + c.Header.Get("Id") + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
		c.Write(body)
		return true
	})
	r, errAsked := request("1"), errors.New("asked")
	r.Silence = &links.Silence{Ask: func() error { return errAsked }}
	answer, err := newPool(t).Do(t.Context(), core.RoutedEndpoint{ID: "e", Address: e.Address}, r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	time.Sleep(_pause) // the body arrives meanwhile
	r.Silence.AskAt = time.Now().Add(-time.Millisecond)
	if got, err := io.ReadAll(answer); string(got) != body || err != nil {
		t.Errorf("%d of %d bytes, %v; want the whole body", len(got), len(body), err)
	}
}
