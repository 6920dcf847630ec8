package news_test

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/await"
	"apricotproxy/core/procs/gossip"
	"apricotproxy/core/procs/origin"
	"apricotproxy/core/procs/pace"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/procs/poison"
	"apricotproxy/io/news"
)

var _now = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

// single returns the only datagram of a message.
func single(datagrams [][]byte, err error) ([]byte, error) {
	if len(datagrams) != 1 {
		return nil, fmt.Errorf("%d datagrams, want 1: %w", len(datagrams), err)
	}
	return datagrams[0], err
}

func message(others, loads int) *news.Message {
	m := &news.Message{
		Heartbeat: gossip.Heartbeat{
			From:        gossip.Contact{Host: "edge-austin-a-1", Heartbeat: "10.1.0.19:7200", Documents: "10.1.0.19:8748", DataCentre: "austin-a"},
			Incarnation: 1_760_000_000_000_000_000, CanReadStore: true, Reaches: true,
			SyncStatus: gossip.SyncStatus{Epoch: 2, Version: 31, Kept: 1, CompleteSince: 3900, AsOf: 4012, Changed: 4000, Age: 300 * time.Millisecond},
		},
		Loads: make(map[string]place.Load),
	}
	for range others {
		m.KnownHosts = append(m.KnownHosts, m.From)
	}
	for i := range loads {
		m.Loads[fmt.Sprintf("i-%010x", i)] = place.Load{Runs: 3, Tokens: 11_000, Prefill: 2900}
	}
	return m
}

func TestMessageRoundTrip(t *testing.T) {
	want := message(4, 7)
	want.Poison = poison.Report{
		Losses:    []poison.Loss{{Endpoint: "i-845a0314c1", Request: "91bd3f06", Parts: []string{"5c1e07a2", "e4402b7d"}, At: _now.Add(-time.Second)}},
		Successes: []poison.Success{{Part: "5c1e07a2", At: _now.Add(-time.Minute)}},
		Blocks:    []poison.Block{{Parts: []string{"e4402b7d"}, Since: _now.Add(-time.Hour), Until: _now.Add(time.Minute)}},
	}
	b, err := single(news.Encode(want, _now))
	if err != nil {
		t.Fatal(err)
	}
	got, err := news.Decode(b, _now)
	if err != nil || !reflect.DeepEqual(got, news.Datagram{Message: want}) {
		t.Errorf("%+v, %v; want %+v", got.Message, err, want)
	}
}

func TestRateLimitsRoundTrip(t *testing.T) {
	want := &news.RateLimits{Host: "edge-austin-a-1", Limits: []place.EndpointRateLimit{
		{Key: core.EndpointKey{ID: "i-845a0314c1", Born: _now}, RateLimit: place.RateLimit{PerSecond: 3.6, IsNamed: true, SaidAt: _now.Add(-time.Second)}},
		{Key: core.EndpointKey{ID: "i-98fbdc470e", Born: _now}, RateLimit: place.RateLimit{SaidAt: _now}},
	}}
	b, err := news.EncodeRateLimits(want, _now)
	if err != nil {
		t.Fatal(err)
	}
	got, err := news.Decode(b, _now)
	if err != nil || !reflect.DeepEqual(got, news.Datagram{RateLimits: want}) {
		t.Errorf("%+v, %v; want %+v", got.RateLimits, err, want)
	}
	want.Limits = append(want.Limits, place.EndpointRateLimit{RateLimit: place.RateLimit{PerSecond: math.NaN(), IsNamed: true}})
	if b, err = news.EncodeRateLimits(want, _now); err != nil {
		t.Fatal(err)
	}
	if got, err = news.Decode(b, _now); err != nil || len(got.RateLimits.Limits) != 2 {
		t.Errorf("%+v, %v; want no limit that is not a number", got.RateLimits, err)
	}
}

