package queue_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"apricotproxy/core"
	"apricotproxy/core/procs/queue"
)

var _start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestScripts runs the scripts in testdata. Their commands are:
//
//	push     adds count items of a workspace, with a cost, a weight and a
//	         deadline in seconds after the start
//	serve    serves count items and prints them in the order served
//	expire   removes and prints the items whose deadline has passed at a time
//	evictee  prints the item to evict from a full queue
//
// They work on the long class unless the argument short is given, and each
// prints the number of items that are then waiting.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		q := queue.New[string]()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runCommand(t, q, d)
		})
	})
}

func runCommand(t *testing.T, q *queue.Queue[string], d *datadriven.TestData) string {
	var out strings.Builder
	class := queue.ClassLong
	if d.HasArg("short") {
		class = queue.ClassShort
	}
	switch d.Cmd {
	case "push":
		push(t, q, d, class)
	case "serve":
		count := 1
		d.MaybeScanArgs(t, "count", &count)
		for range count {
			item := q.Head(class)
			if item == nil {
				out.WriteString("none ")
				break
			}
			q.Take(item)
			out.WriteString(item.Value + " ")
		}
	case "expire":
		var at int
		d.ScanArgs(t, "at", &at)
		for item := q.Expired(_start.Add(time.Duration(at) * time.Second)); item != nil; item = q.Expired(_start.Add(time.Duration(at) * time.Second)) {
			q.Remove(item)
			out.WriteString(item.Value + " ")
		}
	case "evictee":
		out.WriteString(q.EvictionCandidate(class).Value)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return strings.TrimSpace(fmt.Sprintf("%s\nwaiting %d", strings.TrimSpace(out.String()), q.Len())) + "\n"
}

func push(t *testing.T, q *queue.Queue[string], d *datadriven.TestData, class queue.Class) {
	var workspace string
	cost, weight, count, deadline := 100, 1, 1, 0
	d.ScanArgs(t, "workspace", &workspace)
	d.MaybeScanArgs(t, "cost", &cost)
	d.MaybeScanArgs(t, "weight", &weight)
	d.MaybeScanArgs(t, "count", &count)
	d.MaybeScanArgs(t, "deadline", &deadline)
	for i := range count {
		item := &queue.Item[string]{
			Value: fmt.Sprintf("%s%d", workspace, i), Workspace: core.WorkspaceName(workspace),
			Class: class, Cost: int64(cost), Weight: weight, Entered: _start,
		}
		if deadline > 0 {
			item.Deadline = _start.Add(time.Duration(deadline) * time.Second)
		}
		q.Push(item)
	}
}

// As long as all workspaces have waiting requests, none gets ahead of another by
// more than a quantum and the cost of one request.
func TestFairnessBetweenWorkspaces(t *testing.T) {
	const longQuantum, served = 2048, 300
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("the cost served differs by at most a quantum and one request", prop.ForAll(
		func(costs []int) bool {
			q := queue.New[int]()
			largest := 0
			for w, cost := range costs {
				largest = max(largest, cost)
				for range served {
					q.Push(&queue.Item[int]{Value: w, Workspace: core.WorkspaceName(fmt.Sprint(w)), Class: queue.ClassLong, Cost: int64(cost)})
				}
			}
			got := make([]int, len(costs))
			for range served {
				item := q.Head(queue.ClassLong)
				q.Take(item)
				got[item.Value] += costs[item.Value]
			}
			for _, a := range got {
				for _, b := range got {
					if a-b > longQuantum+largest {
						return false
					}
				}
			}
			return true
		},
		gen.SliceOfN(5, gen.IntRange(1, 8000)),
	))
	properties.TestingRun(t)
}

func TestWaitIsEstimatedFromDepartures(t *testing.T) {
	var rate queue.Rate
	now := _start
	rate.Entered(now)
	if _, known := rate.EstimateWait(now, 1); known {
		t.Error("a wait is estimated before the first departure")
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		rate.Departed(now, true)
	}
	wait, known := rate.EstimateWait(now, 49)
	if !known || wait < 4*time.Second || wait > 6*time.Second {
		t.Errorf("the wait behind 49 others at 10 departures per second is %s (known: %t), want about 5s", wait, known)
	}
}
