package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
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
	// _shortAnswerBytes is the length up to which an answer counts as short. Only the bytes
	// of short answers and the first ones of longer answers may use the last quarter of the
	// limit, so that short answers find room beside endless ones.
	_shortAnswerBytes  = 16 << 10
	_shortAnswersShare = 4
)

// errBuffersFull means that what is being read takes too much memory.
var errBuffersFull = errors.New("what is being read uses too much memory")

// errNoBuffer means that there is no room for an answer whose length is within the limit, so that the endpoint is not to blame.
var errNoBuffer = fmt.Errorf("an answer of usual length: %w", errBuffersFull)

// bufferLimit bounds the bytes of all answers that are read completely before they are
// relayed and of events that are not complete, or of all bodies of requests. It is safe for concurrent use.
type bufferLimit struct {
	bytes int64
	left  atomic.Int64
}

func newBufferLimit(bytes int64) *bufferLimit {
	if bytes <= 0 {
		bytes = _defaultBufferBytes
	}
	l := &bufferLimit{bytes: bytes}
	l.left.Store(bytes)
	return l
}

// take takes n bytes for an answer that uses used bytes already, and reports whether there
// is room. A long answer may not use more than is left for all others, the last quarter of
// the limit not counted.
func (l *bufferLimit) take(used, n int64) bool {
	for {
		left := l.left.Load()
		rest := left - n
		if used+n > _shortAnswerBytes {
			rest -= l.bytes/_shortAnswersShare + used + n
		}
		if rest < 0 {
			return false
		}
		if l.left.CompareAndSwap(left, left-n) {
			return true
		}
	}
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

// resize takes or returns room so that the request uses n bytes. It returns false if there is none.
func (s *share) resize(n int64) bool {
	if n > s.used && !s.limit.take(s.used, n-s.used) {
		return false
	}
	if n < s.used {
		s.limit.left.Add(s.used - n)
	}
	s.used = n
	return true
}

// reader returns a reader of r that takes what it reads from the limit.
func (s *share) reader(r io.Reader) io.Reader { return &shareReader{share: s, reader: r} }

type shareReader struct {
	share  *share
	reader io.Reader
}

// Read reads, or fails with errBuffersFull if there is no room. The room is taken before the
// bytes are read, since many answers may be read at the same moment.
func (r *shareReader) Read(p []byte) (int, error) {
	s := r.share
	most := int64(_shortAnswerBytes)
	if s.used < _shortAnswerBytes {
		most -= s.used
	}
	p = p[:min(int64(len(p)), most)]
	if !s.limit.take(s.used, int64(len(p))) {
		return 0, errBuffersFull
	}
	n, err := r.reader.Read(p)
	s.used += int64(n)
	s.limit.left.Add(int64(len(p) - n))
	return n, err
}

// readBuffered reads a complete answer.
func (e *exchange) readBuffered(answer *links.Answer) (*bufferedAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(e.buffered.reader(answer), _maxBufferedBytes+1))
	if err != nil {
		e.buffered.release() // a further try needs the room
		if errors.Is(err, errBuffersFull) && answer.ContentLength >= 0 && answer.ContentLength <= _maxBufferedBytes {
			err = errNoBuffer
		}
		return nil, fmt.Errorf("read the answer's body: %w", err)
	}
	if len(body) > _maxBufferedBytes {
		e.buffered.release()
		return nil, fmt.Errorf("the answer is longer than %d bytes", _maxBufferedBytes)
	}
	// An endpoint that has nothing to send says so by a length; one that fails may close the
	// connection after the header.
	if len(body) == 0 && !answer.Framed() && answer.StatusCode < http.StatusMultipleChoices && e.incoming.Method != http.MethodHead {
		return nil, errors.New("the connection was closed after the answer's header")
	}
	return &bufferedAnswer{status: answer.StatusCode, header: answer.Header, body: body}, nil
}
