package rig

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Request is a client's attempt.
type Request struct {
	Method, Target, HostName string
	Header                   map[string]string
	Body                     []byte
	Deadline                 time.Duration
}

// Reply is what a client saw.
type Reply struct {
	ID         string
	Status     int // 0 if the connection ended without an answer
	Body       string
	Seal       string
	RetryAfter string
	SentAt     time.Time
	Took       time.Duration
	Err        error
}

// NewID returns the ID of a client's attempt.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Send sends a request on a new connection and reads the answer.
func Send(front string, r *Request) Reply {
	out := Reply{ID: NewID(), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+front+r.Target, bytes.NewReader(r.Body))
	if err != nil {
		out.Err = fmt.Errorf("make the request: %w", err)
		return out
	}
	request.Host = r.HostName
	request.Header.Set(Headers.RequestID, out.ID)
	request.Header.Set(Headers.Deadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	for name, value := range r.Header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		out.Status, out.Body, out.Seal, out.RetryAfter = res.StatusCode, string(body), res.Header.Get(Headers.Seal), res.Header.Get("Retry-After")
	}
	out.Took, out.Err = time.Since(out.SentAt), err
	return out
}
