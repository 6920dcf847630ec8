package platf_test

import (
	"net"
	"testing"

	"apricotproxy/fakes/routed"
	"apricotproxy/io/platf"
)

// The service's answer with a blank in the name of a field was taken for one: with Version : 5, for a value
// of version 0.
func TestFieldNameThatIsNoneIsABrokenAnswer(t *testing.T) {
	fields := routed.BrokenFields()
	fields["a version with a blank"] = "Version : 5"
	for name, line := range fields {
		service, err := routed.Start(func(c *routed.Call) bool {
			c.Write("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 5\r\n\r\nvalue")
			return false
		})
		if err != nil {
			t.Fatal(err)
		}
		client := platf.New(platf.Settings{Address: service.Address, Dialer: &net.Dialer{}})
		if value, version, err := client.Read(t.Context(), _key); err == nil {
			t.Errorf("%s: %q of version %d", name, value, version)
		}
		client.Close()
		service.Close()
	}
}
