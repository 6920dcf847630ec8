package proof_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The streams of the soak that callers take up at other hosts.

const (
	// _soakBuilds is the number of builds of the endpoints.
	_soakBuilds = 2
	// One in _soakBrokenFeeds streams breaks off at its endpoint, and one in _soakLeftFeeds at
	// its caller.
	_soakBrokenFeeds = 13
	_soakLeftFeeds   = 11
	_soakFeedTries   = 4
	// The users' bounds for streams that hold events of two builds, and for those taken up.
	_soakMaxJoined   = 2
	_soakMinTakenUp  = 12
	_soakMinGoesOn   = 0.5 // of the share of new streams that begin
	_soakMinOfABuild = 2
)

// soakFeeds counts the streams that callers take up, where their host was in touch.
type soakFeeds struct {
	// joined holds the streams that hold events of two builds, at any host.
	joined []string
	// asked counts new streams and begun those that began. takenUp counts the first
	// take-ups while enough endpoints of their build served, and wentOn those that went on.
	asked, begun, takenUp, wentOn int
}

// check checks the users' bounds, in tests of their own.
func (f *soakFeeds) check(t *testing.T) {
	t.Run("builds", func(t *testing.T) {
		if n := len(f.joined); n > _soakMaxJoined {
			t.Errorf("%d streams hold events of two builds, want at most %d; the first: %q", n, _soakMaxJoined, f.joined[0])
		}
	})
	t.Run("take-ups", func(t *testing.T) {
		t.Logf("%d of %d streams began, %d of %d that were taken up went on", f.begun, f.asked, f.wentOn, f.takenUp)
		if f.takenUp < _soakMinTakenUp {
			return
		}
		began, wentOn := float64(f.begun)/float64(f.asked), float64(f.wentOn)/float64(f.takenUp)
		if wentOn < _soakMinGoesOn*began {
			t.Errorf("%.2f of the streams taken up went on, and %.2f of new streams began", wentOn, began)
		}
	})
}

// soakEvent returns the n-th event of a stream, which names the build that wrote it.
func soakEvent(build, path string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", n, build, path, n)
}

// soakStreamText returns a whole stream of one build.
func soakStreamText(build, path string) string {
	text := ""
	for n := range _routedEvents {
		text += soakEvent(build, path, n)
	}
	return text
}

// soakBuild returns the build of the first event of a stream.
func soakBuild(text string) string {
	_, data, _ := strings.Cut(text, "data: ")
	build, _, _ := strings.Cut(data, " ")
	return build
}

// soakFeed is a stream of a caller, over all its tries.
type soakFeed struct {
	path string
	// text holds the complete events that the caller has, events their number.
	text   string
	events int
	// firstID is the ID of the try that brought the first event.
	firstID string
}

// add adds what a try brought. It returns an error if the events are not those of the stream,
// whatever their builds.
func (f *soakFeed) add(id, text string) error {
	text = text[:strings.LastIndex("\n\n"+text, "\n\n")]
	for event := range strings.SplitAfterSeq(text, "\n\n") {
		if event == "" {
			continue
		}
		if want := soakEvent(soakBuild(event), f.path, f.events); event != want {
			return fmt.Errorf("%s got %q, want %q", id, event, want)
		}
		if f.events == 0 {
			f.firstID = id
		}
		f.text += event
		f.events++
	}
	return nil
}

// isJoined reports whether the events are of several builds.
func (f *soakFeed) isJoined() bool {
	return !strings.HasPrefix(soakStreamText(soakBuild(f.text), f.path), f.text)
}

// callFeed asks a host for a stream, and takes it up at the next hosts when it breaks off.
func (r *soakRun) callFeed(transport *http.Transport, host, caller, number int) {
	f := &soakFeed{path: fmt.Sprintf("/feed/%d-%d-%d", host, caller, number)}
	client := &http.Client{Transport: transport}
	wasJoined, takenUp := false, false
	for try := range _soakFeedTries {
		at := (host + try) % len(r.hosts)
		id := fmt.Sprintf("feed-%d-%d-%d-%d", at, caller, number, try)
		sentAt, before, serving := time.Now(), f.events, r.countOfBuild(soakBuild(f.text))
		done := r.tryFeed(client, at, id, f, try == 0 && number%_soakLeftFeeds == 0)
		r.mu.Lock()
		if !wasJoined && f.isJoined() {
			wasJoined = true
			r.feeds.joined = append(r.feeds.joined, f.text)
		}
		if !r.hosts[at].excused(sentAt.Add(-_soakContact), time.Now()) {
			switch {
			case try == 0:
				r.feeds.asked++
				r.feeds.begun += min(f.events, 1)
			case before > 0 && !takenUp && serving >= _soakMinOfABuild:
				r.feeds.takenUp++
				r.feeds.wentOn += min(f.events-before, 1)
			}
		}
		r.mu.Unlock()
		takenUp = takenUp || before > 0
		if done || f.events == _routedEvents || r.deadline.Err() != nil {
			return
		}
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		time.Sleep(20 * time.Millisecond)
	}
}

// countOfBuild returns how many endpoints of a build serve and are not leaving.
func (r *soakRun) countOfBuild(build string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, e := range r.endpoints {
		if e.build == build && !e.leaving {
			count++
		}
	}
	return count
}

// tryFeed asks a host for the events that the caller lacks, or with leaves for half of them. It
// returns true if the caller has all of them, or if what it got is wrong.
func (r *soakRun) tryFeed(client *http.Client, host int, id string, f *soakFeed, leaves bool) (done bool) {
	var headers []string
	if f.events > 0 {
		headers = []string{"Resumes: " + f.firstID, fmt.Sprint("Last-Event-Id: ", f.events-1)}
	}
	res := r.send(client, host, id, f.path, headers...)
	if res == nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	limit := int64(1 << 20)
	if leaves {
		limit = int64(len(soakStreamText("v0", f.path)) / 2)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit))
	if int64(len(body)) == limit {
		err = io.ErrUnexpectedEOF
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch res.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		r.notRun[id] = true
		return false
	case http.StatusOK:
	default:
		return false
	}
	wrong := f.add(id, string(body))
	if wrong == nil && err == nil && (f.events != _routedEvents || !strings.HasSuffix(string(body), "\n\n")) {
		wrong = fmt.Errorf("%s ended as complete after %d events", id, f.events)
	}
	if wrong != nil {
		r.violations = append(r.violations, wrong.Error())
		return true
	}
	if err == nil {
		r.served++
	}
	return err == nil
}
