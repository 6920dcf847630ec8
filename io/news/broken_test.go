package news_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"apricotproxy/core"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/news"
)

// rawPull requests documents from a host that answers with a text and closes the connection.
func rawPull(t *testing.T, text string) (news.PullResult, error) {
	t.Helper()
	host, err := routed.Start(func(c *routed.Call) bool { c.Write(text); return false })
	if err != nil {
		t.Fatal(err)
	}
	defer host.Close()
	return news.NewClient(&http.Transport{DisableKeepAlives: true}).Pull(t.Context(), host.Address, news.Position{})
}

func pulledBody() string {
	recorder := httptest.NewRecorder()
	handler := news.Handler(func(news.Position) news.PullResult {
		return news.PullResult{Documents: []core.Document{{Name: "op", Epoch: 2, Revision: 7, Value: []byte("text")}}, Epoch: 2, AsOf: 7}
	})
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/documents?epoch=0&after=0&version=0", nil))
	return recorder.Body.String()
}

// A part of an answer is none, however it ends.
func TestPartOfAnswerIsNone(t *testing.T) {
	body := pulledBody()
	for n := range len(body) {
		if got, err := rawPull(t, "HTTP/1.0 200 OK\r\n\r\n"+body[:n]); err == nil {
			t.Errorf("%d of %d bytes: %+v", n, len(body), got)
		}
	}
}
