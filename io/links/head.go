package links

import "errors"

// errHeadTooLong means that an endpoint sent bytes without end where an answer was due.
var errHeadTooLong = errors.New("the answer's header is too long")

// headReader reads from a connection and bounds the bytes of a header. net/http sets no
// bound when it parses an answer.
type headReader struct {
	conn silentReader
	// bounded is true while a header is read, left is how many bytes may still be read.
	bounded bool
	left    int
}

func (r *headReader) begin(limit int) { r.bounded, r.left = true, limit }

func (r *headReader) end() { r.bounded = false }

// Read reads from the connection.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.bounded {
		return r.conn.Read(p)
	}
	if r.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := r.conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
