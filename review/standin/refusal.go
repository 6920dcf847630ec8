package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// A sound worker falls silent for a short time in the middle of its streams, while the other
// workers are full. Clients keep their connections.
const (
	_keptClients     = 24
	_keptEvents      = 40
	_keptPause       = 100 * time.Millisecond
	_keptTime        = 12 * time.Second
	_keptSilence     = 1700 * time.Millisecond
	_keptFullTime    = 3 * time.Second
	_keptReturn      = 500 * time.Millisecond
	_unansweredLimit = 3
)

func runRefusal(s *site, trouble bool) (verdict, error) {
	var mu sync.Mutex
	var silentAt time.Time
	serve := func(w http.ResponseWriter, c *call) {
		mu.Lock()
		at := silentAt
		mu.Unlock()
		isSilent := c.worker.id == "i-0001"
		// The others are full from shortly before the silence on.
		if since := time.Since(at); !isSilent && !at.IsZero() && since < _keptFullTime {
			s.note("worker %s is full and refuses %s", c.worker.id, c.id)
			w.Header().Set(s.headers.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.note("worker %s runs %s from %s, after event %q", c.worker.id, c.id, c.entry, c.Header.Get(s.headers.LastEventID))
		whole := c.stream(w, _keptEvents, _keptPause, func(int) bool {
			mu.Lock()
			at := silentAt
			mu.Unlock()
			if rest := time.Until(at.Add(_keptSilence)); isSilent && !at.IsZero() && rest > 0 {
				select {
				case <-time.After(rest):
				case <-c.Context().Done():
					return false
				}
			}
			return true
		})
		if !whole {
			s.note("worker %s: the connection of %s was closed", c.worker.id, c.id)
			panic(http.ErrAbortHandler)
		}
	}
	if err := s.addWorkers("scribe", 3, 24, serve); err != nil {
		return verdict{}, err
	}
	if err := s.addEntries(3); err != nil {
		return verdict{}, err
	}
	if trouble {
		time.AfterFunc(6*time.Second, func() {
			mu.Lock()
			defer mu.Unlock()
			silentAt = time.Now()
			s.note("worker i-0001 falls silent, the others are full")
		})
	}
	var group sync.WaitGroup
	sent, closed := 0, 0
	end := time.Now().Add(_keptTime)
	for n := range _keptClients {
		group.Go(func() {
			c := &keptClient{site: s, entry: s.entries[n%len(s.entries)]}
			defer c.close()
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			for k := 0; time.Now().Before(end); k++ {
				wasKept, isWhole, isCut := c.stream(fmt.Sprintf("/check/%d-%d", n, k), 0xb000+n*100+k)
				mu.Lock()
				sent++
				if wasKept && isCut {
					closed++
				}
				mu.Unlock()
				if !isWhole {
					time.Sleep(_keptReturn)
				}
			}
		})
	}
	group.Wait()
	return verdict{broken: closed > _unansweredLimit, text: fmt.Sprintf(
		"%d streams; on %d kept connections the request was passed on to a sound worker and the connection was closed before the answer was whole (at most %d allowed)", sent, closed, _unansweredLimit)}, nil
}

// keptClient sends one request after the other on a connection that it keeps.
type keptClient struct {
	site   *site
	entry  *entry
	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

func (c *keptClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// stream sends a request and reads its stream. wasKept is true if the connection had carried a
// request before, isWhole if it was
// served, isCut if the connection ended before an answer was whole.
func (c *keptClient) stream(path string, part int) (wasKept, isWhole, isCut bool) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.entry.ip+":8740", time.Second)
		if err != nil {
			return false, false, false
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	}
	wasKept, c.used = c.used, true
	_ = c.conn.SetDeadline(time.Now().Add(8 * time.Second))
	a := &attempt{id: newID(), entry: c.entry}
	defer func() { c.site.note("attempt %s at %s, kept %t: %s", a.id, c.entry.name, wasKept, a.outcome()) }()
	r := &request{method: http.MethodPost, path: path, body: "guest", deadline: 6 * time.Second, prompt: fmt.Sprintf("aa01:100,%x:100", part), tokens: 200}
	if a.err = r.write(c.conn, c.site.head(a.id, r)); a.err != nil {
		c.close()
		return wasKept, false, true
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		c.close()
		return wasKept, false, true
	}
	a.status = answer.StatusCode
	text, err := io.ReadAll(answer.Body)
	a.body, a.err, a.whole = string(text), err, err == nil && a.status == http.StatusOK
	if err != nil || answer.Close {
		c.close()
	}
	return wasKept, a.whole, err != nil
}
