package reach_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/core"
	"apricotproxy/core/procs/reach"
)

// script runs the commands of a file. Each is given the time in milliseconds; the host polls until then.
type script struct {
	*reach.Tracker
	now     time.Time
	probing []reach.Probe
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{Tracker: reach.New("own", "a", rand.New(rand.NewPCG(1, 1))), now: _start}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	s.advance(t, d)
	switch d.Cmd {
	case "endpoints":
		var keys []core.EndpointKey
		for i := range intArg(t, d, "n") {
			keys = append(keys, endpointKey(i))
		}
		s.SetEndpoints(s.now, keys)
	case "reached", "failed", "answered", "silent":
		for _, i := range intArgs(t, d, "e") {
			s.record(d.Cmd, endpointKey(i))
		}
	case "probes-failed", "probes-accepted", "probes-reached":
		s.endProbes(d.Cmd)
	case "host":
		s.RecordHost(s.now, hostArg(t, d))
		return ""
	case "pick":
		return s.pick(t, d) + "\n"
	case "pick-reaching":
		return s.pickReaching(t, d) + "\n"
	case "end":
		s.end(t, d)
		return ""
	case "accept":
		return s.accept(t, d) + "\n"
	}
	due := s.DueProbes(s.now)
	s.probing = append(s.probing, due...)
	kind := "probes"
	if len(due) > 0 && due[0].Answer {
		kind = "probes for answers"
	}
	return fmt.Sprintf("%v, %d %s, reaches for others: %t\n", s.State(s.now), len(due), kind, s.ReachesForOthers(s.now))
}

// endProbes gives the probes under way a result: no connection, a connection without an answer, or what they ask for.
func (s *script) endProbes(result string) {
	probing := s.probing
	s.probing = nil
	for _, probe := range probing {
		s.RecordDial(s.now, probe.Key, result != "probes-failed")
		if probe.Answer {
			s.RecordProbe(s.now, probe.Key, result == "probes-reached")
		}
	}
}

// advance moves the time on, by polls unless the host is suspended meanwhile.
func (s *script) advance(t *testing.T, d *datadriven.TestData) {
	if !d.HasArg("at") {
		return
	}
	at := _start.Add(time.Duration(intArg(t, d, "at")) * time.Millisecond)
	for !d.HasArg("suspended") && s.now.Add(reach.PollInterval).Before(at) {
		s.now = s.now.Add(reach.PollInterval)
		s.probing = append(s.probing, s.DueProbes(s.now)...)
	}
	s.now = at
}

func (s *script) record(what string, key core.EndpointKey) {
	switch what {
	case "answered":
		s.RecordAnswer(s.now, key)
	case "silent":
		s.RecordSilence(s.now, key)
	default:
		s.RecordDial(s.now, key, what == "reached")
	}
}

// pick picks n hosts and prints how often it picked each.
func (s *script) pick(t *testing.T, d *datadriven.TestData) string {
	picked := make(map[core.HostName]int)
	for range intArg(t, d, "n") {
		var exclude []core.HostName
		if d.HasArg("exclude") {
			exclude = append(exclude, core.HostName(stringArg(t, d, "exclude")))
		}
		host, _ := s.PickHost(s.now, exclude)
		picked[host.Name]++
	}
	var lines []string
	for name, n := range picked {
		lines = append(lines, strings.TrimSpace(fmt.Sprint(name, " ", n)))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// pickReaching picks n hosts many times, and prints which, each time in the order of their names.
func (s *script) pickReaching(t *testing.T, d *datadriven.TestData) string {
	var lines []string
	for range 100 {
		var names []string
		for _, host := range s.PickReaching(s.now, intArg(t, d, "n")) {
			names = append(names, string(host.Name))
		}
		slices.Sort(names)
		lines = append(lines, fmt.Sprint(names))
	}
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "\n")
}

func (s *script) end(t *testing.T, d *datadriven.TestData) {
	outcomes := map[string]reach.RelayOutcome{
		"done": reach.RelayDone, "refused": reach.RelayRefused, "busy": reach.RelayBusy, "lost": reach.RelayLost, "unreachable": reach.RelayUnreachable,
	}
	for range intArg(t, d, "n") {
		s.EndRelay(s.now, core.HostName(stringArg(t, d, "host")), outcomes[stringArg(t, d, "as")])
	}
}

// accept accepts n requests if it can, and prints how many.
func (s *script) accept(t *testing.T, d *datadriven.TestData) string {
	from, accepted := core.HostName(stringArg(t, d, "from")), 0
	for range intArg(t, d, "n") {
		if s.AcceptRelayed(s.now, from, intArg(t, d, "own")) {
			accepted++
		}
	}
	if d.HasArg("ended") {
		for range accepted {
			s.EndRelayed(from)
		}
	}
	return fmt.Sprint(accepted)
}

func hostArg(t *testing.T, d *datadriven.TestData) reach.Host {
	address := ""
	if !d.HasArg("noAddress") {
		address = stringArg(t, d, "name") + ":1"
	}
	return reach.Host{
		Address: address,
		Name:    core.HostName(stringArg(t, d, "name")), DataCentre: core.DataCentreName(stringArg(t, d, "in")), SameRegion: !d.HasArg("otherRegion"),
		Reaches: !d.HasArg("cutOff"), Stopping: d.HasArg("stopping"), Incarnation: int64(intArg(t, d, "incarnation")),
	}
}

func endpointKey(i int) core.EndpointKey { return core.EndpointKey{ID: fmt.Sprint("endpoint-", i)} }

func stringArg(t *testing.T, d *datadriven.TestData, name string) string {
	var value string
	d.ScanArgs(t, name, &value)
	return value
}

func intArg(t *testing.T, d *datadriven.TestData, name string) int {
	values := intArgs(t, d, name)
	return values[0]
}

func intArgs(t *testing.T, d *datadriven.TestData, name string) []int {
	arg, ok := d.Arg(name)
	if !ok {
		t.Fatalf("%s: %s is missing", d.Pos, name)
	}
	values := make([]int, len(arg.Vals))
	for i := range values {
		arg.Scan(t, i, &values[i])
	}
	return values
}
