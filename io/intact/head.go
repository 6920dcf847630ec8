package intact

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
)

// _tokenMarks are the characters of a token in RFC 9110 beside letters and digits.
const _tokenMarks = "!#$%&'*+-.^_`|~"

// CheckNames returns an error if the name of a field is none in RFC 9110. net/http accepts blanks: it
// reads Content-Length : 5 as a field that it does not know, and the body up to the end of the connection.
func CheckNames(fields http.Header) error {
	for name := range fields {
		if name == "" || strings.ContainsFunc(name, isNoToken) {
			return fmt.Errorf("%q is no name of a field", name)
		}
	}
	return nil
}

func isNoToken(r rune) bool {
	isToken := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune(_tokenMarks, r)
	return !isToken
}

// CheckTrailer returns an error like CheckNames for the fields after an answer's body. It must be read to its
// end before.
func CheckTrailer(answer *http.Response) error {
	for name, values := range answer.Trailer {
		if values == nil { // only announced by the header
			continue
		}
		if err := CheckNames(http.Header{name: values}); err != nil {
			return err
		}
	}
	return nil
}

// Transport makes calls by another transport, and fails if CheckNames does for an answer, for a 1xx before
// it or for its trailer.
type Transport struct{ base http.RoundTripper }

// NewTransport returns a Transport that uses base.
func NewTransport(base http.RoundTripper) *Transport { return &Transport{base: base} }

// RoundTrip makes a call.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return CheckNames(http.Header(header)) },
	})
	answer, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err // as it is: http.Client looks at its type
	}
	if err := CheckNames(answer.Header); err != nil {
		err = errors.Join(fmt.Errorf("read the answer's header: %w", err), answer.Body.Close())
		t.CloseIdleConnections() // the connection is one of them if the answer had no body
		return nil, err
	}
	answer.Body = &body{ReadCloser: answer.Body, answer: answer, transport: t}
	return answer, nil
}

// CloseIdleConnections closes the idle connections of the other transport.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// body is the body of an answer. It ends with an error if the trailer is broken.
type body struct {
	io.ReadCloser
	answer    *http.Response
	transport *Transport
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if broken := CheckTrailer(b.answer); broken != nil {
			b.transport.CloseIdleConnections()
			return n, fmt.Errorf("read the answer's trailer: %w", broken)
		}
	}
	return n, err
}
