package front

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"apricotproxy/io/links"
)

const (
	// _maxBufferedBytes bounds an answer that is not a stream. Such an answer is read
	// completely before it is relayed, so that one that breaks off is never taken for
	// a complete one.
	_maxBufferedBytes = 8 << 20
	// _defaultBufferBytes bounds all such answers together if the configuration does not.
	_defaultBufferBytes = 64 << 20
)

// errBuffersFull means that the answers that are being read take too much memory.
var errBuffersFull = errors.New("the answers that are being read use too much memory")

// bufferLimit bounds the bytes of all answers that are read completely before they are
// relayed. It is safe for concurrent use.
type bufferLimit struct{ left atomic.Int64 }

func newBufferLimit(bytes int64) *bufferLimit {
	if bytes <= 0 {
		bytes = _defaultBufferBytes
	}
	l := &bufferLimit{}
	l.left.Store(bytes)
	return l
}

// share is the part of a bufferLimit that one request uses.
type share struct {
	limit *bufferLimit
	used  int64
}

// release returns what the request used.
func (s *share) release() {
	s.limit.left.Add(s.used)
	s.used = 0
}

// reader returns a reader of r that takes what it reads from the limit.
func (s *share) reader(r io.Reader) io.Reader { return &shareReader{share: s, reader: r} }

type shareReader struct {
	share  *share
	reader io.Reader
}

// Read reads, or fails with errBuffersFull once the request uses more than is left for all
// others. The longest answers fail first, so that short ones still find room.
func (r *shareReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.share.used += int64(n)
	if left := r.share.limit.left.Add(-int64(n)); r.share.used > left {
		return n, errBuffersFull
	}
	return n, err
}

// readBuffered reads a complete answer.
func (e *exchange) readBuffered(answer *links.Answer) (*bufferedAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(e.buffered.reader(answer), _maxBufferedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read the answer's body: %w", err)
	}
	if len(body) > _maxBufferedBytes {
		return nil, fmt.Errorf("the answer is longer than %d bytes", _maxBufferedBytes)
	}
	return &bufferedAnswer{status: answer.StatusCode, header: answer.Header, body: body}, nil
}
