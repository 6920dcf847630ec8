package rig

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Event is an event of a stream.
type Event struct {
	ID   int
	Data string
}

// StreamReply is what a client saw of a stream in one attempt.
type StreamReply struct {
	Reply
	Events []Event
	// Complete is true if the answer came to its end.
	Complete bool
}

// SendStream sends a request for a stream on a new connection and reads the events. It takes up a stream after
// the event last if resumes names the attempt that brought its first event.
func SendStream(front string, r *Request, resumes string, last int) (out StreamReply) {
	out.ID, out.SentAt = NewID(), time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+front+r.Target, bytes.NewReader(r.Body))
	if err != nil {
		out.Err = fmt.Errorf("make the request: %w", err)
		return out
	}
	request.Host = r.HostName
	for name, value := range r.Header {
		request.Header.Set(name, value)
	}
	request.Header.Set(Headers.RequestID, out.ID)
	request.Header.Set(Headers.Deadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	if resumes != "" {
		request.Header.Set(Headers.Resumes, resumes)
		request.Header.Set(Headers.LastEventID, strconv.Itoa(last))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(request)
	if err != nil {
		out.Err, out.Took = err, time.Since(out.SentAt)
		return out
	}
	defer func() { _ = res.Body.Close() }()
	out.Status, out.Seal, out.RetryAfter = res.StatusCode, res.Header.Get(Headers.Seal), res.Header.Get("Retry-After")
	lines := bufio.NewScanner(res.Body)
	event := Event{ID: -1}
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		switch name {
		case "id":
			event.ID, _ = strconv.Atoi(strings.TrimSpace(value))
		case "data":
			event.Data = strings.TrimSpace(value)
		case "":
			out.Events = append(out.Events, event)
			event = Event{ID: -1}
		}
	}
	out.Err, out.Took = lines.Err(), time.Since(out.SentAt)
	out.Complete = out.Err == nil && res.StatusCode == http.StatusOK
	return out
}