func TestBrittleRoundTrip(t *testing.T) {
	want := &news.Brittle{Host: "edge-austin-a-1", Endpoints: []place.EndpointBrittleness{
		{Key: core.EndpointKey{ID: "i-845a0314c1", Born: _now}, Brittleness: place.Brittleness{Refusals: 3, IsNamed: true, SaidAt: _now.Add(-time.Second)}},
		{Key: core.EndpointKey{ID: "i-98fbdc470e", Born: _now}, Brittleness: place.Brittleness{SaidAt: _now}},
	}}
	b, err := news.EncodeBrittle(want, _now)
	if err != nil {
		t.Fatal(err)
	}
	got, err := news.Decode(b, _now)
	if err != nil || !reflect.DeepEqual(got, news.Datagram{Brittle: want}) {
		t.Errorf("%+v, %v; want %+v", got.Brittle, err, want)
	}
	want.Endpoints = append(want.Endpoints, place.EndpointBrittleness{Brittleness: place.Brittleness{Refusals: -1, IsNamed: true}})
	if b, err = news.EncodeBrittle(want, _now); err != nil {
		t.Fatal(err)
	}
	if got, err = news.Decode(b, _now); err != nil || len(got.Brittle.Endpoints) != 2 {
		t.Errorf("%+v, %v; want no negative number", got.Brittle, err)
	}
}

func TestRequestsRoundTrip(t *testing.T) {
	key := core.EndpointKey{ID: "i-845a0314c1", Born: _now}
	digest := poison.DigestOf("POST", "h", "/a/", "w", nil)
	want := &news.Requests{Host: "edge-austin-a-1", DataCentre: "austin-a", Report: poison.RequestReport{
		Losses:    []poison.RequestLoss{{Request: digest, Endpoint: key, SentAt: _now.Add(-3 * time.Second), At: _now.Add(-2 * time.Second)}},
		Answers:   []poison.EndpointAnswer{{Endpoint: key, At: _now.Add(-time.Second)}},
		Successes: []poison.RequestSuccess{{Request: digest, At: _now}},
	}}
	b, err := single(news.EncodeRequests(want, _now))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := news.Decode(b, _now); err != nil || !reflect.DeepEqual(got, news.Datagram{Requests: want}) {
		t.Errorf("%+v, %v; want %+v", got.Requests, err, want)
	}
	for len(want.Report.Losses) < 64 {
		want.Report.Losses = append(want.Report.Losses, want.Report.Losses[0])
	}
	if b, err = single(news.EncodeRequests(want, _now)); err != nil || len(b) > 4<<10 {
		t.Errorf("%d bytes for the largest number of losses, %v; want 4 kB at most", len(b), err)
	}
}

// The datagram for one changed load must be small: it is sent twice for each generation,
// to each host of the data centre.
func TestLoadUpdateRoundTrip(t *testing.T) {
	const maxBytes = 80
	want := &news.LoadUpdate{
		Host: "edge-austin-a-1", Incarnation: 1_760_000_000_000_000_000,
		Loads: map[string]place.Load{"i-845a0314c1": {Runs: 3, Tokens: 11_000, Prefill: 2900}},
	}
	b, err := news.EncodeLoadUpdate(want)
	if err != nil || len(b) > maxBytes {
		t.Fatalf("%d bytes, %v; want %d at most", len(b), err, maxBytes)
	}
	got, err := news.Decode(b, _now)
	if err != nil || !reflect.DeepEqual(got, news.Datagram{LoadUpdate: want}) {
		t.Errorf("%+v, %v; want %+v", got.LoadUpdate, err, want)
	}
}

