package place_test

import (
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/place"
)

// Each case tells the placer one thing of the endpoint of a run, and half a second later when it learned
// that the endpoint leaves.
func TestLeavingForCountsFromWhenTheHostLearned(t *testing.T) {
	key := core.EndpointKey{ID: "e1"}
	document := func(change func(*know.Endpoint)) *know.View {
		e := know.Endpoint{RoutedEndpoint: core.RoutedEndpoint{ID: "e1", Service: "s", Slots: 4}}
		change(&e)
		return &know.View{Endpoints: []know.Endpoint{e}}
	}
	for name, c := range map[string]struct {
		tell func(*place.Placer)
		want time.Duration
	}{
		"nothing":           {func(*place.Placer) {}, 0},
		"says so itself":    {func(p *place.Placer) { p.NoteLeaving(key) }, 500 * time.Millisecond},
		"another host says": {func(p *place.Placer) { p.MarkLeaving(key) }, 500 * time.Millisecond},
		"document says":     {func(p *place.Placer) { p.Apply(document(func(e *know.Endpoint) { e.Draining = true })) }, 500 * time.Millisecond},
		"document is gone":  {func(p *place.Placer) { p.Apply(&know.View{}) }, 500 * time.Millisecond},
		"starts again":      {func(p *place.Placer) { p.Apply(document(func(e *know.Endpoint) { e.Born = time.Unix(9, 0) })) }, 500 * time.Millisecond},
	} {
		now := time.Unix(1000, 0)
		p := place.New("h", "", core.EntryBounds{}, nil)
		p.Apply(document(func(*know.Endpoint) {}))
		p.RecordDepartures(now)
		run := &place.Run{Endpoint: know.Endpoint{RoutedEndpoint: core.RoutedEndpoint{ID: "e1"}}}
		now = now.Add(time.Second)
		c.tell(p)
		p.RecordDepartures(now)
		p.RecordDepartures(now.Add(300 * time.Millisecond))
		if got := p.LeavingFor(now.Add(500*time.Millisecond), run); got != c.want {
			t.Errorf("%s: leaving for %v, want %v", name, got, c.want)
		}
	}
}
