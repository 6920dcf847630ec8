package proof_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Requests of the soak that come late in a planned stop, on connections that were made before the
// host's listener closed, with bodies in chunks.

const (
	_soakLateRequests = 8
	// The last byte of the first late request is sent _soakLateFrom after SIGTERM: the users' rules
	// excuse a host that cuts off what was sent sooner.
	_soakLateFrom  = 3100 * time.Millisecond
	_soakLateEvery = 300 * time.Millisecond
	// A header is sent _soakBodyTime before that, but not later than _soakLastHeader after SIGTERM,
	// since a stopping host closes connections that carry no request; or it is sent at
	// _soakFirstHeader, while the host accepts connections.
	_soakBodyTime    = 400 * time.Millisecond
	_soakFirstHeader = 2 * time.Second
	_soakLastHeader  = 3200 * time.Millisecond
)

// sendLate sends requests to a host that has just got SIGTERM.
func (r *soakRun) sendLate(host, stop int) {
	began := time.Now()
	for n := range _soakLateRequests {
		kind := [...]string{"note", "order"}[n%2]
		id := fmt.Sprintf("note-%d-%d", host, 1000+30*stop+3*n+1)
		if kind == "order" {
			id = fmt.Sprintf("order-%d-98-%d", host, 4+(8*stop+n)*17*29)
		}
		after := _soakLateFrom + time.Duration(n)*_soakLateEvery
		headerAt := began.Add(min(after-_soakBodyTime, [...]time.Duration{_soakFirstHeader, _soakLastHeader}[n/2%2]))
		go r.sendLateRequest(host, id, "/"+kind+"/late-"+id, headerAt, began.Add(after))
	}
}

// sendLateRequest connects now, and sends the header and the last byte of a request at given times. A
// request that was passed on to an endpoint must get its whole answer.
func (r *soakRun) sendLateRequest(host int, id, path string, headerAt, lastByteAt time.Time) {
	conn, err := net.Dial("tcp", r.hosts[host].caller)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(time.Until(headerAt))
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nRequest-Id: "+id+"\r\nDeadline-Ms: 6000\r\nTokens: 100,100\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")
	if err != nil {
		return // the host has closed the connection, unread
	}
	time.Sleep(time.Until(lastByteAt))
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		return
	}
	_ = conn.SetReadDeadline(lastByteAt.Add(2 * _soakStopGrace))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	status := 0
	if err == nil {
		status = res.StatusCode
		_, err = io.ReadAll(res.Body)
	}
	ran := r.notes.last(id) != nil
	r.mu.Lock()
	defer r.mu.Unlock()
	ran = ran || r.runs[id] > 0
	disturbed := r.hosts[host].disturbed
	excused := slices.ContainsFunc(disturbed[:len(disturbed)-1], func(d [2]time.Time) bool {
		return d[1].IsZero() || d[1].After(lastByteAt.Add(-_soakContact))
	})
	switch {
	case status == http.StatusServiceUnavailable && ran:
		r.violations = append(r.violations, id+" ran although a stopping host reported it as not run")
	case err != nil && ran && !excused:
		r.violations = append(r.violations, fmt.Sprintf("%s came late in a stop, was passed on and got no whole answer: status %d, %v", id, status, err))
	case err == nil:
		r.late[strings.SplitN(id, "-", 2)[0]+fmt.Sprint(" ", status)]++
	}
}
