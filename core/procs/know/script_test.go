package know_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/versn/table"
)

// TestScripts plays the answers that a host gets from the store and from other hosts. A
// script's commands are:
//
//	list, watch  an answer with all documents or with those that changed
//	status       the status in another host's heartbeat
//	expire       time passes
//	cold         until when endpoints are cold
//	policy       the shortest outage changes, in seconds
//
// A line of input is a document: "config 5 2" (name, revision, version), "out/waco 5" or
// "a 5 3" (an endpoint with its count of heartbeats); "cold=4" marks one that is cold for 4 more
// seconds, "leaving" one that leaves, "deleted" a deleted document. Output is what is known then.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newState(nil)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				s = newState(nil)
				return ""
			}
			return playCommand(t, s, d)
		})
	})
}

func playCommand(t *testing.T, s *know.State, d *datadriven.TestData) string {
	var epoch, asOf, changed, version, second int
	d.MaybeScanArgs(t, "epoch", &epoch)
	d.MaybeScanArgs(t, "as-of", &asOf)
	d.MaybeScanArgs(t, "changed", &changed)
	d.MaybeScanArgs(t, "version", &version)
	d.ScanArgs(t, "at", &second)
	now := at(float64(second))
	documents := core.Documents{Epoch: uint64(epoch), AsOf: uint64(asOf), Documents: scriptDocuments(t, uint64(epoch), d.Input)}
	var err error
	switch d.Cmd {
	case "list":
		_, err = s.Replace(now, documents, now)
	case "watch":
		_, err = s.Update(now, documents, now)
	case "status":
		behind := s.CompareStatus(know.SyncStatus{Epoch: uint64(epoch), AsOf: uint64(asOf), Changed: uint64(changed), Version: uint64(version), FreshAt: now})
		return fmt.Sprintf("behind=%t %s", behind, summary(s))
	case "expire":
		s.Expire(now)
	case "cold":
		return coldSummary(s)
	case "policy":
		var minOutage int
		d.ScanArgs(t, "min-outage", &minOutage)
		s.SetOutagePolicy(outagePolicy(time.Duration(minOutage) * time.Second))
		return ""
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	if err != nil {
		t.Fatal(err)
	}
	return summary(s)
}

func scriptDocuments(t *testing.T, epoch uint64, input string) []core.Document {
	t.Helper()
	var documents []core.Document
	for line := range strings.Lines(input) {
		name, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		number, value, _ := strings.Cut(rest, " ")
		revision, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			t.Fatalf("revision of %q: %v", line, err)
		}
		documents = append(documents, core.Document{Name: name, Epoch: epoch, Revision: revision, Deleted: value == "deleted", Value: []byte(value)})
	}
	return documents
}

// decodeScript decodes a script's document.
func decodeScript(d core.Document) (know.Content, error) {
	if name, ok := strings.CutPrefix(d.Name, "out/"); ok {
		return know.Content{OutOfService: core.DataCentreName(name)}, nil
	}
	if d.Deleted {
		return know.Content{}, nil
	}
	number, rest, _ := strings.Cut(string(d.Value), " ")
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return know.Content{}, fmt.Errorf("document %s: %w", d.Name, err)
	}
	if d.Name == "config" {
		built, err := table.Build(table.Source{Version: n})
		return know.Content{Table: built}, err
	}
	endpoint := &core.RoutedEndpoint{ID: d.Name, Sequence: n, Draining: rest == "leaving"}
	if seconds, ok := strings.CutPrefix(rest, "cold="); ok {
		endpoint.Cold, err = time.ParseDuration(seconds + "s")
	}
	return know.Content{Endpoint: endpoint}, err
}

// coldSummary returns until which second each endpoint is cold.
func coldSummary(s *know.State) string {
	var lines []string
	for _, e := range s.View().Endpoints {
		if !e.ColdUntil.IsZero() {
			lines = append(lines, fmt.Sprintf("%s until %.1f", e.ID, e.ColdUntil.Sub(at(0)).Seconds()))
		}
	}
	return strings.Join(lines, "\n")
}

func summary(s *know.State) string {
	view, status := s.View(), s.SyncStatus()
	return fmt.Sprintf("epoch=%d as-of=%d version=%d out=%v endpoints=[%s]", status.Epoch, status.AsOf, view.Version(),
		slices.Sorted(maps.Keys(view.OutOfService)), strings.TrimSpace(ids(s)))
}
