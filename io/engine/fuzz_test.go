package engine

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"unicode/utf8"

	"apricotproxy/core"
)

// For any input, the parser returns tokens, io.EOF or a *core.EndpointError.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{
		"id: g.0\ndata: {\"choices\":[{\"index\":0,\"text\":\"a\",\"finish_reason\":null}]}\n\n",
		"id: g.1\ndata: {\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n",
		": ping\n\n",
		"id: g.x\ndata: {}\n\n",
		"id: .1\ndata: {\"choices\":[]}\n\n",
		"data: {}\ndata: {}\n\n",
		"id: g.99999999999999999999\ndata: 1\n\n",
		"id: g.2\r\ndata: {\"choices\":[{\"text\":\"\\u00e9\\n\"}]}\r\n\n",
		"event: x\nretry: 5\n\n\n\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s := newStream(core.Endpoint{Name: "e"}, "g", io.NopCloser(strings.NewReader(text)))
		for {
			token, err := s.Next()
			if err != nil {
				var failed *core.EndpointError
				if !errors.Is(err, io.EOF) && !errors.As(err, &failed) {
					t.Fatalf("err = %v; want io.EOF or *core.EndpointError", err)
				}
				return
			}
			if token.Index < 0 || token.Final && token.FinishReason == "" && token.Text != "" && token.Count < 0 {
				t.Fatalf("token %+v", token)
			}
		}
	})
}

// Any event that commonText accepts must decode as JSON to the same text.
func FuzzCommonText(f *testing.F) {
	f.Add("a")
	f.Add(`a","finish_reason":null}]},{"text":"b`)
	f.Add("é\\u0041")
	f.Fuzz(func(t *testing.T, middle string) {
		data := string(_commonPrefix) + middle + string(_commonSuffix)
		text, ok := commonText([]byte(data))
		if !ok {
			return
		}
		var event completionEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatalf("commonText accepts %q, the JSON decoder fails: %v", data, err)
		}
		if event.Choices[0].Text != text || !utf8.ValidString(text) {
			t.Fatalf("commonText returns %q, the JSON decoder %q", text, event.Choices[0].Text)
		}
	})
}

func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"Incarnation":7,"Phase":"Warm","FreeTokens":90000,"Models":[{"Model":"m"}]}`))
	f.Add([]byte(`{"Events":[{"Sequence":1,"Prefix":"9a3f","Stored":true}]}`))
	f.Add([]byte(`{"Events":[{"Prefix":"xyz"}]}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _ = parseReport(body)
		_, _ = parseCacheEvents("e", body)
	})
}
