package know_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
)

const (
	_simStep  = 100 * time.Millisecond
	_simHosts = 5
	_simSteps = 600
	// _simSpread is the time within which every host must apply a confirmed change: the
	// users' bounds of 2 s, and 5 s more while the store is not stable.
	_simSpread = 7 * time.Second
	_simMaxAge = 1200 * time.Millisecond
)

// simStore is a document store that can be restored from a copy.
type simStore struct {
	epoch, revision uint64
	documents       map[string]core.Document
	history         []core.Document
}

func (s *simStore) write(name, value string) {
	s.revision++
	d := core.Document{Name: name, Epoch: s.epoch, Revision: s.revision, Deleted: value == "", Value: []byte(value)}
	s.documents[name] = d
	s.history = append(s.history, d)
}

// restore goes back to a revision and returns the last state of what was lost, in the order
// of writing.
func (s *simStore) restore(revision uint64) (lost []core.Document) {
	kept := s.history
	s.epoch++
	s.revision, s.history, s.documents = revision, nil, make(map[string]core.Document)
	for _, d := range kept {
		if d.Revision > revision {
			lost = slices.DeleteFunc(lost, func(earlier core.Document) bool { return earlier.Name == d.Name })
			lost = append(lost, d)
			continue
		}
		d.Epoch = s.epoch
		s.history = append(s.history, d)
		s.documents[d.Name] = d
	}
	return lost
}

func (s *simStore) list() core.Documents {
	answer := core.Documents{Epoch: s.epoch, AsOf: s.revision}
	for _, d := range s.documents {
		if !d.Deleted {
			answer.Documents = append(answer.Documents, d)
		}
	}
	return answer
}

func (s *simStore) watch(after uint64) (answer core.Documents, lost bool) {
	answer = core.Documents{Epoch: s.epoch, AsOf: s.revision}
	for _, d := range s.history {
		if d.Revision > after {
			answer.Documents = append(answer.Documents, d)
		}
	}
	return answer, after > s.revision
}

// simHost is one host. late holds an answer of the store that is applied later.
type simHost struct {
	state    *know.State
	started  time.Time
	listed   bool
	late     *core.Documents
	lateList bool
	version  uint64
	// cutUntil is when the host reaches the store again.
	cutUntil time.Time
}

// sim is a fleet before one store. confirmed holds when the operators' changes were
// confirmed: the highest version, and the data centres that are out of service.
type sim struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand
	now       time.Time
	store     simStore
	hosts     []*simHost
	rewrites  []core.Document
	version   uint64
	versionAt time.Time
	out       map[string]time.Time
}

func (s *sim) chance(p float64) bool { return s.random.Float64() < p }

// operate writes what operators write: again what was lost, and new changes.
func (s *sim) operate() {
	if len(s.rewrites) > 0 {
		if s.chance(0.3) {
			s.store.write(s.rewrites[0].Name, string(s.rewrites[0].Value))
			s.rewrites = s.rewrites[1:]
		}
		return
	}
	if s.chance(0.05) {
		s.version++
		s.versionAt = s.now
		s.store.write("config", fmt.Sprint(s.version))
	}
	if s.chance(0.03) {
		name := fmt.Sprint("z", s.random.IntN(2))
		if _, isOut := s.out[name]; isOut {
			delete(s.out, name)
			s.store.write("out/"+name, "")
		} else {
			s.out[name] = s.now
			s.store.write("out/"+name, "1")
		}
	}
	if s.chance(0.02) && s.store.revision > 1 {
		s.rewrites = s.store.restore(s.store.revision - min(uint64(1+s.random.IntN(6)), s.store.revision-1))
	}
}

// read makes one call to the store as io/entry does; some answers arrive later.
func (s *sim) read(h *simHost) {
	if h.late != nil {
		s.apply(h, *h.late, h.lateList)
		h.late = nil
		return
	}
	var answer core.Documents
	isList := !h.listed
	if isList {
		answer = s.store.list()
		h.listed = true
	} else {
		known := h.state.SyncStatus()
		var lost bool
		if answer, lost = s.store.watch(known.AsOf); lost || answer.Epoch != known.Epoch {
			h.listed = false
			return
		}
	}
	if s.chance(0.2) {
		h.late, h.lateList = &answer, isList
		return
	}
	s.apply(h, answer, isList)
}

