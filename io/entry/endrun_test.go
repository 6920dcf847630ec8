package entry_test

import (
	"io"
	"testing"
	"time"
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
