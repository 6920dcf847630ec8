package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"apricotproxy/core"
)

// eventSink writes an answer as server-sent events. It buffers events until Flush
// and reuses the buffer, so that a token needs no allocation.
type eventSink struct {
	handler *Handler
	// refuse answers with an error and its status. It is nil after the first event.
	refuse  func(err error)
	output  output
	model   core.ModelName
	started bool
	// buffer starts with the _chunkHeaderBytes that are reserved for the output.
	buffer []byte
	// dataPrefix is the data of each event up to the text.
	dataPrefix []byte
}

func (h *Handler) newEventSink(w http.ResponseWriter, model core.ModelName) *eventSink {
	return &eventSink{
		handler: h,
		refuse:  func(err error) { h.writeError(w, err) },
		model:   model,
		buffer:  make([]byte, _chunkHeaderBytes, _initialBufferBytes),
	}
}

// _initialBufferBytes has room for one event.
const _initialBufferBytes = 512

// sendHeaders starts the output. It is called with the first token, because until
// then the answer may still be an error with its own status.
func (s *eventSink) sendHeaders(generation core.GenerationID) error {
	s.started = true
	s.refuse = nil
	s.dataPrefix = appendDataPrefix(nil, generation, s.model)
	return s.output.start(string(generation))
}

func appendDataPrefix(buffer []byte, generation core.GenerationID, model core.ModelName) []byte {
	buffer = append(buffer, `{"id":`...)
	buffer = appendJSONString(buffer, string(generation))
	buffer = append(buffer, `,"object":"text_completion","model":`...)
	buffer = appendJSONString(buffer, string(model))
	return append(buffer, `,"choices":[{"index":0,"text":`...)
}

// Token adds the event of one token to the buffer.
//
//	id: g.3
//	data: {"id":"g","object":"text_completion","model":"m","choices":[{"index":0,"text":"a","finish_reason":null}]}
func (s *eventSink) Token(token core.Token) error {
	if !s.started {
		if err := s.sendHeaders(token.Generation); err != nil {
			return err
		}
	}
	b := s.buffer
	b = append(b, "id: "...)
	b = append(b, token.Generation...)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(token.Index), 10)
	b = append(b, "\ndata: "...)
	b = append(b, s.dataPrefix...)
	b = appendJSONString(b, token.Text)
	if token.Final {
		b = append(b, `,"finish_reason":`...)
		b = appendJSONString(b, token.FinishReason)
		b = append(b, `}],"usage":{"completion_tokens":`...)
		b = strconv.AppendInt(b, int64(token.Count), 10)
		b = append(b, "}}\n\ndata: [DONE]\n\n"...)
	} else {
		b = append(b, ",\"finish_reason\":null}]}\n\n"...)
	}
	s.buffer = b
	return nil
}

// Flush sends the buffer.
func (s *eventSink) Flush() error {
	if len(s.buffer) == _chunkHeaderBytes {
		return nil
	}
	err := s.output.send(s.buffer)
	s.buffer = s.buffer[:_chunkHeaderBytes]
	return err
}

// Ping sends a comment. It lets the caller tell a slow answer from a silent
// connection, and lets the entry host detect a silent caller.
func (s *eventSink) Ping() error {
	if !s.started {
		return nil
	}
	s.buffer = append(s.buffer, ": ping\n\n"...)
	return s.Flush()
}

// fail sends an error: with its status if nothing was sent before, otherwise as an
// event.
func (s *eventSink) fail(err error) {
	outcome, _ := outcomeOf(err)
	if outcome.Cause == core.CauseCallerGone {
		return
	}
	if !s.started {
		s.refuse(err)
		return
	}
	data, err := json.Marshal(errorBodyOf(time.Now(), outcome))
	if err != nil {
		s.handler.logger.Error(err, "An error could not be encoded.")
		return
	}
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	if err := s.Flush(); err != nil {
		s.handler.logger.V(1).Info("An error could not be sent to the caller.", "Cause", err.Error())
	}
}

// appendJSONString appends the text as a JSON string. It skips the JSON encoder for
// printable ASCII, because the encoder would take most of the processing time of a
// token.
func appendJSONString(buffer []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return appendEncodedString(buffer, text)
		}
	}
	buffer = append(buffer, '"')
	buffer = append(buffer, text...)
	return append(buffer, '"')
}

func appendEncodedString(buffer []byte, text string) []byte {
	data, err := json.Marshal(text)
	if err != nil {
		panic(err) // encoding a string never fails
	}
	return append(buffer, data...)
}

// wholeSink buffers an answer and writes it as one JSON value.
type wholeSink struct {
	handler    *Handler
	writer     http.ResponseWriter
	model      core.ModelName
	generation core.GenerationID
	text       strings.Builder
}

// wholeAnswer is a whole completion in the OpenAI-compatible form.
type wholeAnswer struct {
	ID      core.GenerationID `json:"id"`
	Object  string            `json:"object"`
	Model   core.ModelName    `json:"model"`
	Choices []wholeChoice     `json:"choices"`
	Usage   wholeUsage        `json:"usage"`
}

type wholeChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

type wholeUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// Token buffers the token. The final one sends the answer.
func (s *wholeSink) Token(token core.Token) error {
	s.generation = token.Generation
	s.text.WriteString(token.Text)
	if !token.Final {
		return nil
	}
	s.handler.writeJSON(s.writer, http.StatusOK, wholeAnswer{
		ID:      s.generation,
		Object:  "text_completion",
		Model:   s.model,
		Choices: []wholeChoice{{Text: s.text.String(), FinishReason: token.FinishReason}},
		Usage:   wholeUsage{CompletionTokens: token.Count},
	})
	return nil
}

// Flush does nothing: the answer is sent as a whole.
func (s *wholeSink) Flush() error { return nil }

// Ping does nothing: a JSON value cannot hold a comment.
func (s *wholeSink) Ping() error { return nil }

func (s *wholeSink) fail(err error) {
	outcome, _ := outcomeOf(err)
	if outcome.Cause == core.CauseCallerGone {
		return
	}
	s.handler.writeError(s.writer, err)
}
