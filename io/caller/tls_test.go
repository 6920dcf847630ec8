package caller_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/tmaxmax/go-sse"

	"apricotproxy/core"
	fakeengine "apricotproxy/fakes/engine"
	"apricotproxy/fakes/place"
	"apricotproxy/io/caller"
	"apricotproxy/io/engine"
	"apricotproxy/io/runs"
)

// The connection of a stream is hijacked under TLS as well.
func TestStreamOverTLS(t *testing.T) {
	engineServer := httptest.NewServer(fakeengine.New(fakeengine.Config{Seed: 1, StartWarm: true, TokenInterval: 1}))
	defer engineServer.Close()
	config := testConfig()
	config.Endpoints = []core.Endpoint{{Name: "draft-0", Service: "draft", Address: engineServer.Listener.Addr().String()}}
	dispatcher := place.New(config)
	client := engine.New(engine.Config{Dialer: &net.Dialer{}, Limits: func() core.Limits { return config.Limits }})
	defer client.Close()
	runner := runs.New(runs.Config{Dispatcher: dispatcher, Client: client, Logger: logr.Discard()})
	server := httptest.NewTLSServer(caller.New(caller.Config{Dispatcher: dispatcher, Runner: runner, Logger: logr.Discard()}))
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", strings.NewReader(_draft))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Workspace", _workspace)
	res, err := server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	var s receivedStream
	for event, err := range sse.Read(res.Body, nil) {
		if err != nil {
			t.Fatal(err)
		}
		s.add(t, event)
	}
	_ = res.Body.Close()
	runner.Wait()
	if !s.complete || s.count != 60 || len(s.texts) != 60 {
		t.Errorf("complete=%t count=%d tokens=%d; want 60 tokens", s.complete, s.count, len(s.texts))
	}
}
