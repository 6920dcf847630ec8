package front_test

import (
	"net/http"
	"testing"

	"apricotproxy/core"
	"apricotproxy/core/versn/table"
)

// A stream went on at another engine, without a question to its own, once the routing table no longer named its service.
func TestRunIsStoppedAlthoughItsServiceIsGoneFromTheTable(t *testing.T) {
	engines := &liveEngines{}
	r := newFixture(t, engines.handle, engines.handle)
	links := linkEndpoints(t, r)
	engines.trouble = func(address string) {
		built, err := table.Build(table.Source{
			Version:    2,
			Services:   []core.RoutedService{{Name: "next", Engine: &core.EngineSpec{Slots: 8, MemoryTokens: 100_000, Backups: true, Moves: true, EventTokens: 4}}},
			Workspaces: []table.Workspace{{Name: "travis", Keys: []string{"k"}}},
			Limits:     core.CallerLimits{BodyBytes: 1 << 16, HeaderBytes: 1 << 13},
		})
		if err != nil {
			t.Error(err)
			return
		}
		view := *r.view.Load()
		view.Table = built
		r.apply(&view)
		links[address].ResetOpen()
	}
	got := r.send(http.MethodPost, "/novel/", "", "Tokens: 100,400", "Deadline-Ms: 12000")
	if got.err != nil || got.body != wantStream(_novelEvents-1) {
		t.Errorf("stream of %d bytes, %v", len(got.body), got.err)
	}
	engines.check(t)
}
