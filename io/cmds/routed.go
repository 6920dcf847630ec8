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
	// _routedBreak is the event after which the demo's first engine is lost.
	_routedBreak = 2
	_routedPoll  = 10 * time.Millisecond
)

// _routedNames spells the headers of the demo's routed requests.
var _routedNames = core.HeaderNames{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", ExpectedEndpoint: "Expect-Endpoint", NotRun: "Not-Run", Seal: "Seal",
	LastEventID: "Last-Event-Id",
}

// showRouted serves a routed stream whose engine is lost in the middle: it goes on
// at the other one.
func (d *demo) showRouted(ctx context.Context) (err error) {
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
	all := hosts.New(1, documents, entry.Settings{
		EntrySettings: core.EntrySettings{
			DataCentre: "austin-a",
			Bounds:     core.EntryBounds{LeavingSpread: 2 * time.Second, RetryWindow: 10 * time.Second, RetryExtra: 100},
		},
		Names: _routedNames, Paths: core.CallPaths{Ready: "/ready"}, Decode: decodeRouted,
	})
	h, err := all.Start(0)
	if err != nil {
		return fmt.Errorf("make a host for routed requests: %w", err)
	}
	defer func() {
		all.Stop(0)
		err = errors.Join(err, <-all.Ended(0))
	}()
	for !h.Ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the host to learn its routes: %w", ctx.Err())
		case <-time.After(_routedPoll):
		}
	}
	return d.askRouted(ctx, all.Settings[0].CallerAddress)
}

func (d *demo) askRouted(ctx context.Context, address string) error {
	d.printf("\nA routed stream whose engine is lost after event %d:\n", _routedBreak)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/check/names", strings.NewReader("Wojciechowski"))
	if err != nil {
		return fmt.Errorf("make the request: %w", err)
	}
	req.Host = _routedHostName
	req.Header.Set(_routedNames.RequestID, "demo-1")
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

// demoEngine streams events, and is lost in the middle unless it goes on with a
// stream that was lost elsewhere.
func demoEngine(c *routed.Call) bool {
	first := 0
	if c.Header.Get(_routedNames.LastEventID) != "" {
		first = _routedBreak + 1
	}
	c.Begin(_routedNames.RequestID+": "+c.Header.Get(_routedNames.RequestID), _routedNames.Seal+": demo")
	for id := first; id < _routedEvents; id++ {
		c.Chunk(routed.Event(id))
		if first == 0 && id == _routedBreak {
			return false
		}
	}
	c.End()
	return true
}

// decodeRouted reads the demo's documents: "routes", and an address for each engine.
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
