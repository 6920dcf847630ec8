package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"unicode/utf8"

	"apricotproxy/core"
)

const (
	_initialBufferBytes = 512
	_maxEventBytes      = 256 << 10
)

// Stream reads the events of a generation from one connection. It is not safe for
// concurrent use.
type Stream struct {
	endpoint   core.Endpoint
	generation core.GenerationID
	body       io.ReadCloser
	onPing     func()
	ended      bool
	// buffer[start:end] holds bytes that are read but not yet parsed.
	buffer []byte
	start  int
	end    int
}

var _ core.EngineStream = (*Stream)(nil)

func newStream(endpoint core.Endpoint, generation core.GenerationID, body io.ReadCloser) *Stream {
	return &Stream{endpoint: endpoint, generation: generation, body: body}
}

// OnPing sets a function that Next calls when the engine sends an event without a
// token, such as a keep-alive comment.
func (s *Stream) OnPing(f func()) { s.onPing = f }

// Buffered reports whether a whole event is buffered, so that the next call of Next
// does not block.
func (s *Stream) Buffered() bool {
	return bytes.Contains(s.buffer[s.start:s.end], _eventEnd)
}

// Close closes the connection.
func (s *Stream) Close() error {
	if err := s.body.Close(); err != nil {
		return fmt.Errorf("close the stream: %w", err)
	}
	return nil
}

// Next blocks for the next token. It returns io.EOF after the final one, and a
// *core.EndpointError when the connection breaks, goes silent or carries an
// invalid event.
func (s *Stream) Next() (core.Token, error) {
	if s.ended {
		return core.Token{}, io.EOF
	}
	for {
		event, err := s.readEvent()
		if err != nil {
			return core.Token{}, endpointError(s.endpoint, core.ResultLost, fmt.Errorf("read the stream: %w", err))
		}
		token, kind, err := parseEvent(event, s.generation)
		if err != nil {
			return core.Token{}, endpointError(s.endpoint, core.ResultLost, fmt.Errorf("parse an event: %w", err))
		}
		if kind == eventToken {
			s.ended = token.Final
			return token, nil
		}
		if s.onPing != nil {
			s.onPing()
		}
	}
}

var _eventEnd = []byte("\n\n")

// readEvent returns the lines of the next event without the blank line that ends
// it. The slice is valid until the next call.
func (s *Stream) readEvent() ([]byte, error) {
	scanned := 0
	for {
		unparsed := s.buffer[s.start:s.end]
		if i := bytes.Index(unparsed[scanned:], _eventEnd); i >= 0 {
			event := unparsed[:scanned+i]
			s.start += scanned + i + len(_eventEnd)
			return event, nil
		}
		scanned = max(0, len(unparsed)-1)
		if err := s.fill(); err != nil {
			return nil, err
		}
	}
}

// fill reads more bytes into the buffer, which grows if it is full.
func (s *Stream) fill() error {
	if s.start > 0 {
		copy(s.buffer, s.buffer[s.start:s.end])
		s.end -= s.start
		s.start = 0
	}
	if s.end == len(s.buffer) {
		if s.end >= _maxEventBytes {
			return fmt.Errorf("an event is longer than %d bytes", _maxEventBytes)
		}
		grown := make([]byte, max(_initialBufferBytes, 2*len(s.buffer)))
		copy(grown, s.buffer[:s.end])
		s.buffer = grown
	}
	n, err := s.body.Read(s.buffer[s.end:])
	s.end += n
	if n > 0 {
		return nil
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// eventKind distinguishes events that carry a token from the others.
type eventKind uint8

const (
	eventToken   eventKind = iota + 1
	eventComment           // a comment, [DONE] or an event without data
)

// completionEvent is the data of one event in the OpenAI-compatible form.
type completionEvent struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

var (
	_idField    = []byte("id:")
	_dataField  = []byte("data:")
	_doneMarker = []byte("[DONE]")
)

// parseEvent parses the lines of one event. Unknown fields are skipped, as the
// specification of server-sent events requires.
//
//	id: g.3
//	data: {"choices":[{"index":0,"text":"a","finish_reason":null}]}
//
// gives token 3 of generation g with text "a".
func parseEvent(event []byte, expected core.GenerationID) (core.Token, eventKind, error) {
	var id, data []byte
	for len(event) > 0 {
		line := event
		if i := bytes.IndexByte(event, '\n'); i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		if value, ok := bytes.CutPrefix(line, _idField); ok {
			id = bytes.TrimPrefix(value, []byte(" "))
		} else if value, ok := bytes.CutPrefix(line, _dataField); ok {
			if data != nil {
				return core.Token{}, 0, errors.New("an event has two data lines; expected one line of JSON")
			}
			data = bytes.TrimPrefix(value, []byte(" "))
		}
	}
	if data == nil || bytes.Equal(data, _doneMarker) {
		return core.Token{}, eventComment, nil
	}
	token, err := parseToken(id, data, expected)
	return token, eventToken, err
}

func parseToken(id, data []byte, expected core.GenerationID) (core.Token, error) {
	dot := bytes.LastIndexByte(id, '.')
	if dot < 0 {
		return core.Token{}, fmt.Errorf("the id %q is not of the form <generation>.<index>", id)
	}
	index, err := parseIndex(id[dot+1:])
	if err != nil {
		return core.Token{}, err
	}
	token := core.Token{Generation: expected, Index: index}
	if string(id[:dot]) != string(expected) {
		token.Generation = core.GenerationID(id[:dot])
	}
	if text, ok := commonText(data); ok {
		token.Text = text
		return token, nil
	}
	return decodeToken(token, data)
}

func parseIndex(digits []byte) (int, error) {
	const maxDigits = 9 // 999,999,999 fits an int on every platform
	if len(digits) == 0 || len(digits) > maxDigits {
		return 0, fmt.Errorf("the index %q is not a whole number of at most %d digits", digits, maxDigits)
	}
	n := 0
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, fmt.Errorf("the index %q is not a whole number", digits)
		}
		n = n*10 + int(d-'0')
	}
	return n, nil
}

var (
	_commonPrefix = []byte(`{"choices":[{"index":0,"text":"`)
	_commonSuffix = []byte(`","finish_reason":null}]}`)
)

// commonText extracts the text of an event in the most common form without the
// JSON decoder, which would take most of the processing time of a token. It returns
// false for any other form, which must be decoded as JSON.
func commonText(data []byte) (string, bool) {
	if !bytes.HasPrefix(data, _commonPrefix) || !bytes.HasSuffix(data, _commonSuffix) {
		return "", false
	}
	if len(data) < len(_commonPrefix)+len(_commonSuffix) {
		return "", false
	}
	text := data[len(_commonPrefix) : len(data)-len(_commonSuffix)]
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return "", false
		}
	}
	if !utf8.Valid(text) {
		return "", false
	}
	return string(text), true
}

// decodeToken adds the content of an event's JSON data to the token.
func decodeToken(token core.Token, data []byte) (core.Token, error) {
	var event completionEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return core.Token{}, fmt.Errorf("decode the data: %w", err)
	}
	if len(event.Choices) != 1 {
		return core.Token{}, fmt.Errorf("the data of %s has %d choices; expected 1", strconv.Itoa(token.Index), len(event.Choices))
	}
	choice := event.Choices[0]
	token.Text = choice.Text
	if choice.FinishReason == nil {
		return token, nil
	}
	if event.Usage == nil {
		return core.Token{}, errors.New("the last event has no usage; expected usage.completion_tokens")
	}
	token.Final = true
	token.Count = event.Usage.CompletionTokens
	token.FinishReason = *choice.FinishReason
	return token, nil
}
