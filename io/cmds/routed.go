package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/versn/table"
	"apricotproxy/fakes/hosts"
	"apricotproxy/fakes/routed"
	"apricotproxy/fakes/store"
	"apricotproxy/io/entry"
)

const (
	_routedHostName = "cards.example"
	_routedEvents   = 6
	// _routedLossAfter is the event after which the demo's first engine fails.
	_routedLossAfter    = 2
	_routedPollInterval = 10 * time.Millisecond
)

// _routedHeaders holds the header names of the demo's routed requests.
var _routedHeaders = core.HeaderNames{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", ExpectedEndpoint: "Expect-Endpoint", NotRun: "Not-Run", Seal: "Seal",
	LastEventID: "Last-Event-Id",
}

// routedStream requests a routed stream whose engine fails in the middle, so that the
// other engine continues it.
func (d *demo) routedStream(ctx context.Context) (err error) {
	documents := store.New()
	for _, name := range []string{"engine-1", "engine-2"} {
		engine, err := routed.Start(demoEngine)
		if err != nil {
			return fmt.Errorf("start %s: %w", name, err)
		}
		defer engine.Close()
		documents.Put(name, engine.Address)
	}
	documents.Put("routes", "1")
	group := hosts.New(1, documents, entry.Settings{
		EntrySettings: core.EntrySettings{
			DataCentre: "austin-a",
			Bounds:     core.EntryBounds{LeavingSpread: 2 * time.Second, RetryWindow: 10 * time.Second, RetryExtra: 100},
		},
		Names: _routedHeaders, Paths: core.CallPaths{Ready: "/ready"}, Decode: decodeRouted,
	})
	h, err := group.Start(0)
	if err != nil {
		return fmt.Errorf("make a host for routed requests: %w", err)
	}
	defer func() {
		group.Stop(0)
		err = errors.Join(err, <-group.Ended(0))
	}()
	for !h.Ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the host to receive its routes: %w", ctx.Err())
		case <-time.After(_routedPollInterval):
		}
	}
	return d.sendRouted(ctx, group.Settings[0].CallerAddress)
}

func (d *demo) sendRouted(ctx context.Context, address string) error {
	d.printf("\nA routed stream whose engine is lost after event %d:\n", _routedLossAfter)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/check/names", strings.NewReader("Wojciechowski"))
	if err != nil {
		return fmt.Errorf("make the request: %w", err)
	}
	req.Host = _routedHostName
	req.Header.Set(_routedHeaders.RequestID, "demo-1")
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("send the routed request: %w", err)
	}
	body, err := io.ReadAll(res.Body)
	if err = errors.Join(err, res.Body.Close()); err != nil {
		return fmt.Errorf("read the routed stream: %w", err)
	}
	want := ""
	for id := range _routedEvents {
		want += routed.Event(id)
	}
	if string(body) != want {
		return fmt.Errorf("the routed stream is %q, expected %q", body, want)
	}
	d.printf("  status %d, %d events, each once and in order\n", res.StatusCode, _routedEvents)
	return nil
}

// demoEngine streams events. It fails in the middle unless it continues a stream that
// the other engine has begun.
func demoEngine(c *routed.Call) bool {
	first := 0
	if c.Header.Get(_routedHeaders.LastEventID) != "" {
		first = _routedLossAfter + 1
	}
	c.BeginStream(_routedHeaders.RequestID+": "+c.Header.Get(_routedHeaders.RequestID), _routedHeaders.Seal+": demo")
	for id := first; id < _routedEvents; id++ {
		c.Chunk(routed.Event(id))
		if first == 0 && id == _routedLossAfter {
			return false
		}
	}
	c.EndStream()
	return true
}

// decodeRouted decodes the demo's documents: "routes", and for each engine its address.
func decodeRouted(document core.Document) (know.Content, error) {
	if document.Name != "routes" {
		return know.Content{Endpoint: &core.RoutedEndpoint{
			ID: document.Name, Service: "checks", Address: string(document.Value), DataCentre: "austin-a", Slots: 4,
		}}, nil
	}
	built, err := table.Build(table.Source{
		Version:  1,
		Services: []core.RoutedService{{Name: "checks"}},
		Routes: []core.Route{{
			Name: "checks", HostName: _routedHostName, Prefix: "/check/", Kind: core.RouteStreaming, Resumable: true,
			Services: []core.WeightedService{{Service: "checks", Weight: 1}}, MaxAttempts: 2, Goal: time.Second, GapGoal: time.Second,
		}},
	})
	return know.Content{Table: built}, err
}
