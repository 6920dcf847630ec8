package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/await"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/versn/table"
)

var _start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func after(d time.Duration) time.Time { return _start.Add(d) }

const _engineMemory = 30_000

var _bounds = core.EntryBounds{
	RetryShare: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 58, ColdFactor: 1.5, ColdExtra: 5,
}

// site is a placer with engines and plain endpoints, half of them in each of two data
// centres.
type site struct {
	*place.Placer
	view *know.View
}

func newSite(t testing.TB, engines, plain int) *site {
	t.Helper()
	built, err := table.Build(table.Source{Version: 1, Services: []core.RoutedService{
		{Name: "drafting", ColdPerSecond: 26, Engine: &core.EngineSpec{Slots: 24, MemoryTokens: _engineMemory, Backups: true, Moves: true}},
		{Name: "desk"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	s := &site{Placer: place.New("host-a", "a", _bounds, rand.New(rand.NewPCG(1, 1))), view: &know.View{Table: built, OutOfService: map[core.DataCentreName]bool{}}}
	centres := []core.DataCentreName{"a", "b"}
	for i := range engines {
		s.view.Endpoints = append(s.view.Endpoints, know.Endpoint{RoutedEndpoint: core.RoutedEndpoint{
			ID: fmt.Sprintf("engine-%d", i), Service: "drafting", Slots: 24, DataCentre: centres[i%2],
		}})
	}
	for i := range plain {
		s.view.Endpoints = append(s.view.Endpoints, know.Endpoint{RoutedEndpoint: core.RoutedEndpoint{
			ID: fmt.Sprintf("desk-%d", i), Service: "desk", Slots: 6, DataCentre: centres[i%2],
		}})
	}
	s.Apply(s.view)
	s.ExpirePeerLoads(_start.Add(-time.Minute))
	return s
}

// newLine returns the line of requests that wait for a site's placer.
func newLine(s *site) *await.Line { return await.New(s.Placer, newRandom(1), await.Switches{}) }

func (s *site) change(id string, f func(*know.Endpoint)) {
	for i := range s.view.Endpoints {
		if s.view.Endpoints[i].ID == id {
			f(&s.view.Endpoints[i])
		}
	}
	s.Apply(s.view)
}

var _draftRoute = &core.Route{Prefix: "/draft/", Kind: core.RouteStreaming}

func draft() *place.Spec {
	return &place.Spec{Request: core.RoutedRequest{
		Service: "drafting", Route: _draftRoute, Prompt: core.Prompt{Tokens: 3000, MaxOutput: 2200, Expected: 700},
	}}
}

func order() *place.Spec {
	return &place.Spec{Request: core.RoutedRequest{Service: "desk", Route: &core.Route{Prefix: "/order/"}}}
}

// No engine gets a second prompt while another has none.
func TestPromptsSpread(t *testing.T) {
	s := newSite(t, 6, 0)
	seen := make(map[string]int)
	for range 6 {
		run, verdict := s.Place(_start, draft())
		if verdict != place.Placed {
			t.Fatalf("verdict %v, want placed", verdict)
		}
		seen[run.Endpoint.ID]++
	}
	if len(seen) != 6 {
		t.Errorf("six prompts went to %v, want one to each engine", seen)
	}
}

// Loads that other hosts report count like the host's own.
func TestOtherHostsLoadsCount(t *testing.T) {
	s := newSite(t, 2, 0)
	busy := map[string]place.Load{"engine-0": {Runs: 3, Tokens: 11_000, Prefill: 6000}}
	s.SetPeerLoads(_start, place.Source{Host: "other"}, busy)
	for range 3 {
		run, _ := s.Place(_start, draft())
		if run.Endpoint.ID != "engine-1" {
			t.Errorf("placed on %s, which is busy by another host's report", run.Endpoint.ID)
		}
		s.End(run)
	}
	// Loads of a host that stays silent expire.
	s.ExpirePeerLoads(after(3 * time.Second))
	ids := make(map[string]bool)
	for range 20 {
		run, _ := s.Place(after(3*time.Second), draft())
		ids[run.Endpoint.ID] = true
		s.End(run)
	}
	if !ids["engine-0"] {
		t.Error("an engine is avoided because of the expired loads of a silent host")
	}
}

// Load changes that follow a host's full report count at once. A lost change is
// corrected by the next heartbeat, which carries all loads.
func TestLoadChanges(t *testing.T) {
	reporter, s := newSite(t, 2, 0), newSite(t, 2, 0)
	other := place.Source{Host: "other"}
	engine0Runs := func() int {
		run, verdict := s.Place(_start, &place.Spec{Request: draft().Request, Exclude: []string{"engine-1"}})
		if verdict != place.Placed {
			t.Fatalf("verdict %v", verdict)
		}
		s.End(run)
		return run.PriorLoad.Runs
	}
	s.SetPeerLoads(_start, other, map[string]place.Load{"engine-1": {Runs: 1}})
	run, _ := reporter.Place(_start, &place.Spec{Request: draft().Request, Exclude: []string{"engine-1"}})
	s.UpdatePeerLoads(_start, other, reporter.ChangedLoads())
	if n := engine0Runs(); n != 1 {
		t.Errorf("%d runs after a run was reported, want 1", n)
	}
	if again := reporter.ChangedLoads(); len(again) > 0 {
		t.Errorf("reported twice: %v", again)
	}
	reporter.RecordPrefillDone(_start, run)
	reporter.End(run)
	s.UpdatePeerLoads(_start, other, reporter.ChangedLoads())
	if n := engine0Runs(); n != 0 {
		t.Errorf("%d runs after its end was reported, want 0", n)
	}
	s.UpdatePeerLoads(_start, other, map[string]place.Load{"engine-0": {Runs: 5}})
	s.SetPeerLoads(_start, other, map[string]place.Load{})
	if n := engine0Runs(); n != 0 {
		t.Errorf("%d runs after a heartbeat that reports none, want 0", n)
	}
}

// An engine gets no more runs than fit in its memory. Requests that do not fit wait and
// are granted by priority when a run ends.
func TestMemoryBoundsAndWaiting(t *testing.T) {
	s := newSite(t, 1, 0)
	var runs []*place.Run
	for {
		run, verdict := s.Place(_start, draft())
		if verdict != place.Placed {
			break
		}
		s.RecordPrefillDone(_start, run)
		runs = append(runs, run)
	}
	if n := len(runs); n < 5 || n*3000 > _engineMemory {
		t.Fatalf("%d prompts of 3000 tokens in a memory of %d", n, _engineMemory)
	}
	line := newLine(s)
	var granted []int
	for priority := 2; priority >= 0; priority-- {
		spec := draft()
		spec.Request.Priority = priority
		line.Enqueue(&await.Waiter{Spec: spec, Granted: func(*place.Run) { granted = append(granted, priority) }})
	}
	line.GrantWaiting(_start)
	if len(granted) != 0 {
		t.Errorf("granted %v while nothing has ended", granted)
	}
	s.End(runs[0])
	line.GrantWaiting(_start)
	if len(granted) != 1 || granted[0] != 0 {
		t.Errorf("granted %v, want the most urgent one", granted)
	}
}

// Prompts wait in the host rather than behind others at an engine, from where they
// cannot go elsewhere any more; the engine always has one to read. Without the limit
// 300,000 prompt tokens waited at 55 engines, up to 15,000 at one.
func TestQueuedPrefillIsBounded(t *testing.T) {
	s := newSite(t, 1, 0)
	first, verdict := s.Place(_start, draft())
	if verdict != place.Placed {
		t.Fatalf("verdict %v for the first prompt", verdict)
	}
	if _, verdict := s.Place(_start, draft()); verdict != place.Placed {
		t.Errorf("verdict %v for a prompt behind one of 3000 tokens: the engine would idle", verdict)
	}
	if _, verdict := s.Place(_start, draft()); verdict != place.Full {
		t.Errorf("verdict %v for a prompt behind 6000 tokens, want full", verdict)
	}
	granted, line := false, newLine(s)
	line.Enqueue(&await.Waiter{Spec: draft(), Granted: func(*place.Run) { granted = true }})
	s.RecordPrefillDone(_start, first)
	line.GrantWaiting(_start)
	if !granted {
		t.Error("the waiting request was not granted when a prompt had been read")
	}
}

func TestLeavingEndpointsGetNoNewRuns(t *testing.T) {
	s := newSite(t, 2, 0)
	run, _ := s.Place(_start, &place.Spec{Request: draft().Request, Exclude: []string{"engine-1"}})
	if s.EndpointLeaving(run) {
		t.Error("a run's endpoint counts as leaving before it leaves")
	}
	s.change("engine-0", func(e *know.Endpoint) { e.Draining = true })
	if !s.EndpointLeaving(run) {
		t.Error("a run's endpoint is leaving but does not count as leaving")
	}
	for range 20 {
		run, verdict := s.Place(_start, draft())
		if verdict != place.Placed || run.Endpoint.ID == "engine-0" {
			t.Fatalf("verdict %v; want a run on an endpoint that is not leaving", verdict)
		}
		s.End(run)
	}
	if copied := s.PlaceMigration(_start, draft()); copied != nil && copied.Endpoint.ID == "engine-0" {
		t.Error("a run's memory is copied to a leaving endpoint")
	}
}

// loseDocuments has all documents of endpoints missing for a while.
func (s *site) loseDocuments() {
	endpoints := s.view.Endpoints
	s.view.Endpoints = nil
	s.Apply(s.view)
	s.view.Endpoints = endpoints
	s.Apply(s.view)
}

// What an endpoint said of itself holds for one incarnation: also when its document was
// missing for a while, and not for one that starts under the same ID.
func TestLeavingHoldsForOneIncarnation(t *testing.T) {
	s := newSite(t, 1, 0)
	born := _start.Add(-time.Minute)
	s.change("engine-0", func(e *know.Endpoint) { e.Born = born })
	if !s.NoteLeaving(core.EndpointKey{ID: "engine-0", Born: born}) || s.NoteLeaving(core.EndpointKey{ID: "engine-0", Born: born}) {
		t.Error("that the endpoint is leaving is new twice, or never")
	}
	s.loseDocuments()
	if _, verdict := s.Place(_start, draft()); verdict != place.NoEndpoint {
		t.Errorf("verdict %v after the document came back, want no endpoint", verdict)
	}
	s.change("engine-0", func(e *know.Endpoint) { e.Born = _start })
	s.MarkLeaving(core.EndpointKey{ID: "engine-0", Born: born}) // late news of the one before
	if _, verdict := s.Place(_start, draft()); verdict != place.Placed {
		t.Errorf("verdict %v for another incarnation, want a run", verdict)
	}
	if keys := s.LeavingEndpoints(); len(keys) != 0 {
		t.Errorf("%v are told to others as leaving, want none", keys)
	}
}

// What another host says of an endpoint holds while its document is known: the endpoint may
// only have refused a connection.
func TestLeavingByOthersEndsWithTheDocument(t *testing.T) {
	s := newSite(t, 1, 0)
	s.change("engine-0", func(e *know.Endpoint) { e.Born = _start })
	if !s.MarkLeaving(core.EndpointKey{ID: "engine-0", Born: _start}) {
		t.Error("that the endpoint is leaving is not new")
	}
	if _, verdict := s.Place(_start, draft()); verdict != place.NoEndpoint {
		t.Errorf("verdict %v, want no endpoint", verdict)
	}
	s.loseDocuments()
	if _, verdict := s.Place(_start, draft()); verdict != place.Placed {
		t.Errorf("verdict %v after the document came back, want a run", verdict)
	}
}

// An endpoint that asked for no requests gets none until then. OpensAt is the time at which
// the first of them accepts one, if none does before.
func TestClosedEndpointGetsNoRuns(t *testing.T) {
	s := newSite(t, 2, 0)
	soon, later := _start.Add(time.Second), _start.Add(time.Minute)
	s.CloseUntil(core.EndpointKey{ID: "engine-0"}, later)
	if run, verdict := s.Place(_start, draft()); verdict != place.Placed || run.Endpoint.ID != "engine-1" {
		t.Errorf("verdict %v, want a run on the other endpoint", verdict)
	}
	if at := s.OpensAt(_start, draft()); !at.IsZero() {
		t.Errorf("a request has to wait until %v, although an endpoint is open", at)
	}
	s.CloseUntil(core.EndpointKey{ID: "engine-1"}, soon)
	s.CloseUntil(core.EndpointKey{ID: "engine-1"}, soon.Add(-time.Millisecond))
	if _, verdict := s.Place(_start, draft()); verdict != place.NoEndpoint || !s.OpensAt(_start, draft()).Equal(soon) {
		t.Errorf("verdict %v until %v, want no endpoint until %v", verdict, s.OpensAt(_start, draft()), soon)
	}
	if _, verdict := s.Place(soon, draft()); verdict != place.Placed {
		t.Errorf("verdict %v when the time is over, want a run", verdict)
	}
}

func TestDataCentreOutOfServiceGetsNoRuns(t *testing.T) {
	s := newSite(t, 2, 2)
	s.view.OutOfService["a"] = true
	s.Apply(s.view)
	for range 10 {
		run, verdict := s.Place(_start, order())
		if verdict != place.Placed || run.Endpoint.DataCentre == "a" {
			t.Fatalf("verdict %v; want a run in a data centre that is in service", verdict)
		}
		s.End(run)
	}
	if _, ok := s.PlaceOn(_start, core.EndpointKey{ID: "engine-0"}, &draft().Request); ok {
		t.Error("a run continues in a data centre that is out of service")
	}
}

// In any second a cold endpoint gets no more requests from all hosts together than it
// can take, however many wait at each host, and it gets some.
func TestColdShareHoldsInASlidingSecond(t *testing.T) {
	const limit, endpoints = 26*1.5 + 5, 20
	for _, hosts := range []int{1, 9, 87, 360} {
		total := 0
		for endpoint := range endpoints {
			var arrivals []time.Time
			for i := range hosts {
				s := newSite(t, endpoint+1, 0)
				s.Placer = place.New(core.HostName(fmt.Sprint("host-", i)), "a", _bounds, newRandom(uint64(i)))
				s.SetHosts(_start.Add(-time.Minute), hosts)
				s.ExpirePeerLoads(_start.Add(-time.Minute))
				s.view.Endpoints = s.view.Endpoints[endpoint:]
				s.change(fmt.Sprint("engine-", endpoint), func(e *know.Endpoint) { e.ColdUntil = after(10 * time.Second) })
				for ms := 0; ms < 3000; ms += 50 {
					now := after(time.Duration(ms) * time.Millisecond)
					if run, verdict := s.Place(now, draft()); verdict == place.Placed {
						arrivals = append(arrivals, now)
						s.End(run)
					}
				}
			}
			slices.SortFunc(arrivals, time.Time.Compare)
			for i := range arrivals {
				n := 0
				for _, a := range arrivals[i:] {
					if a.Sub(arrivals[i]) < time.Second {
						n++
					}
				}
				if float64(n) > limit {
					t.Fatalf("%d hosts: %d requests within a second, want at most %v", hosts, n, limit)
				}
			}
			total += len(arrivals)
		}
		if total < 3*endpoints {
			t.Errorf("%d hosts: %d cold endpoints got %d requests in 3 s, want one a second or more", hosts, endpoints, total)
		}
	}
}

// A host that has just started does not know how many others there are, and uses no
// share of the common limits until it does.
func TestNoShareOfLimitsBeforeHostsAreKnown(t *testing.T) {
	s := newSite(t, 1, 1)
	s.Placer = place.New("host-a", "a", _bounds, newRandom(1))
	s.change("engine-0", func(e *know.Endpoint) { e.ColdUntil = after(time.Minute) })
	s.ExpirePeerLoads(_start)
	s.SetHosts(after(time.Second), 3)
	for _, at := range []time.Duration{0, time.Second, 2500 * time.Millisecond} {
		if s.AllowRetry(after(at), "desk") {
			t.Errorf("a retry from the common retry allowance, %v after the start", at)
		}
		if _, verdict := s.Place(after(at), draft()); verdict != place.Full {
			t.Errorf("verdict %v for a cold endpoint, %v after the start", verdict, at)
		}
	}
	s.SetHosts(after(2500*time.Millisecond), 9)
	if !s.AllowRetry(after(4*time.Second), "desk") {
		t.Error("no retry once the others are known")
	}
	if _, verdict := s.Place(after(4*time.Second), draft()); verdict != place.Placed {
		t.Errorf("verdict %v for a cold endpoint once the others are known", verdict)
	}
}

// All hosts together open no more connections than an endpoint accepts, however many
// slots it has.
func TestConnectionsAreShared(t *testing.T) {
	const hosts, accepted = 9, 45
	built, err := table.Build(table.Source{Version: 1, Services: []core.RoutedService{{Name: "desk", MaxConnections: accepted}}})
	if err != nil {
		t.Fatal(err)
	}
	s := newSite(t, 0, 1)
	s.SetHosts(_start.Add(-time.Minute), hosts)
	s.view.Table = built
	s.change("desk-0", func(e *know.Endpoint) { e.Slots = 1000 })
	runs := 0
	for {
		run, verdict := s.Place(_start, order())
		if verdict != place.Placed {
			break
		}
		runs++
		if run.MaxConnections*hosts > accepted {
			t.Fatalf("%d hosts may keep %d connections each, the endpoint accepts %d", hosts, run.MaxConnections, accepted)
		}
	}
	if runs == 0 || runs*hosts > accepted {
		t.Errorf("%d hosts with %d runs each, the endpoint accepts %d connections", hosts, runs, accepted)
	}
}

// The bound on the number of hosts does not fall when others go silent: they may keep
// working on the other side of a partition.
func TestHostsBoundDoesNotFall(t *testing.T) {
	allowed := func(hostCounts ...int) int {
		s := newSite(t, 0, 1)
		for _, n := range hostCounts {
			s.SetHosts(_start.Add(-time.Minute), n)
		}
		n := 0
		for s.AllowRetry(_start, "desk") {
			n++
		}
		return n
	}
	if before, later := allowed(9), allowed(9, 1); later > before {
		t.Errorf("%d retries after the others went silent, want at most the %d before", later, before)
	}
}

// The retries of all hosts together stay within the deployment's bound.
func TestRetryBudget(t *testing.T) {
	const hosts = 9
	s := newSite(t, 0, 1)
	s.SetHosts(_start.Add(-time.Minute), hosts)
	requests, retries := 0, 0
	for ms := 0; ms < 10_000; ms += 5 {
		now := after(time.Duration(ms) * time.Millisecond)
		s.CountRequest(now, "desk")
		requests++
		if s.AllowRetry(now, "desk") {
			retries++
		}
	}
	if bound := 0.2*float64(requests) + 58.0/hosts; float64(retries) > bound {
		t.Errorf("%d retries of %d requests, bound %v", retries, requests, bound)
	}
	if retries < requests/10 {
		t.Errorf("only %d retries of %d requests", retries, requests)
	}
}

// An endpoint that fails its requests gets few of them. One that cannot be reached gets
// none during its backoff, and is tried again afterwards.
func TestFailingEndpoints(t *testing.T) {
	s := newSite(t, 0, 3)
	counts := make(map[string]int)
	for range 300 {
		run, _ := s.Place(_start, order())
		counts[run.Endpoint.ID]++
		outcome := place.Good
		if run.Endpoint.ID == "desk-0" {
			outcome = place.Bad
		}
		s.RecordOutcome(_start, run, outcome)
		s.End(run)
	}
	if counts["desk-0"] > 60 {
		t.Errorf("an endpoint that fails everything got %d of 300", counts["desk-0"])
	}
	run, _ := s.Place(_start, order())
	s.RecordOutcome(_start, run, place.Unreachable)
	s.End(run)
	if s.Usable(_start, run.Endpoint.Key()) {
		t.Error("an unreachable endpoint is used at once")
	}
	if !s.Usable(after(4*time.Second), run.Endpoint.Key()) {
		t.Error("an unreachable endpoint is not tried again")
	}
	s.LiftBackoffs(_start)
	if !s.Usable(_start, run.Endpoint.Key()) {
		t.Error("an endpoint is not used after its backoff was lifted")
	}
}

// Each try that one silence of an endpoint had ended doubled its backoff, so that a sound endpoint got
// nothing for seconds after it had gone on.
func TestTriesThatOneSilenceEndsAreOneFailure(t *testing.T) {
	const silence = time.Second
	s := newSite(t, 0, 1)
	var runs []*place.Run
	for range 4 {
		run, _ := s.Place(_start, order())
		runs = append(runs, run)
	}
	for i, run := range runs {
		s.RecordOutcome(after(silence+time.Duration(i)*100*time.Millisecond), run, place.Unreachable)
		s.End(run)
	}
	key := runs[0].Endpoint.Key()
	if s.Usable(after(silence), key) {
		t.Error("an endpoint that cannot be reached is used at once")
	}
	if !s.Usable(after(silence+500*time.Millisecond), key) {
		t.Fatal("an endpoint gets nothing for longer because several tries ended in one silence")
	}
	late, _ := s.Place(after(2*silence), order())
	s.RecordOutcome(after(2*silence), late, place.Unreachable)
	if s.Usable(after(2*silence+500*time.Millisecond), key) {
		t.Error("a further failure does not extend the backoff")
	}
}

// An answer shows that a silent endpoint has gone on. It does not show that an endpoint can be reached
// that could not be: an open connection may live on while new ones are refused or hang.
func TestAnswerEndsOnlyTheBackoffOfASilentEndpoint(t *testing.T) {
	for outcome, usable := range map[place.Outcome]bool{place.Silent: true, place.Unreachable: false, place.Gone: false} {
		s := newSite(t, 0, 1)
		answered, _ := s.Place(_start, order())
		failed, _ := s.Place(_start, order())
		s.RecordOutcome(_start, failed, outcome)
		if s.Usable(_start, failed.Endpoint.Key()) {
			t.Errorf("outcome %d: the endpoint is used at once", outcome)
		}
		s.RecordOutcome(_start, answered, place.Good)
		if got := s.Usable(_start, failed.Endpoint.Key()); got != usable {
			t.Errorf("outcome %d, then an answer: usable %v, want %v", outcome, got, usable)
		}
	}
}

// Backup copies leave room for runs; the copies of runs whose engine leaves may fill an
// engine.
func TestBackupsLeaveRoomForRuns(t *testing.T) {
	s := newSite(t, 1, 0)
	backups := 0
	for s.PlaceBackup(_start, draft()) != nil {
		backups++
	}
	migrations := 0
	for s.PlaceMigration(_start, draft()) != nil {
		migrations++
	}
	if backups == 0 || migrations == 0 {
		t.Errorf("%d backups and %d copies of leaving runs, want some of both", backups, migrations)
	}
	if _, verdict := s.Place(_start, draft()); verdict != place.Full {
		t.Errorf("verdict %v, want full", verdict)
	}
}

// When engines leave, hosts pick the targets of their runs before they know of each
// other's picks. When all picked the engine with the most room, fourteen hosts chose
// one that had room for four runs, a waiting prompt found no room there, and the
// streams stalled for 2.5 s.
func TestMigrationTargetsSpread(t *testing.T) {
	const hosts = 60
	picked, near := make(map[string]int), 0
	for i := range hosts {
		s := newSite(t, 20, 0)
		s.Placer = place.New(core.HostName(fmt.Sprint("host-", i)), "a", _bounds, newRandom(uint64(i)))
		s.Apply(s.view)
		loads := make(map[string]place.Load)
		for n := range 20 {
			loads[fmt.Sprint("engine-", n)] = place.Load{Runs: 5, Tokens: _engineMemory * 7 / 10}
		}
		loads["engine-0"] = place.Load{Runs: 2, Tokens: _engineMemory * 4 / 10}
		s.SetPeerLoads(_start, place.Source{Host: "other"}, loads)
		spec := draft()
		spec.SourceDataCentre = "a"
		run := s.PlaceMigration(_start, spec)
		if run == nil {
			t.Fatal("no endpoint for the copy")
		}
		picked[run.Endpoint.ID]++
		if run.Endpoint.DataCentre == spec.SourceDataCentre {
			near++
		}
	}
	if n := picked["engine-0"]; n > hosts/3 {
		t.Errorf("%d of %d hosts picked the engine with twice the others' room", n, hosts)
	}
	if near < hosts*3/4 {
		t.Errorf("%d of %d copies are in the same data centre, where they are twice as fast", near, hosts)
	}
}

// A new, empty engine among full ones gets runs and no backup copies. Without this rule
// copies took a fifth of all memory while requests waited for room.
func TestNoBackupsWhileMemoryIsShort(t *testing.T) {
	for _, full := range []bool{false, true} {
		s := newSite(t, 10, 0)
		loads := make(map[string]place.Load)
		for i := range 9 {
			if full {
				loads[fmt.Sprint("engine-", i)] = place.Load{Runs: 7, Tokens: _engineMemory * 8 / 10}
			}
		}
		s.SetPeerLoads(_start, place.Source{Host: "other"}, loads)
		if run := s.PlaceBackup(_start, draft()); (run == nil) != full {
			t.Errorf("other engines full: %v, backup %v", full, run)
		}
		if run := s.PlaceMigration(_start, draft()); run == nil {
			t.Errorf("other engines full: %v, no endpoint for a run whose engine leaves", full)
		}
	}
}

// Callers' estimates count little when they prove wrong, and are followed when they
// prove exact.
func TestLengthEstimates(t *testing.T) {
	for _, exact := range []bool{true, false} {
		s := newSite(t, 1, 0)
		random := rand.New(rand.NewPCG(2, 2))
		for range 400 {
			spec := draft()
			tokens := 200 + random.IntN(1000)
			spec.Request.Prompt.Expected = tokens
			if !exact {
				spec.Request.Prompt.Expected = 1 + random.IntN(20_000)
			}
			s.RecordOutputLength(&spec.Request, tokens)
		}
		estimated := draft()
		estimated.Request.Prompt.Expected = 2000
		fits := 0
		for {
			run, verdict := s.Place(_start, estimated)
			if verdict != place.Placed {
				break
			}
			s.RecordPrefillDone(_start, run)
			fits++
		}
		// A run takes 3000 tokens of prompt, and 2000 of output by the estimate or
		// about 700 by the lengths seen.
		if exact && fits > 6 || !exact && fits < 7 {
			t.Errorf("exact %v: %d runs fit in %d tokens", exact, fits, _engineMemory)
		}
	}
}

// A run that continues on a cold engine counts towards what the engine takes, and does not go
// there beyond this host's share.
func TestContinuedRunsKeepToTheColdShare(t *testing.T) {
	s := newSite(t, 1, 0)
	s.SetHosts(_start.Add(-time.Minute), 9)
	s.change("engine-0", func(e *know.Endpoint) { e.ColdUntil = after(10 * time.Second) })
	continued := 0
	for range 100 {
		if run, ok := s.PlaceOn(_start, core.EndpointKey{ID: "engine-0"}, &draft().Request); ok {
			continued++
			s.End(run)
		}
	}
	const share = (26*3/2 + 5) / 9
	if continued == 0 || continued > share {
		t.Errorf("%d runs continue on a cold engine within a second, want one to %d", continued, share)
	}
}

// Whether there is a retry can be asked without taking it.
func TestHasRetryTakesNone(t *testing.T) {
	allowed := func(ask bool) int {
		s := newSite(t, 0, 1)
		s.SetHosts(_start.Add(-time.Minute), 9)
		n := 0
		for {
			has := !ask || s.HasRetry(_start, "desk")
			took := s.AllowRetry(_start, "desk")
			if ask && has != took {
				t.Fatalf("after %d retries HasRetry is %v, AllowRetry %v", n, has, took)
			}
			if !took {
				return n
			}
			n++
		}
	}
	if asked, plain := allowed(true), allowed(false); asked != plain || plain == 0 {
		t.Errorf("%d retries if asked before, %d otherwise; want the same, not 0", asked, plain)
	}
}
