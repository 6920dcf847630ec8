package entry_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"apricotproxy/fakes/cutoff"
)

// _cutAtOnce bounds the time until the first attempt at a stream that was taken up is cut.
const _cutAtOnce = 500 * time.Millisecond

// A host went on with a stream that was taken up at another host, since its connection to the caller was still open.
func TestTakeUpAtAnotherHostEndsTheAttemptBefore(t *testing.T) {
	s := newBuildSite(newSite(t, 3), "v1", "v2")
	s.waitReady([]string{"v1", "v2"}, 0, 1, 2)
	streams := s.begin(0, _enginesPerBuild)
	for _, b := range streams {
		text := make([]byte, len(pieceText("v1", 0, _piecesBeforeBreak-1)))
		if _, err := io.ReadFull(b.body, text); err != nil {
			t.Fatal(err)
		}
		b.build, b.last = buildOf(string(text)), _piecesBeforeBreak-1
	}
	s.wantGoesOn(streams, 1, 2)
	began := time.Now()
	for _, b := range streams {
		if rest, err := io.ReadAll(b.body); err == nil || time.Since(began) > _cutAtOnce {
			t.Errorf("stream %s was taken up, and its first attempt brought %d bytes more until %v after, %v; want it cut at once",
				b.id, len(rest), time.Since(began), err)
		}
	}
}

// A host that served a stream for another one went on with it, when that one had lost the connection and gone on elsewhere.
func TestRunOfRelayedStreamIsEnded(t *testing.T) {
	s := newCutSite(t, 3)
	time.Sleep(2 * time.Second) // a host that has just started makes no retries
	var links []*cutoff.Half
	for _, other := range s.Settings[1:] {
		link, err := cutoff.StartHalf(other.PeerAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		s.dialers[_cutHost].redirected.Store(other.PeerAddress, link.Address)
		links = append(links, link)
	}
	s.cutOff(_cutHost)
	answer, err := s.open(s.front[_cutHost], "/check/watched", "Key: "+_cutKey, "Tokens: 3000,32")
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v; want 200", answer, err)
	}
	defer func() { _ = answer.Body.Close() }()
	begun := make([]byte, len(pieceText("v1", 0, _longEvents/3)))
	if _, err := io.ReadFull(answer.Body, begun); err != nil {
		t.Fatal(err)
	}
	for _, link := range links {
		link.ResetNear()
	}
	select {
	case <-s.left:
	case <-time.After(_cutAtOnce):
		t.Error("the first run was not ended at once")
	}
	rest, err := io.ReadAll(answer.Body)
	if text := string(begun) + string(rest); err != nil || text != pieceText("v1", 0, _longEvents-1) {
		t.Errorf("a stream of %d bytes, %v; want all events once", len(text), err)
	}
}
