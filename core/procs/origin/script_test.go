package origin_test

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/origin"
)

var _start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

// _scriptInterval is the heartbeat interval of the endpoints of a history.
const _scriptInterval = time.Second

// at returns the time some seconds after the start of a script.
func at(seconds float64) time.Time {
	return _start.Add(time.Duration(seconds * float64(time.Second)))
}

// TestScripts plays what a host does with its ledger. A script's commands are:
//
//	new           a ledger that knows nothing
//	begin, add    the host, or another one, delivered the first event of a stream;
//	              "r1 desk v1 60": its request, service, build and when it expires
//	uncopied      the records that are to be sent to other hosts
//	expire        time passes
//	view          the builds in service: "desk v1"
//	current       the host's documents are up to date, or "false" not
//	fresh         when the host's documents were last known to be up to date
//	merge         what another host knows of the builds: "desk v1 60", when it was last seen
//	span          what this host knows of them
//	resolve       a caller takes a stream up that was begun after some time
//	holders       engines that were asked for a part: "desk v1 holds" or "desk v1 lacks"
//	history       a part of the store's history: "a desk v1 3 1" is endpoint a with its count of
//	              heartbeats and its start, "out/waco" a data centre
//
// Times are seconds. "x*129" is a request's ID of 129 bytes, and "none" an empty one.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{ledger: origin.New()}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			return s.play(d)
		})
	})
}

type script struct {
	t      *testing.T
	ledger *origin.Ledger
}

func (s *script) play(d *datadriven.TestData) string {
	switch d.Cmd {
	case "new":
		s.ledger = origin.New()
	case "begin":
		for _, r := range s.records(d.Input) {
			s.ledger.Begin(r)
		}
	case "add":
		return s.add(d)
	case "uncopied":
		return requests(s.ledger.TakeUncopied())
	case "expire":
		s.ledger.Expire(s.time(d, "at"))
	case "view":
		s.ledger.Observe(s.time(d, "at"), s.view(d.Input))
	case "current":
		s.ledger.SetCurrent(s.time(d, "at"), !d.HasArg("false"))
	case "fresh":
		s.ledger.SetFreshAt(s.time(d, "at"))
	case "merge":
		s.ledger.Merge(s.span(d))
	case "span":
		return describe(s.ledger.Span(s.time(d, "at")))
	case "resolve":
		return s.resolve(d)
	case "holders":
		return found(origin.ResolveHolders(s.holders(d.Input)))
	case "history":
		return s.history(d)
	case "merge-history":
		s.ledger.Merge(s.spanOfHistory(d))
	case "departed":
		return s.departed(d)
	default:
		s.t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

func (s *script) time(d *datadriven.TestData, key string) time.Time {
	var text string
	d.ScanArgs(s.t, key, &text)
	return at(s.number(text))
}

func (s *script) number(text string) float64 {
	s.t.Helper()
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatalf("number %q: %v", text, err)
	}
	return n
}

// fields returns the words of each line of input, of which there must be count.
func (s *script) fields(input string, count int) [][]string {
	s.t.Helper()
	var lines [][]string
	for line := range strings.Lines(input) {
		words := strings.Fields(line)
		if len(words) != count {
			s.t.Fatalf("%q has %d words, want %d", line, len(words), count)
		}
		lines = append(lines, words)
	}
	return lines
}

func originOf(service, build string) origin.Origin {
	return origin.Origin{Service: core.ServiceName(service), Build: core.BuildName(build)}
}

func (s *script) requestID(text string) string {
	if text == "none" {
		return ""
	}
	if letter, length, ok := strings.Cut(text, "*"); ok {
		return strings.Repeat(letter, int(s.number(length)))
	}
	return text
}

func (s *script) records(input string) []origin.Record {
	var records []origin.Record
	for _, words := range s.fields(input, 4) {
		records = append(records, origin.Record{
			Request: s.requestID(words[0]), Origin: originOf(words[1], words[2]), Until: at(s.number(words[3])),
		})
	}
	return records
}

func (s *script) add(d *datadriven.TestData) string {
	var lines []string
	for _, r := range s.records(d.Input) {
		lines = append(lines, fmt.Sprintf("added=%t", s.ledger.Add(r)))
	}
	return strings.Join(lines, "\n")
}

func requests(records []origin.Record) string {
	var text []string
	for _, r := range records {
		text = append(text, r.Request)
	}
	return "[" + strings.Join(text, " ") + "]"
}

func (s *script) view(input string) *know.View {
	view := &know.View{}
	for _, words := range s.fields(input, 2) {
		view.Endpoints = append(view.Endpoints, endpoint(originOf(words[0], words[1])))
	}
	return view
}

func endpoint(o origin.Origin) know.Endpoint {
	return know.Endpoint{RoutedEndpoint: core.RoutedEndpoint{ID: "e", Service: o.Service, Build: o.Build}}
}

func (s *script) span(d *datadriven.TestData) origin.Span {
	var span origin.Span
	if d.HasArg("since") {
		span.Since = s.time(d, "since")
	}
	for _, words := range s.fields(d.Input, 3) {
		span.Builds = append(span.Builds, origin.InService{Origin: originOf(words[0], words[1]), LastSeen: at(s.number(words[2]))})
	}
	return span
}

// describe returns a span's builds in order, with its times in seconds.
func describe(span origin.Span) string {
	if span.Since.IsZero() && len(span.Builds) == 0 {
		return "nothing"
	}
	since := "unknown"
	if !span.Since.IsZero() {
		since = fmt.Sprint(span.Since.Sub(_start).Seconds())
	}
	var lines []string
	for _, b := range span.Builds {
		lines = append(lines, fmt.Sprintf("%s %s %v", b.Service, b.Build, b.LastSeen.Sub(_start).Seconds()))
	}
	slices.Sort(lines)
	return strings.Join(slices.Concat([]string{"since " + since}, lines), "\n")
}

func (s *script) resolve(d *datadriven.TestData) string {
	stream := origin.Stream{BegunAfter: s.time(d, "begun"), Services: []core.ServiceName{"desk"}}
	if d.HasArg("confirmed") {
		stream.ConfirmedAfter = s.time(d, "confirmed")
	}
	var request, services string
	d.MaybeScanArgs(s.t, "request", &request)
	stream.Request = s.requestID(request)
	if d.MaybeScanArgs(s.t, "services", &services); services != "" {
		stream.Services = nil
		for name := range strings.SplitSeq(services, "+") {
			stream.Services = append(stream.Services, core.ServiceName(name))
		}
	}
	origin, source := s.ledger.Resolve(s.time(d, "at"), stream)
	return found(origin, source)
}

func found(o origin.Origin, source origin.Source) string {
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", o.Service, o.Build, source))
}

func (s *script) holders(input string) []origin.Holder {
	var holders []origin.Holder
	for _, words := range s.fields(input, 3) {
		holders = append(holders, origin.Holder{Origin: originOf(words[0], words[1]), HasAnswered: words[2] != "silent", Holds: words[2] == "holds"})
	}
	return holders
}

func (s *script) history(d *datadriven.TestData) string { return describe(s.spanOfHistory(d)) }

func (s *script) spanOfHistory(d *datadriven.TestData) origin.Span {
	h := origin.History{FromStart: d.HasArg("from-start"), Interval: _scriptInterval}
	for line := range strings.Lines(d.Input) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		h.Documents = append(h.Documents, core.Document{Name: name, Deleted: value == "deleted", Value: []byte(value)})
	}
	return origin.SpanOf(s.time(d, "at"), h, decodeScript)
}

