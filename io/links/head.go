package links

import "errors"

// errHeadTooLong means that an endpoint sent bytes without end where an answer was due.
var errHeadTooLong = errors.New("the answer's header is too long")

const (
	// _maxHeadBytes bounds one header: as much as a caller may send. A header takes several times its
	// length once it is parsed.
	_maxHeadBytes = 64 << 10
	// _maxSkippedBytes bounds the bytes that are read until the header of the request's own answer is
	// complete, answers that are skipped included.
	_maxSkippedBytes = 1 << 20
)

// headReader reads from a connection and bounds the bytes up to the end of an answer's header.
// net/http sets no bound when it parses an answer.
type headReader struct {
	conn silentReader
	// bounded is true until the header of the request's own answer is complete, inHead while a header
	// is read. left and headLeft are how many bytes may still be read in all and of this header.
	bounded, inHead bool
	left, headLeft  int
}

func (r *headReader) begin() { r.bounded, r.left = true, _maxSkippedBytes }

func (r *headReader) beginHead() { r.inHead, r.headLeft = true, _maxHeadBytes }

func (r *headReader) endHead() { r.inHead = false }

func (r *headReader) end() { r.bounded, r.inHead = false, false }

// Read reads from the connection.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.bounded {
		return r.conn.Read(p)
	}
	most := r.left
	if r.inHead {
		most = min(most, r.headLeft)
	}
	if most == 0 {
		return 0, errHeadTooLong
	}
	n, err := r.conn.Read(p[:min(len(p), most)])
	r.left -= n
	r.headLeft -= n
	return n, err
}
