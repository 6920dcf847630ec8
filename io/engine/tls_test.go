package engine_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"apricotproxy/core"
	"apricotproxy/io/engine"
)

// Without a confirmation the TLS handshake is allowed, but no byte of the request.
func TestConfirmationOverTLS(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		_, _ = io.Copy(w, r.Body)
	}))
	defer server.Close()
	rootCAs := server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	client := engine.New(engine.Config{Dialer: &net.Dialer{}, Limits: limits, TLS: &tls.Config{RootCAs: rootCAs, MinVersion: tls.VersionTLS12}})
	defer client.Close()
	endpoint := core.Endpoint{Name: "book-1", Address: server.Listener.Addr().String()}
	call := func(confirmed bool) ([]byte, error) {
		return client.Call(t.Context(), endpoint, core.CallRequest{Call: "engrave", Body: []byte(`{"a":1}`), Confirm: func() bool { return confirmed }})
	}
	if answer, err := call(true); err != nil || string(answer) != `{"a":1}` {
		t.Errorf("Call = %q, %v; want the body back", answer, err)
	}
	_, err := call(false)
	if got := resultOf(t, err); got != core.ResultDialFailed {
		t.Errorf("result %d; want ResultDialFailed", got)
	}
	if got := requests.Load(); got != 1 {
		t.Errorf("%d requests arrived; want 1", got)
	}
}

// An endpoint with an untrusted certificate receives no byte of the request.
func TestUntrustedEndpointReceivesNothing(t *testing.T) {
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Config.ErrorLog = nil
	server.StartTLS()
	defer server.Close()
	client := engine.New(engine.Config{Dialer: &net.Dialer{}, Limits: limits, TLS: &tls.Config{MinVersion: tls.VersionTLS12}})
	defer client.Close()
	endpoint := core.Endpoint{Name: "book-1", Address: server.Listener.Addr().String()}
	_, err := client.Call(t.Context(), endpoint, core.CallRequest{Call: "engrave"})
	if got := resultOf(t, err); got != core.ResultDialFailed {
		t.Errorf("result %d; want ResultDialFailed: %v", got, err)
	}
}