// departed tells whether no endpoint that has left can have begun a stream at another build than the one that was found.
func (s *script) departed(d *datadriven.TestData) string {
	var build string
	d.ScanArgs(s.t, "found", &build)
	stream := origin.Stream{BegunAfter: s.time(d, "begun"), Services: []core.ServiceName{"desk"}}
	if s.ledger.ExcludesDeparted(stream, originOf("desk", build)) {
		return "excluded"
	}
	return "possible"
}

// decodeScript decodes a document of a history.
func decodeScript(d core.Document) (know.Content, error) {
	if name, ok := strings.CutPrefix(d.Name, "out/"); ok {
		return know.Content{OutOfService: core.DataCentreName(name)}, nil
	}
	if d.Deleted {
		return know.Content{}, nil
	}
	words := strings.Fields(string(d.Value))
	isDraining := len(words) == 5 && words[4] == "draining"
	if len(words) != 4 && !isDraining {
		return know.Content{}, errors.New("not an endpoint")
	}
	sequence, err := strconv.ParseUint(words[2], 10, 64)
	if err != nil {
		return know.Content{}, fmt.Errorf("count of heartbeats: %w", err)
	}
	born, err := strconv.ParseInt(words[3], 10, 64)
	if err != nil {
		return know.Content{}, fmt.Errorf("start: %w", err)
	}
	return know.Content{Endpoint: &core.RoutedEndpoint{
		ID: d.Name, Service: core.ServiceName(words[0]), Build: core.BuildName(words[1]), Sequence: sequence, Born: time.UnixMilli(born),
		Draining: isDraining,
	}}, nil
}
