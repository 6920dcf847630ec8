package news_test

import (
	"crypto/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/narrow"
	"apricotproxy/io/news"
)

// serveOn serves on a listener and returns the address.
func serveOn(t *testing.T, listener net.Listener, handler http.Handler) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

// The longest document gets through a link of 10 Mbit/s, which takes 0.84 s.
func TestPullOverNarrowLink(t *testing.T) {
	listener, err := narrow.New(10_000_000/8).Listen(net.Listen)("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	value := make([]byte, 1<<20)
	_, _ = rand.Read(value)
	address := serveOn(t, listener, news.Handler(func(news.Position) news.PullResult {
		return news.PullResult{Documents: []core.Document{{Name: "config", Revision: 3, Value: value}}, AsOf: 3}
	}))
	pulled, err := news.NewClient(http.DefaultTransport).Pull(t.Context(), address, news.Position{})
	if err != nil || len(pulled.Documents) != 1 || string(pulled.Documents[0].Value) != string(value) {
		t.Errorf("%d documents, %v; want the one that was sent", len(pulled.Documents), err)
	}
}

// A host that accepts a pull and falls silent is given up soon, so that another one can be
// asked.
func TestPullFromSilentHostEnds(t *testing.T) {
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 1000))
		_ = http.NewResponseController(w).Flush()
		<-done
	}))
	defer server.Close()
	defer close(done)
	began := time.Now()
	_, err := news.NewClient(http.DefaultTransport).Pull(t.Context(), server.Listener.Addr().String(), news.Position{})
	if took := time.Since(began); err == nil || took > 1500*time.Millisecond {
		t.Errorf("error %v after %v, want one within 1.5 s", err, took)
	}
}
