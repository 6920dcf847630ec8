package front

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
)

// endless is a body that never stops.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Whatever the order in which endless bodies are read, an answer of the usual length finds
// room, and all together never use more than the limit.
func TestShortAnswerFindsRoomBesideEndlessBodies(t *testing.T) {
	const (
		limitBytes = 4 << 20
		bodies     = limitBytes/_shortAnswersShare/_shortAnswerBytes - 1
		longest    = 64 << 10
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		limit := newBufferLimit(limitBytes)
		var open []*share
		var readers []io.Reader
		for range bodies {
			s := &share{limit: limit}
			open, readers = append(open, s), append(readers, s.reader(endless{}))
		}
		for range 4000 {
			_, _ = readers[random.IntN(bodies)].Read(make([]byte, 1+random.IntN(longest)))
			used := int64(0)
			for _, s := range open {
				used += s.used
			}
			if used > limitBytes {
				t.Fatalf("seed %d: %d bytes are used, want at most %d", seed, used, limitBytes)
			}
		}
		if err := readShort(limit); err != nil {
			t.Errorf("seed %d: a short answer beside endless bodies: %v", seed, err)
		}
	}
}

// readShort reads an answer of 10 kB.
func readShort(limit *bufferLimit) error {
	s := &share{limit: limit}
	defer s.release()
	body := strings.Repeat("x", 10_000)
	got, err := io.ReadAll(s.reader(strings.NewReader(body)))
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	if string(got) != body {
		return errors.New("the answer is not what was sent")
	}
	return nil
}
