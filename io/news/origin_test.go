package news_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"apricotproxy/core"
	"apricotproxy/core/procs/origin"
	"apricotproxy/io/news"
)

const (
	// _longestID is the longest ID of a request of which there is a record.
	_longestID = 128
	// _longestName is the length of a name of a service or a build such as the longest in use.
	_longestName = 64
	// _maxDatagram is the longest datagram that hosts receive.
	_maxDatagram = 16 << 10
)

func originOf(service, build string) origin.Origin {
	return origin.Origin{Service: core.ServiceName(service), Build: core.BuildName(build)}
}

func roundTrip(t *testing.T, o *news.Origins, sentAt, receivedAt time.Time) *news.Origins {
	t.Helper()
	b, err := news.EncodeOrigins(o, sentAt)
	if err != nil {
		t.Fatal(err)
	}
	got, err := news.Decode(b, receivedAt)
	if err != nil || got.Origins == nil {
		t.Fatalf("%+v, %v; want origins", got, err)
	}
	return got.Origins
}

func TestOriginsRoundTrip(t *testing.T) {
	want := &news.Origins{
		Host: "edge-austin-a-1",
		Records: []origin.Record{
			{Request: "r1", Origin: originOf("desk", "2.8.1"), Until: _now.Add(39 * time.Second)},
			{Request: "r2", Origin: originOf("mail", ""), Until: _now.Add(-time.Second)},
		},
		Questions: []string{"r3"}, ReplyTo: "10.1.0.19:7200", Unknown: []string{"r4", "r5"},
		Span: origin.Span{Since: _now.Add(-10 * time.Minute), Builds: []origin.InService{
			{Origin: originOf("desk", "2.8.1"), LastSeen: _now},
			{Origin: originOf("desk", "2.8.0"), LastSeen: _now.Add(-90 * time.Second)},
		}},
	}
	if got := roundTrip(t, want, _now, _now); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	// A host whose clock is an hour ahead gets the same times before and after now.
	const ahead = time.Hour
	got := roundTrip(t, want, _now, _now.Add(ahead))
	if until := got.Records[0].Until; !until.Equal(want.Records[0].Until.Add(ahead)) {
		t.Errorf("a record until %v, want an hour later than %v", until, want.Records[0].Until)
	}
	if since, seen := got.Span.Since, got.Span.Builds[1].LastSeen; !since.Equal(want.Span.Since.Add(ahead)) || !seen.Equal(want.Span.Builds[1].LastSeen.Add(ahead)) {
		t.Errorf("a span since %v with a build seen at %v, want an hour later than %v", since, seen, want.Span)
	}
}

// A host that knows nothing of the builds in service sends no span, and not one from its clock's
// zero on.
func TestOriginsWithoutSpan(t *testing.T) {
	o := &news.Origins{Host: "h", Span: origin.Span{Builds: []origin.InService{{Origin: originOf("desk", "v1"), LastSeen: _now}}}}
	if got := roundTrip(t, o, _now, _now); !got.Span.Since.IsZero() || len(got.Span.Builds) != 0 {
		t.Errorf("span %+v, want none", got.Span)
	}
}

// Times of a host whose clock was set back lie not in the future.
func TestOriginsOfTheFutureCountAsNow(t *testing.T) {
	o := &news.Origins{Host: "h", Span: origin.Span{
		Since: _now.Add(time.Second), Builds: []origin.InService{{Origin: originOf("desk", "v1"), LastSeen: _now.Add(time.Minute)}},
	}}
	got := roundTrip(t, o, _now, _now)
	if !got.Span.Since.Equal(_now) || !got.Span.Builds[0].LastSeen.Equal(_now) {
		t.Errorf("span %+v, want all of it now", got.Span)
	}
}

// names returns different names of a length.
func names(count, length int) []string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprintf("%0*d", length, i))
	}
	return all
}

// The largest copies, questions and answers fit into a datagram.
func TestLargestOriginsFit(t *testing.T) {
	ids := names(news.MaxOrigins, _longestID)
	service, build := strings.Repeat("s", _longestName), strings.Repeat("b", _longestName)
	var records []origin.Record
	for _, id := range ids {
		records = append(records, origin.Record{Request: id, Origin: originOf(service, build), Until: _now.Add(time.Hour)})
	}
	for name, o := range map[string]*news.Origins{
		"records":   {Host: "edge-austin-a-1", Records: records},
		"questions": {Host: "edge-austin-a-1", Questions: ids, ReplyTo: "10.1.0.19:7200"},
		"unknown":   {Host: "edge-austin-a-1", Unknown: ids},
	} {
		b, err := news.EncodeOrigins(o, _now)
		if err != nil || len(b) > _maxDatagram {
			t.Errorf("%s: %d bytes, %v; want %d at most", name, len(b), err, _maxDatagram)
		}
		if got, err := news.Decode(b, _now); err != nil || !reflect.DeepEqual(got.Origins, o) {
			t.Errorf("%s: %+v, %v; want %+v", name, got.Origins, err, o)
		}
	}
}

// An answer was longer than a datagram, and lost, when there were hundreds of builds in service.
func TestAnswerWithManyBuildsFits(t *testing.T) {
	o := &news.Origins{Host: "edge-austin-a-1", Unknown: names(1, _longestID), Span: origin.Span{Since: _now.Add(-10 * time.Minute)}}
	for _, name := range names(300, _longestName) {
		o.Span.Builds = append(o.Span.Builds, origin.InService{Origin: originOf(name, "2.8.1"), LastSeen: _now})
	}
	b, err := news.EncodeOrigins(o, _now)
	if err != nil || len(b) > _maxDatagram {
		t.Fatalf("%d bytes, %v; want %d at most", len(b), err, _maxDatagram)
	}
	got, err := news.Decode(b, _now)
	if err != nil || !reflect.DeepEqual(got.Origins.Unknown, o.Unknown) {
		t.Errorf("%+v, %v; want the answer", got.Origins, err)
	}
	// A span without some of its builds would let a stream go on at a wrong one.
	if span := got.Origins.Span; !span.Since.IsZero() && !reflect.DeepEqual(span, o.Span) {
		t.Errorf("a span of %d builds, want all or no span", len(span.Builds))
	}
}

// Hosts that know no claims take them for requests of which they have no record.
func TestClaimsAreQuestionsToOlderHosts(t *testing.T) {
	claim := origin.Claim{Stream: "r1", By: "r2", Scope: origin.ScopeOf("check", "travis"), Event: 12}
	want := &news.Origins{Host: "edge-austin-a-1", Questions: []string{"r1"}, ReplyTo: "10.1.0.19:7200", Claims: []origin.Claim{claim, {Stream: "r3", Event: origin.NoEvent}}}
	if got := roundTrip(t, want, _now, _now); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	b, err := news.EncodeOrigins(want, _now)
	if err != nil {
		t.Fatal(err)
	}
	var older struct {
		_         struct{} `cbor:",toarray"`
		Host      string
		Records   []any
		Questions []string
		ReplyTo   string
		Unknown   []string
		HasSpan   bool
		SpanMs    int64
		Builds    []any
	}
	if err := cbor.Unmarshal(b[1:], &older); err != nil {
		t.Fatal(err)
	}
	if len(older.Questions) != 3 || older.Questions[0] != "r1" || older.ReplyTo != want.ReplyTo {
		t.Errorf("an older host is asked %q, to reply to %q", older.Questions, older.ReplyTo)
	}
}
