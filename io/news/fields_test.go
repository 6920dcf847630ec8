package news_test

import (
	"fmt"
	"testing"

	"apricotproxy/fakes/routed"
)

// Another host's answer with a blank in the name of a field was taken for one.
func TestFieldNameThatIsNoneIsABrokenAnswer(t *testing.T) {
	body := pulledBody()
	if _, err := rawPull(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)); err != nil {
		t.Fatal(err)
	}
	for name, line := range routed.BrokenFields() {
		if got, err := rawPull(t, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body)); err == nil {
			t.Errorf("%s: %+v", name, got)
		}
	}
}
