package engine_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"apricotproxy/core"
	"apricotproxy/fakes/memnet"
	"apricotproxy/io/engine"
)

// answerWith returns a server that answers one request with a text and closes the connection.
func answerWith(text string) func(net.Conn) {
	return func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
	}
}

func isLost(err error) bool {
	var failed *core.EndpointError
	return errors.As(err, &failed) && failed.Result == core.ResultLost
}

// answersOf returns the forms of an answer, by how it says where its body ends.
func answersOf(contentType, body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n"
	return map[string]string{
		"a length": head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
		"chunks":   head + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n",
	}
}

// An endpoint that breaks off at any byte, of the head or the body, has not answered.
func TestCallCutAtAnyByte(t *testing.T) {
	for name, message := range answersOf("application/json", `{"found":true}`) {
		t.Run(name, func(t *testing.T) {
			for cut := range message {
				runWithServer(t, answerWith(message[:cut]), func(t *testing.T, client *engine.Client, _ *memnet.Network) {
					answer, err := client.Call(t.Context(), _endpoint, core.CallRequest{Call: "c", Body: []byte(`{}`)})
					if !isLost(err) {
						t.Errorf("cut at byte %d: the answer is %q, %v; want ResultLost", cut, answer, err)
					}
				})
			}
		})
	}
}

// An endpoint closed its connection after the head of an answer without a length, which counted
// as an empty answer.
func TestHeadAloneIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	runWithServer(t, answerWith(head), func(t *testing.T, client *engine.Client, _ *memnet.Network) {
		answer, err := client.Call(t.Context(), _endpoint, core.CallRequest{Call: "c", Body: []byte(`{}`)})
		if !isLost(err) {
			t.Errorf("the answer is %q, %v; want ResultLost", answer, err)
		}
	})
	runWithServer(t, answerWith(head+"{}"), func(t *testing.T, client *engine.Client, _ *memnet.Network) {
		if answer, err := client.Call(t.Context(), _endpoint, core.CallRequest{Call: "c", Body: []byte(`{}`)}); err != nil || string(answer) != "{}" {
			t.Errorf("an answer that ends with its connection is %q, %v; want {}", answer, err)
		}
	})
}

const (
	_tokens = "id: g.3\ndata: {\"choices\":[{\"index\":0,\"text\":\"a\",\"finish_reason\":null}]}\n\n" +
		"id: g.4\ndata: {\"choices\":[{\"index\":0,\"text\":\"b\",\"finish_reason\":null}]}\n\n"
	_text  = "ab"
	_final = "id: g.5\ndata: {\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":5}}\n\n"
)

// resume reads a generation from token 3 on. It returns the text, whether the final event
// arrived, and the error that ended the stream.
func resume(t *testing.T, client *engine.Client) (text string, final bool, err error) {
	stream, err := client.Resume(t.Context(), _endpoint, "g", 3)
	if err != nil {
		return "", false, err
	}
	defer func() { _ = stream.Close() }()
	for {
		token, err := stream.Next()
		if err != nil {
			return text, final, err
		}
		text, final = text+token.Text, token.Final
	}
}

// A generation whose engine breaks off at any byte has no final event.
func TestGenerationCutAtAnyByte(t *testing.T) {
	for name, message := range answersOf("text/event-stream", _tokens+_final) {
		t.Run(name, func(t *testing.T) {
			for cut := range strings.Index(message, _final) + len(_final) {
				runWithServer(t, answerWith(message[:cut]), func(t *testing.T, client *engine.Client, _ *memnet.Network) {
					text, final, err := resume(t, client)
					if !strings.HasPrefix(_text, text) || final || !isLost(err) {
						t.Errorf("cut at byte %d: text %q, final %v, %v", cut, text, final, err)
					}
				})
			}
		})
	}
}

// What an engine answers in place of a generation's tokens, or writes amid them, is no part of
// its text.
func TestGenerationHasNothingButItsTokens(t *testing.T) {
	const failure = "upstream failed\n\ndata: upstream failed\n\n"
	for name, test := range map[string]struct {
		answer string
		text   string
		final  bool
	}{
		"status 500":         {"HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n\r\n" + failure, "", false},
		"status 502":         {"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 40\r\n\r\n" + failure, "", false},
		"a text":             {answersOf("text/plain", failure)["a length"], "", false},
		"an empty answer":    {answersOf("text/event-stream", "")["a length"], "", false},
		"no chunk":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", false},
		"a head alone":       {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "", false},
		"a text amid tokens": {answersOf("text/event-stream", _tokens+failure+_final)["chunks"], _text, false},
		"a head amid tokens": {answersOf("text/event-stream", _tokens+"HTTP/1.1 500 Internal Server Error\r\n\r\nboom\n"+_final)["chunks"], _text, true},
		"a final event":      {answersOf("text/event-stream", _tokens+_final)["chunks"], _text, true},
	} {
		t.Run(name, func(t *testing.T) {
			runWithServer(t, answerWith(test.answer), func(t *testing.T, client *engine.Client, _ *memnet.Network) {
				text, final, err := resume(t, client)
				if text != test.text || final != test.final || isLost(err) == test.final {
					t.Errorf("text %q, final %v, %v; want %q, %v", text, final, err, test.text, test.final)
				}
			})
		})
	}
}

// An endpoint ended amid its answer, which had neither a length nor chunks. The part counted as the whole
// answer, although nothing listened at its address any more.
func TestCallThatEndsWithItsEndpointIsLost(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	var ended atomic.Pointer[memnet.Network]
	runWithServer(t, func(conn net.Conn) {
		answerWith(head + `{"found":`)(conn)
		_ = conn.Close()
		ended.Load().Isolate("plain")
	}, func(t *testing.T, client *engine.Client, network *memnet.Network) {
		ended.Store(network)
		if answer, err := client.Call(t.Context(), _endpoint, core.CallRequest{Call: "c", Body: []byte(`{}`)}); !isLost(err) {
			t.Errorf("the answer is %q, %v; want ResultLost", answer, err)
		}
	})
}
