package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/origin"
)

const (
	// _longestStream is how long ago a stream can have begun that is taken up.
	_longestStream = 10 * time.Second
	// _stillInUse is how long another host may use a build that has left.
	_stillInUse = 2 * time.Second
	_builds     = 3
)

// event is something that happens in a fleet whose hosts all have the same documents.
type event struct {
	// After is the time since the event before it, in tenths of a second.
	After int
	// Kind is what happens, Build and Host are to which of them, where one is meant.
	Kind, Build, Host int
}

// Kinds of events.
const (
	_buildArrives = iota
	_buildLeaves
	_hostStarts
	_documentsAge
	_documentsFresh
	_hostsMeet
	_timePasses
	_kinds
)

// begun is a stream that was begun at a build.
type begun struct {
	at time.Time
	origin.Origin
}

// model is the fleet: the builds in service, what two hosts know of them, and all streams.
type model struct {
	now       time.Time
	inService []origin.Origin
	// left holds when builds left.
	left    map[origin.Origin]time.Time
	hosts   [2]*origin.Ledger
	fresh   [2]bool
	streams []begun
}

func newModel() *model {
	m := &model{now: _start, inService: []origin.Origin{originOf("desk", "v0")}, left: make(map[origin.Origin]time.Time)}
	for i := range m.hosts {
		m.startHost(i)
	}
	return m
}

func (m *model) startHost(i int) {
	m.hosts[i] = origin.New()
	m.setFresh(i, true)
}

// setFresh sets whether a host's documents are up to date. It gets what changed meanwhile first.
func (m *model) setFresh(i int, fresh bool) {
	m.fresh[i] = fresh
	if fresh {
		m.hosts[i].Observe(m.now, m.view())
	}
	m.hosts[i].SetCurrent(m.now, fresh)
}

func (m *model) view() *know.View {
	view := &know.View{}
	for _, o := range m.inService {
		view.Endpoints = append(view.Endpoints, endpoint(o))
	}
	return view
}

func (m *model) play(e event) {
	m.now = m.now.Add(time.Duration(e.After) * 100 * time.Millisecond)
	build := originOf("desk", fmt.Sprint("v", e.Build))
	switch e.Kind {
	case _buildArrives:
		if !slices.Contains(m.inService, build) {
			m.setBuilds(append(m.inService, build))
		}
	case _buildLeaves:
		if i := slices.Index(m.inService, build); i >= 0 {
			m.setBuilds(slices.Delete(m.inService, i, i+1))
			m.left[build] = m.now
		}
	case _hostStarts:
		m.startHost(e.Host)
	case _documentsAge:
		m.setFresh(e.Host, false)
	case _documentsFresh:
		m.setFresh(e.Host, true)
	case _hostsMeet:
		m.hosts[e.Host].Merge(m.hosts[1-e.Host].Span(m.now))
	case _timePasses:
		m.hosts[e.Host].Expire(m.now)
	}
	m.beginStreams()
}

// beginStreams begins the last stream so far at each build.
func (m *model) beginStreams() {
	for _, o := range m.inService {
		m.streams = append(m.streams, begun{m.now, o})
	}
	for o, leftAt := range m.left {
		last := leftAt.Add(_stillInUse)
		if m.now.Before(last) {
			last = m.now
		}
		m.streams = append(m.streams, begun{last, o})
	}
}

// setBuilds changes the builds in service. A host whose documents are out of date does not see it.
func (m *model) setBuilds(builds []origin.Origin) {
	m.inService = builds
	for i, host := range m.hosts {
		if m.fresh[i] {
			host.Observe(m.now, m.view())
		}
	}
}

// wrong returns a stream for which a host names a build that is not its own; empty if there is
// none.
func (m *model) wrong() string {
	stream := origin.Stream{Request: "r", Services: []core.ServiceName{"desk"}, BegunAfter: m.now.Add(-_longestStream)}
	for i, host := range m.hosts {
		found, source := host.Resolve(m.now, stream)
		for _, b := range m.streams {
			if source != origin.Unknown && !b.at.Before(stream.BegunAfter) && found != b.Origin {
				return fmt.Sprintf("at %v host %d names %s for a stream that %s began at %v", m.now.Sub(_start), i, found.Build, b.Build, b.at.Sub(_start))
			}
		}
	}
	return ""
}

func genEvents() gopter.Gen {
	return gen.SliceOf(gopter.CombineGens(
		gen.IntRange(0, 60), gen.IntRange(0, _kinds-1), gen.IntRange(0, _builds-1), gen.IntRange(0, 1),
	).Map(func(v []any) event {
		return event{After: v[0].(int), Kind: v[1].(int), Build: v[2].(int), Host: v[3].(int)}
	}))
}

// A stream goes on at no build but its own, whatever builds come and go and whichever hosts are
// started again or have documents that are out of date.
func TestSingleBuildIsTheStreams(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	named := 0
	properties.Property("a single build is that of all streams that can have begun", prop.ForAll(
		func(events []event) string {
			m := newModel()
			for _, e := range events {
				m.play(e)
				if wrong := m.wrong(); wrong != "" {
					return wrong
				}
				for _, host := range m.hosts {
					if _, source := host.Resolve(m.now, origin.Stream{Services: []core.ServiceName{"desk"}, BegunAfter: m.now.Add(-_longestStream)}); source == origin.SingleBuild {
						named++
					}
				}
			}
			return ""
		},
		genEvents(),
	))
	properties.TestingRun(t)
	if named == 0 {
		t.Error("no host named a build, so nothing was checked")
	}
	t.Logf("a build was named %d times", named)
}
