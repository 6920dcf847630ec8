package spread_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/core"
)

// fault is a failure that lasts for a while. Each fault of a host has a host of its
// own, so that two faults can be combined.
type fault struct {
	name  string
	begin func(*sim)
	end   func(*sim)
}

func (s *sim) host(number int) *node { return s.nodes[number-1] }

func (s *sim) setDown(down bool) {
	s.service.down = down
	s.wakeWatchers()
}

// setPinned makes the service serve a fixed value, or its current one again if bundle
// is nil.
func (s *sim) setPinned(bundle *core.Bundle) {
	s.service.pinned = bundle
	s.service.version++
	s.wakeWatchers()
}

// _faults are the faults of hosts, of the network and of the service. Faults of
// endpoints do not concern these state machines.
var _faults = []fault{
	{"host dies", func(s *sim) { s.host(3).alive = false }, func(s *sim) { s.host(3).start() }},
	{"host pauses", func(s *sim) { s.host(4).pausedUntil = s.Now.Add(time.Minute) }, func(*sim) {}},
	{"one way silent", func(s *sim) { s.host(5).mute = true }, func(s *sim) { s.host(5).mute = false }},
	{"messages lost", func(s *sim) { s.loss = 0.3 }, func(s *sim) { s.loss = 0 }},
	{"service down", func(s *sim) { s.setDown(true) }, func(s *sim) { s.setDown(false) }},
	{"service stale", func(s *sim) { old := s.service.value; s.setPinned(&old) }, func(s *sim) { s.setPinned(nil) }},
	{"service lower", func(s *sim) { lower := s.bundle(3); s.service.version = 0; s.setPinned(&lower) },
		func(s *sim) { s.setPinned(nil) }},
	{"partition", func(s *sim) { s.setSide(6, 1) }, func(s *sim) { s.setSide(6, 0) }},
	{"data centre gone", func(s *sim) { s.setHostsAlive(1, 2, false) }, func(s *sim) { s.setHostsAlive(1, 2, true) }},
}

// setSide moves the hosts with this number or a higher one to a side of a partition.
func (s *sim) setSide(from, side int) {
	for _, n := range s.nodes[from-1:] {
		n.side = side
	}
}

func (s *sim) setHostsAlive(from, to int, alive bool) {
	for _, n := range s.nodes[from-1 : to] {
		if alive {
			n.start()
			continue
		}
		n.alive = false
	}
}

// After any two faults have ended, every host has the highest revision in force
// within inForceWithin. The simulation also checks at every step that no host goes
// to a lower revision and that every acknowledgement is true.
func TestFaultPairs(t *testing.T) {
	for i, first := range _faults {
		for _, second := range _faults[i:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				s := newSim(t, 9, uint64(i), 0)
				s.publish(s.bundle(7))
				for _, n := range s.nodes {
					n.start()
				}
				s.run(20 * time.Second)
				first.begin(s)
				s.run(5 * time.Second)
				s.publish(s.bundle(8))
				if second.name != first.name {
					second.begin(s)
				}
				s.run(90 * time.Second)
				first.end(s)
				s.run(10 * time.Second)
				if second.name != first.name {
					second.end(s)
				}
				s.publish(s.bundle(9))
				s.run(inForceWithin)
				if at, alive := s.inForce(9); at != alive || alive != 9 {
					t.Errorf("%d of %d hosts have revision 9 in force", at, alive)
				}
			})
		}
	}
}

// TestFaultScripts runs the scripts of testdata/faults.
func TestFaultScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/faults", func(t *testing.T, path string) {
		var s *sim
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "fleet" {
				var hosts int
				d.ScanArgs(t, "hosts", &hosts)
				s = newSim(t, hosts, 1, 0)
				return ""
			}
			return s.command(t, d)
		})
	})
}

func (s *sim) command(t *testing.T, d *datadriven.TestData) string {
	var number int
	if d.HasArg("host") {
		d.ScanArgs(t, "host", &number)
	}
	switch d.Cmd {
	case "start":
		s.startScripted(number)
	case "publish":
		s.publish(s.scriptedBundle(t, d))
	case "run":
		var span string
		d.ScanArgs(t, "for", &span)
		length, err := time.ParseDuration(span)
		if err != nil {
			t.Fatal(err)
		}
		s.run(length)
	case "begin", "end":
		s.scriptedFault(t, d)
	case "state":
		return s.describe()
	default:
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	return ""
}

func (s *sim) startScripted(number int) {
	if number > 0 {
		s.host(number).start()
		return
	}
	for _, n := range s.nodes {
		n.start()
	}
}

func (s *sim) scriptedBundle(t *testing.T, d *datadriven.TestData) core.Bundle {
	var revision int
	d.ScanArgs(t, "revision", &revision)
	bundle := s.bundle(core.Revision(revision))
	if d.HasArg("invalid") {
		bundle.Base = "invalid"
	}
	if d.HasArg("other") {
		bundle.Overlay = "other content"
	}
	return bundle
}

func (s *sim) scriptedFault(t *testing.T, d *datadriven.TestData) {
	name := strings.TrimSpace(d.Input)
	i := slices.IndexFunc(_faults, func(f fault) bool { return f.name == name })
	if i < 0 {
		t.Fatalf("%s: unknown fault %q", d.Pos, name)
	}
	if d.Cmd == "begin" {
		_faults[i].begin(s)
		return
	}
	_faults[i].end(s)
}

// describe lists the revision of each host and whether it is ready.
func (s *sim) describe() string {
	var lines []string
	for _, n := range s.nodes {
		if !n.alive {
			lines = append(lines, fmt.Sprintf("%s: dead", n.name))
			continue
		}
		ready := "not ready"
		if n.spread.Ready(s.Now, n.member.Hosts()) {
			ready = "ready"
		}
		lines = append(lines, fmt.Sprintf("%s: revision %d, %s", n.name, n.highest, ready))
	}
	return strings.Join(lines, "\n")
}