func (s *sim) apply(h *simHost, answer core.Documents, whole bool) {
	var err error
	if whole {
		_, err = h.state.Replace(s.now, answer, s.now)
	} else {
		_, err = h.state.Update(s.now, answer, s.now)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// tell sends the status of one host to another, which pulls what it lacks.
func (s *sim) tell(from, to *simHost) {
	if to.state.CompareStatus(from.state.SyncStatus()) {
		documents, whole := from.state.Since(to.state.SyncStatus())
		s.apply(to, documents, whole)
	}
}

func (s *sim) step() {
	s.now = s.now.Add(_simStep)
	s.operate()
	for i, h := range s.hosts {
		if s.chance(0.005) {
			*h = simHost{state: newState(nil), started: s.now}
		}
		if s.chance(0.01) {
			h.cutUntil = s.now.Add(3 * time.Second)
		}
		needsStore := i < 2 || h.state.SyncStatus().Age(s.now) > _simMaxAge || h.state.SyncStatus().AsOf == 0
		if s.now.After(h.cutUntil) && needsStore && s.chance(0.5) {
			s.read(h)
		}
		s.tell(h, s.hosts[s.random.IntN(_simHosts)])
		s.tell(h, s.hosts[s.random.IntN(_simHosts)])
		h.state.Expire(s.now)
	}
	for i, h := range s.hosts {
		s.check(i, h)
	}
}

// check fails if a host goes back to an older version, or lacks a change that was confirmed
// long enough ago.
func (s *sim) check(i int, h *simHost) {
	s.t.Helper()
	view := h.state.View()
	if view.Version() < h.version {
		s.t.Fatalf("seed %d, %v: host %d went from version %d to %d", s.seed, s.now.Sub(_start), i, h.version, view.Version())
	}
	h.version = view.Version()
	if s.now.Sub(h.started) < _simSpread {
		return
	}
	if s.now.Sub(s.versionAt) > _simSpread && h.version < s.version {
		s.t.Fatalf("seed %d, %v: host %d has version %d, %d was confirmed %v ago", s.seed, s.now.Sub(_start), i, h.version, s.version, s.now.Sub(s.versionAt))
	}
	for name, since := range s.out {
		if s.now.Sub(since) > _simSpread && !view.OutOfService[core.DataCentreName(name)] {
			s.t.Fatalf("seed %d, %v: host %d uses %s, out of service since %v", s.seed, s.now.Sub(_start), i, name, s.now.Sub(since))
		}
	}
}

// Whatever is restored at whatever moment, no host undoes a confirmed change, every host
// applies each in time, and all agree with the store in the end.
func TestStoreRestoresUndoNothing(t *testing.T) {
	for seed := range uint64(60) {
		s := &sim{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), now: _start, out: make(map[string]time.Time), version: 1, versionAt: _start}
		s.store.documents = make(map[string]core.Document)
		s.store.write("config", "1")
		for range _simHosts {
			s.hosts = append(s.hosts, &simHost{state: newState(nil), started: s.now})
		}
		for range _simSteps {
			s.step()
		}
		s.settle()
	}
}

// settle checks that all hosts agree with the store once nothing changes any more.
func (s *sim) settle() {
	for _, d := range s.rewrites {
		s.store.write(d.Name, string(d.Value))
	}
	for range int(15 * time.Second / _simStep) {
		s.now = s.now.Add(_simStep)
		for _, h := range s.hosts {
			s.read(h)
			h.state.Expire(s.now)
		}
	}
	for i, h := range s.hosts {
		view := h.state.View()
		var out []string
		for name := range view.OutOfService {
			out = append(out, string(name))
		}
		slices.Sort(out)
		if len(out) != len(s.out) || view.Version() != s.version {
			s.t.Fatalf("seed %d: host %d has version %d and %v out of service, want %d and %v", s.seed, i, view.Version(), out, s.version, s.out)
		}
	}
}
