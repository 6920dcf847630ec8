package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// segment holds the unread bytes of one write.
type segment struct {
	data    []byte
	arrives time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	latency time.Duration

	// mu guards the fields below.
	mu           sync.Mutex
	changed      *sync.Cond
	segments     []segment
	size         int // bytes in the buffer
	stalled      bool
	silent       bool
	wasReset     bool
	eofAt        time.Time // when the writer's close reaches the reader; zero while the writer is open
	readerClosed bool
	noMoreWrites bool
	readUntil    deadline
	writeUntil   deadline
}

// deadline is a point in time from which one side's calls fail.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func newPipe(latency time.Duration) *pipe {
	p := &pipe{latency: latency}
	p.changed = sync.NewCond(&p.mu)
	return p
}

func (p *pipe) broadcast() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed.Broadcast()
}

func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.readerClosed:
			return 0, net.ErrClosed
		case p.wasReset:
			return 0, syscall.ECONNRESET
		case p.readUntil.passed():
			return 0, os.ErrDeadlineExceeded
		case p.hasData():
			return p.consume(b), nil
		case p.atEOF():
			return 0, io.EOF
		}
		p.changed.Wait()
	}
}

// hasData reports whether the first segment has arrived.
func (p *pipe) hasData() bool {
	return !p.stalled && len(p.segments) > 0 && !time.Now().Before(p.segments[0].arrives)
}

// atEOF reports whether the reader knows that no more data will come. It does not
// learn this over a stalled or silent link.
func (p *pipe) atEOF() bool {
	return !p.stalled && !p.silent && len(p.segments) == 0 &&
		!p.eofAt.IsZero() && !time.Now().Before(p.eofAt)
}

// consume copies bytes of the first segment to b and frees their buffer space.
func (p *pipe) consume(b []byte) int {
	head := &p.segments[0]
	n := copy(b, head.data)
	head.data = head.data[n:]
	if len(head.data) == 0 {
		p.segments = p.segments[1:]
	}
	p.size -= n
	p.changed.Broadcast()
	return n
}

func (p *pipe) write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	written := 0
	for written < len(b) {
		switch {
		case p.noMoreWrites:
			return written, net.ErrClosed
		case p.wasReset || p.readerClosed && !p.stalled && !p.silent:
			return written, syscall.ECONNRESET
		case p.writeUntil.passed():
			return written, os.ErrDeadlineExceeded
		case p.size >= BufferBytes:
			p.changed.Wait()
			continue
		}
		n := min(len(b)-written, BufferBytes-p.size)
		p.enqueue(b[written : written+n])
		written += n
	}
	return written, nil
}

// enqueue adds bytes to the pipe. On a silent link they take up space in the
// sender's buffer and never arrive.
func (p *pipe) enqueue(b []byte) {
	p.size += len(b)
	if p.silent {
		return
	}
	p.segments = append(p.segments, segment{
		data:    append([]byte(nil), b...),
		arrives: time.Now().Add(p.latency),
	})
	p.wakeOnArrival()
}

// wakeOnArrival wakes the reader when bytes that are sent now arrive.
func (p *pipe) wakeOnArrival() {
	if p.latency == 0 {
		p.changed.Broadcast()
		return
	}
	time.AfterFunc(p.latency, p.broadcast)
}

func (p *pipe) closeWriter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.noMoreWrites {
		return
	}
	p.noMoreWrites = true
	p.eofAt = time.Now().Add(p.latency)
	p.changed.Broadcast()
	p.wakeOnArrival()
}

// closeReader closes the reader's side. The writer learns of it at once, unless
// the link is stalled or silent.
func (p *pipe) closeReader() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readerClosed = true
	p.changed.Broadcast()
}

func (p *pipe) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wasReset = true
	p.segments = nil
	p.changed.Broadcast()
}

func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
	p.segments = nil
}

func (p *pipe) setStalled(stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = stalled
	p.changed.Broadcast()
}

func (p *pipe) setReadDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arm(&p.readUntil, t)
}

func (p *pipe) setWriteDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arm(&p.writeUntil, t)
}

// arm sets a deadline, or clears it if at is zero.
func (p *pipe) arm(d *deadline, at time.Time) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	if !at.IsZero() {
		d.timer = time.AfterFunc(time.Until(at), p.broadcast)
	}
	p.changed.Broadcast()
}
