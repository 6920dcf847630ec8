package news_test

import (
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync"
	"sync/atomic"
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

// serveLongDocument serves a document of a megabyte over a link of 10 Mbit/s, and returns the
// address and the document.
func serveLongDocument(t *testing.T) (string, core.Document) {
	t.Helper()
	listener, err := narrow.New(10_000_000/8).Listen(net.Listen)("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	document := core.Document{Name: "config", Revision: 3, Value: make([]byte, 1<<20)}
	_, _ = rand.Read(document.Value)
	return serveOn(t, listener, news.Handler(func(news.Position) news.PullResult {
		return news.PullResult{Documents: []core.Document{document}, AsOf: 3}
	})), document
}

// The longest document gets through a link of 10 Mbit/s, which takes 0.84 s.
func TestPullOverNarrowLink(t *testing.T) {
	address, document := serveLongDocument(t)
	pulled, err := news.NewClient(http.DefaultTransport).Pull(t.Context(), address, news.Position{})
	if err != nil || !reflect.DeepEqual(pulled.Documents, []core.Document{document}) {
		t.Errorf("%d documents, %v; want the one that was sent", len(pulled.Documents), err)
	}
}

// When many hosts pull a long document at once, some get it soon, so that the others can
// get it from them.
func TestManyPullsOverNarrowLink(t *testing.T) {
	const pulls = 12
	address, _ := serveLongDocument(t)
	var group sync.WaitGroup
	var done atomic.Int64
	for range pulls {
		group.Go(func() {
			began := time.Now()
			_, err := news.NewClient(http.DefaultTransport).Pull(t.Context(), address, news.Position{})
			switch took := time.Since(began); {
			case err == nil:
				done.Add(1)
			case !errors.Is(err, news.ErrBusy):
				t.Errorf("a pull failed: %v", err)
			case took > time.Second:
				t.Errorf("a pull was refused after %v", took)
			}
		})
	}
	group.Wait()
	if done.Load() == 0 {
		t.Error("no pull got the document")
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
