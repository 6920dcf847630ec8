package poison_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/core/procs/poison"
)

var _start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

// scriptHosts are the detectors of two hosts.
type scriptHosts map[string]*poison.Detector

func (h scriptHosts) get(name string) *poison.Detector {
	if h[name] == nil {
		h[name] = poison.New()
	}
	return h[name]
}

// TestScripts plays what hosts see. Each line begins with a time in seconds and a host:
//
//	8.67 a loss e1 r1 s,p   endpoint e1 began to answer request r1 with the parts s and p
//	8.7 a good s,t          an answer to a prompt with the parts s and t went on
//	9.0 a send b            a reports to b; "send-all" is what a new host gets
//	9.2 a ask s,p           whether a request with the parts is refused
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			hosts := make(scriptHosts)
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				out.WriteString(hosts.play(t, strings.Fields(line)))
			}
			return out.String()
		})
	})
}

func (h scriptHosts) play(t *testing.T, words []string) string {
	t.Helper()
	at, err := time.ParseDuration(words[0] + "s")
	if err != nil {
		t.Fatal(err)
	}
	now, detector := _start.Add(at), h.get(words[1])
	out := ""
	switch words[2] {
	case "loss":
		detector.RecordLoss(now, poison.Loss{Endpoint: words[3], Request: words[4], Parts: strings.Split(words[5], ","), At: now})
	case "good":
		detector.RecordSuccess(now, strings.Split(words[3], ","))
	case "send", "send-all":
		isNew := h.get(words[3]).Merge(now, detector.Report(now, words[2] == "send-all"))
		out = fmt.Sprintf("%s %s: new=%t\n", words[0], words[3], isNew)
		detector = h.get(words[3])
	case "ask":
		for _, b := range detector.Settle(now) {
			out += fmt.Sprintf("%s: block %s\n", words[0], b)
		}
		_, blocked := detector.Blocked(now, strings.Split(words[3], ","))
		return out + fmt.Sprintf("%s %s: %s blocked=%t\n", words[0], words[1], words[3], blocked)
	default:
		t.Fatalf("unknown command %q", words[2])
	}
	for _, b := range detector.Settle(now) {
		out += fmt.Sprintf("%s: block %s\n", words[0], b)
	}
	return out
}

// fleet is a simulated fleet whose hosts share what they know at once. Engines lose
// requests before their first event for many reasons.
type fleet struct {
	random   *rand.Rand
	detector *poison.Detector
	now      time.Time
	engines  int
}

// request plays a request with the parts that is lost at its beginning with the given
// probability, and reports whether it was refused.
func (f *fleet) request(id string, loss float64, parts ...string) (refused bool) {
	f.now = f.now.Add(50 * time.Millisecond)
	f.detector.Settle(f.now)
	if _, blocked := f.detector.Blocked(f.now, parts); blocked {
		return true
	}
	if f.random.Float64() < loss {
		endpoint := fmt.Sprint("e", f.random.IntN(f.engines))
		f.detector.RecordLoss(f.now, poison.Loss{Endpoint: endpoint, Request: id, Parts: parts, At: f.now})
	} else {
		f.detector.RecordSuccess(f.now, parts)
	}
	return false
}

// Engines that break off a tenth of all answers as they begin make no sound part suspect,
// and a part that crashes engines among them is found soon.
func TestOnlyPartsThatCrashEnginesAreBlocked(t *testing.T) {
	const parts, requests, every = 60, 4000, 20
	for seed := range uint64(8) {
		f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), detector: poison.New(), now: _start, engines: 18}
		reached := 0
		for i := range requests {
			own := fmt.Sprint("r", i)
			first := fmt.Sprint("s", min(f.random.IntN(parts), f.random.IntN(parts)))
			if f.request(own, 0.1, first) {
				t.Fatalf("seed %d: request %d with the sound part %s is refused", seed, i, first)
			}
			if i > requests/2 && i%every == 0 && !f.request("x"+own, 1, first, "bad") {
				reached++
			}
		}
		if reached > 5 {
			t.Errorf("seed %d: %d requests with the part that crashes engines reached one", seed, reached)
		}
	}
}

// The memory of a detector is bounded.
func TestDetectorIsBounded(t *testing.T) {
	d := poison.New()
	for i := range 20_000 {
		now := _start.Add(time.Duration(i) * time.Millisecond)
		part := fmt.Sprint("p", i)
		d.RecordSuccess(now, []string{"s" + part})
		for n := range 3 {
			d.RecordLoss(now, poison.Loss{Endpoint: fmt.Sprint(i, n), Request: fmt.Sprint(i, n), Parts: []string{part}, At: now})
		}
		d.Settle(now)
	}
	r := d.Report(_start.Add(20*time.Second), true)
	if len(r.Losses) > 64 || len(r.Blocks) > 16 {
		t.Errorf("%d losses and %d blocks are reported, want at most 64 and 16", len(r.Losses), len(r.Blocks))
	}
}
