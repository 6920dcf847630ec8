package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"apricotproxy/core"
)

// eventSink writes an answer as server-sent events. Its buffer holds what is not
// flushed yet and is reused, so that a token allocates nothing.
type eventSink struct {
	handler *Handler
	// refuse answers with an error and its status; it is dropped with the first
	// event.
	refuse func(err error)
	output output
	model  core.ModelName
	begun  bool
	// buffer starts with the room that the output needs.
	buffer []byte
	// head is the data of each event up to the text.
	head []byte
}

func (h *Handler) newEventSink(w http.ResponseWriter, model core.ModelName) *eventSink {
	return &eventSink{
		handler: h,
		refuse:  func(err error) { h.writeError(w, err) },
		model:   model,
		buffer:  make([]byte, _chunkHead, _firstBufferBytes),
	}
}

// _firstBufferBytes has room for one event.
const _firstBufferBytes = 512

// begin sends the headers. They wait for the first token: until then the answer
// may still be an error with a status.
func (s *eventSink) begin(generation core.GenerationID) error {
	s.begun = true
	s.refuse = nil
	s.head = appendHead(nil, generation, s.model)
	return s.output.start(string(generation))
}

func appendHead(buffer []byte, generation core.GenerationID, model core.ModelName) []byte {
	buffer = append(buffer, `{"id":`...)
	buffer = appendText(buffer, string(generation))
	buffer = append(buffer, `,"object":"text_completion","model":`...)
	buffer = appendText(buffer, string(model))
	return append(buffer, `,"choices":[{"index":0,"text":`...)
}

// Token adds one event to the buffer.
//
//	id: g.3
//	data: {"id":"g","object":"text_completion","model":"m","choices":[{"index":0,"text":"a","finish_reason":null}]}
func (s *eventSink) Token(token core.Token) error {
	if !s.begun {
		if err := s.begin(token.Generation); err != nil {
			return err
		}
	}
	b := s.buffer
	b = append(b, "id: "...)
	b = append(b, token.Generation...)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(token.Index), 10)
	b = append(b, "\ndata: "...)
	b = append(b, s.head...)
	b = appendText(b, token.Text)
	if token.Final {
		b = append(b, `,"finish_reason":`...)
		b = appendText(b, token.FinishReason)
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
	if len(s.buffer) == _chunkHead {
		return nil
	}
	err := s.output.send(s.buffer)
	s.buffer = s.buffer[:_chunkHead]
	return err
}

// Ping sends a comment, so that the caller can tell a slow answer from a silent
// connection, and the entry host a silent caller.
func (s *eventSink) Ping() error {
	if !s.begun {
		return nil
	}
	s.buffer = append(s.buffer, ": ping\n\n"...)
	return s.Flush()
}

// fail tells an error: with its status when nothing was sent, else as an event.
func (s *eventSink) fail(err error) {
	outcome, _ := outcomeOf(err)
	if outcome.Cause == core.CauseCallerGone {
		return
	}
	if !s.begun {
		s.refuse(err)
		return
	}
	data, err := json.Marshal(bodyOf(time.Now(), outcome))
	if err != nil {
		s.handler.logger.Error(err, "An error could not be encoded.")
		return
	}
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	if err := s.Flush(); err != nil {
		s.handler.logger.V(1).Info("An error was not taken.", "Cause", err.Error())
	}
}

// appendText appends a JSON string. Plain text goes without the encoder, which
// takes most of the time of a token otherwise.
func appendText(buffer []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return appendEncoded(buffer, text)
		}
	}
	buffer = append(buffer, '"')
	buffer = append(buffer, text...)
	return append(buffer, '"')
}

func appendEncoded(buffer []byte, text string) []byte {
	data, err := json.Marshal(text)
	if err != nil {
		panic(err) // a string always encodes
	}
	return append(buffer, data...)
}

// wholeSink writes a whole answer as one JSON value.
type wholeSink struct {
	handler    *Handler
	writer     http.ResponseWriter
	model      core.ModelName
	generation core.GenerationID
	text       strings.Builder
}

// wholeAnswer is a completion in the OpenAI-compatible form.
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

// Token keeps the token; the last one sends the answer.
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

// Flush does nothing: the answer goes out in one piece.
func (s *wholeSink) Flush() error { return nil }

// Ping does nothing: a JSON value has no room for one.
func (s *wholeSink) Ping() error { return nil }

func (s *wholeSink) fail(err error) {
	outcome, _ := outcomeOf(err)
	if outcome.Cause == core.CauseCallerGone {
		return
	}
	s.handler.writeError(s.writer, err)
}