// A heartbeat fits into a datagram at any number of endpoints, and reports the busiest
// ones.
func TestMessageFitsADatagram(t *testing.T) {
	m := message(4, 2000)
	m.Loads["i-busy"] = place.Load{Runs: 1, Prefill: 1 << 20}
	b, err := single(news.Encode(m, _now))
	if err != nil || len(b) > 16<<10 {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
	if got, err := news.Decode(b, _now); err != nil || got.Message.Loads["i-busy"].Prefill != 1<<20 {
		t.Errorf("the load of the busiest endpoint is missing: %v", err)
	}
}

// Each datagram of a heartbeat can be received whatever parts callers name, and all of them together tell each part of each loss.
func TestLargestReportFits(t *testing.T) {
	for name, length := range map[string]func(n int) int{
		"up to 99 bytes long":  func(n int) int { return n },
		"all of one length":    func(int) int { return 32 },
		"as long as a SHA-256": func(int) int { return 64 },
	} {
		t.Run(name, func(t *testing.T) {
			d := poison.New()
			for i := range 100 {
				var parts []string
				for n := range 100 {
					parts = append(parts, fmt.Sprintf("%d%s", n, strings.Repeat("x", length(n))))
				}
				loss := poison.Loss{Endpoint: fmt.Sprintf("i-%010x", i), Request: fmt.Sprint(i, strings.Repeat("y", 9000)), Parts: parts, At: _now}
				d.RecordLoss(_now, loss)
			}
			d.Settle(_now.Add(time.Second))
			m := message(24, 256)
			m.Poison = d.Report(_now.Add(time.Second), true)
			if len(m.Poison.Blocks) == 0 {
				t.Error("no block is reported")
			}
			datagrams, err := news.Encode(m, _now)
			if err != nil {
				t.Fatal(err)
			}
			checkReport(t, datagrams, &m.Poison)
		})
	}
}

func checkReport(t *testing.T, datagrams [][]byte, want *poison.Report) {
	t.Helper()
	parts, blocks := make(map[string]int), 0
	for i, b := range datagrams {
		got, err := news.Decode(b, _now)
		if err != nil || len(b) > 16<<10 {
			t.Fatalf("datagram %d has %d bytes, %v; want at most 16 kB", i, len(b), err)
		}
		if hasLoads := got.Message.Loads != nil; hasLoads != (i == 0) {
			t.Errorf("datagram %d has loads: %t; want them in the first only", i, hasLoads)
		}
		for _, loss := range got.Message.Poison.Losses {
			parts[loss.Endpoint] += len(loss.Parts)
		}
		blocks += len(got.Message.Poison.Blocks)
	}
	if blocks != len(want.Blocks) {
		t.Errorf("%d blocks arrive, want %d", blocks, len(want.Blocks))
	}
	for _, loss := range want.Losses {
		if parts[loss.Endpoint] != len(loss.Parts) {
			t.Errorf("%d parts of the loss of %s arrive, want %d", parts[loss.Endpoint], loss.Endpoint, len(loss.Parts))
		}
	}
}

// A report on requests arrives whole, too, with hundreds of parts in each.
func TestLargestRequestReportFits(t *testing.T) {
	want := &news.Requests{Host: "edge-austin-a-1"}
	for i := range 4 {
		parts := make([]string, 400)
		for n := range parts {
			parts[n] = fmt.Sprintf("%032d", n)
		}
		want.Report.Losses = append(want.Report.Losses, poison.RequestLoss{
			Request: poison.DigestOf("POST", "h", fmt.Sprint("/a/", i), "w", nil), Endpoint: core.EndpointKey{ID: fmt.Sprint("i-", i), Born: _now}, Parts: parts, SentAt: _now, At: _now,
		})
	}
	datagrams, err := news.EncodeRequests(want, _now)
	if err != nil {
		t.Fatal(err)
	}
	arrived := 0
	for i, b := range datagrams {
		got, err := news.Decode(b, _now)
		if err != nil || len(b) > 16<<10 {
			t.Fatalf("datagram %d has %d bytes, %v; want at most 16 kB", i, len(b), err)
		}
		for _, loss := range got.Requests.Report.Losses {
			arrived += len(loss.Parts)
		}
	}
	if arrived != 4*400 {
		t.Errorf("%d parts arrive, want %d", arrived, 4*400)
	}
}

// Paces arrive as they were sent, to a hundredth. A report of as many engines as one may have fits
// into a datagram, and a report that cannot be right changes nothing.
func TestPacesRoundTrip(t *testing.T) {
	want := &news.Paces{Host: "edge-austin-a-1", DataCentre: "austin-a"}
	for i := range pace.MaxReports {
		want.Reports = append(want.Reports, pace.Report{
			Key:  core.EndpointKey{ID: fmt.Sprintf("i-845a0314c1%03d", i), Born: _now},
			Sums: pace.Sums{Pauses: 200, LogPause: 800, Runs: 1500, Reading: 50, Exceeded: 3, Expected: 1.25},
		})
	}
	b, err := news.EncodePaces(want)
	if err != nil || len(b) > 16<<10 {
		t.Fatalf("%d bytes, %v; want at most 16 kB", len(b), err)
	}
	if got, err := news.Decode(b, _now); err != nil || !reflect.DeepEqual(got, news.Datagram{Paces: want}) {
		t.Errorf("%+v, %v; want %+v", got.Paces, err, want)
	}
	want.Reports = append(want.Reports[:1], pace.Report{Sums: pace.Sums{Pauses: 1, LogPause: 99}})
	if b, err = news.EncodePaces(want); err != nil {
		t.Fatal(err)
	}
	got, err := news.Decode(b, _now)
	if err != nil || len(got.Paces.Reports) != 2 {
		t.Fatalf("%+v, %v", got.Paces, err)
	}
	s := pace.NewEstimator()
	e := s.Engine(core.EndpointKey{})
	s.Merge(_now, got.Paces.Reports[1], false)
	if s.Slowness(_now, e) != 1 {
		t.Error("a pause of years was merged")
	}
}

func TestPull(t *testing.T) {
	documents := []core.Document{
		{Name: "op", Epoch: 2, Revision: 7, Value: []byte("text")},
		{Name: "long", Epoch: 2, Revision: 8, Value: []byte(strings.Repeat("a route, ", 10_000))},
		{Name: "gone", Epoch: 1, Revision: 9, Deleted: true},
	}
	server := httptest.NewServer(news.Handler(func(p news.Position) news.PullResult {
		return news.PullResult{Documents: documents, Epoch: p.Epoch, AsOf: p.AsOf + p.Version, Whole: true, Age: time.Second}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := news.NewClient(http.DefaultTransport)
	got, err := client.Pull(context.Background(), address, news.Position{Epoch: 3, AsOf: 40, Version: 2})
	if err != nil || got.Epoch != 3 || got.AsOf != 42 || !got.Whole || got.Age != time.Second || !reflect.DeepEqual(got.Documents, documents) {
		t.Errorf("%+v, %v", got, err)
	}
	if got.Bytes > 10_000 {
		t.Errorf("%d bytes were sent for a document of %d that is easy to compress", got.Bytes, len(documents[1].Value))
	}
	for _, query := range []string{"epoch=1&version=1&after=x", "epoch=x&after=1&version=1", "epoch=1&after=1"} {
		res, err := http.Get(server.URL + "/documents?" + query)
		if err != nil || res.StatusCode != http.StatusBadRequest {
			t.Errorf("a request with the query %s got %v, %v", query, res, err)
		}
		_ = res.Body.Close()
	}
}

func FuzzDecode(f *testing.F) {
	b, err := single(news.Encode(message(2, 2), _now))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	change, err := news.EncodeLoadUpdate(&news.LoadUpdate{Host: "h", Incarnation: 1, Loads: map[string]place.Load{"e": {Runs: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(change)
	limits, err := news.EncodeRateLimits(&news.RateLimits{Host: "h", Limits: []place.EndpointRateLimit{{RateLimit: place.RateLimit{PerSecond: 3, IsNamed: true, SaidAt: _now}}}}, _now)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(limits)
	requests, err := single(news.EncodeRequests(&news.Requests{Host: "h", Report: poison.RequestReport{Losses: []poison.RequestLoss{{SentAt: _now, At: _now}}}}, _now))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(requests)
	origins, err := news.EncodeOrigins(&news.Origins{
		Host: "h", Records: []origin.Record{{Request: "r1", Origin: originOf("desk", "v1"), Until: _now}}, Questions: []string{"r2"}, ReplyTo: "a", Unknown: []string{"r3"},
		Span: origin.Span{Since: _now, Builds: []origin.InService{{Origin: originOf("desk", "v1"), LastSeen: _now}}},
	}, _now)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(origins)
	paces, err := news.EncodePaces(&news.Paces{Host: "h", Reports: []pace.Report{{Sums: pace.Sums{Pauses: 2, LogPause: 8}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(paces)
	demand, err := news.EncodeDemand(&news.Demand{Host: "h", Demand: await.Demand{{Service: "s", Workspace: "w"}: {Asked: 2, Soon: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(demand)
	brittle, err := news.EncodeBrittle(&news.Brittle{Host: "h", Endpoints: []place.EndpointBrittleness{{Brittleness: place.Brittleness{Refusals: 3, IsNamed: true, SaidAt: _now}}}}, _now)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(brittle)
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := news.Decode(b, _now)
		n := 0
		for _, isSet := range []bool{d.Message != nil, d.LoadUpdate != nil, d.RateLimits != nil, d.Requests != nil, d.Origins != nil, d.Paces != nil, d.Demand != nil, d.Brittle != nil} {
			if isSet {
				n++
			}
		}
		if err == nil && n != 1 || err != nil && n != 0 {
			t.Errorf("decoded %+v with error %v, want exactly one field or an error", d, err)
		}
		if d.Message != nil && d.Message.From.Host == "" {
			t.Error("a heartbeat without a sender was accepted")
		}
	})
}

// The cost of encoding and decoding one changed load, and its size.
func BenchmarkLoadUpdate(b *testing.B) {
	change := &news.LoadUpdate{
		Host: "edge-austin-a-1", Incarnation: 1_760_000_000_000_000_000,
		Loads: map[string]place.Load{"i-845a0314c1": {Runs: 3, Tokens: 11_000, Prefill: 2900}},
	}
	var datagram []byte
	for b.Loop() {
		var err error
		if datagram, err = news.EncodeLoadUpdate(change); err != nil {
			b.Fatal(err)
		}
		if _, err := news.Decode(datagram, _now); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(datagram)), "bytes")
}

// The cost of encoding and decoding a heartbeat, and its size, by the number of loads.
func BenchmarkMessage(b *testing.B) {
	for _, size := range []struct{ others, loads int }{{4, 2}, {4, 8}, {4, 72}, {4, 600}} {
		b.Run(fmt.Sprint(size.loads, "Loads"), func(b *testing.B) {
			m := message(size.others, size.loads)
			var datagram []byte
			for b.Loop() {
				var err error
				if datagram, err = single(news.Encode(m, _now)); err != nil {
					b.Fatal(err)
				}
				if _, err := news.Decode(datagram, _now); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(datagram)), "bytes")
		})
	}
}

// A demand arrives as it was sent, to within the units of its counts.
func TestDemandRoundTrip(t *testing.T) {
	want := &news.Demand{Host: "edge-austin-a-1", DataCentre: "austin", Incarnation: 7, Demand: await.Demand{
		{Service: "drafting", Priority: 2}:    {Asked: 4, Soon: 2.5, Served: 3, LargeAsked: 1, LargeSoon: 0.25, Tokens: 4 * 3000, Squares: 4 * (3000*3000 + 800*800)},
		{Service: "drafting"}:                 {Asked: 2, Soon: 2, Served: 2, Tokens: 2 * 2200, Squares: 2 * 2200 * 2200},
		{Service: "drafting", Workspace: "w"}: {Asked: 1, Soon: 0.5},
	}}
	b, err := news.EncodeDemand(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := news.Decode(b, _now); err != nil || !reflect.DeepEqual(got, news.Datagram{Demand: want}) {
		t.Errorf("%+v, %v; want %+v", got.Demand, err, want)
	}
	if len(b) > 150 {
		t.Errorf("%d bytes for three kinds", len(b))
	}
}
