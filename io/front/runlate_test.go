package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"apricotproxy/core/procs/know"
	"apricotproxy/fakes/cutoff"
	"apricotproxy/fakes/routed"
)

// lateSite is a front whose engines have trouble.
type lateSite struct {
	*fixture
	engines *liveEngines
	links   map[string]*cutoff.Link
}

// lateCase is one kind of trouble of engines that work on whatever becomes of their connections.
type lateCase struct {
	name    string
	engines int
	// withBackups is true if engines send copies of runs by themselves.
	withBackups bool
	prepare     func(s *lateSite)
	trouble     func(t *testing.T, s *lateSite, address string)
	// goesOn is true if a run is known to have ended, so that the stream must be whole; otherwise it must be
	// whole unless mayBeCut is true.
	goesOn, mayBeCut bool
}

func (c *lateCase) run(t *testing.T) {
	t.Parallel()
	s := &lateSite{engines: &liveEngines{}}
	var handlers []routed.Handler
	for range c.engines {
		handlers = append(handlers, s.engines.handle)
	}
	s.fixture = newFixture(t, handlers...)
	service, _ := s.view.Load().Table.Service("all")
	service.Engine.Backups = c.withBackups
	s.links = linkEndpoints(t, s.fixture)
	if c.prepare != nil {
		c.prepare(s)
	}
	s.engines.trouble = func(address string) { c.trouble(t, s, address) }
	got := s.send(http.MethodPost, "/novel/", "", "Tokens: 100,400", "Deadline-Ms: 14000")
	if isWhole := got.err == nil && got.body == wantStream(_novelEvents-1); !isWhole && !c.mayBeCut {
		t.Errorf("stream %q, %v; want %d events", got.body, got.err, _novelEvents)
	}
	if runs := s.engines.check(t); c.goesOn && runs < 2 {
		t.Errorf("%d runs, want 2 or more", runs)
	}
}

// name returns the ID of the endpoint whose engine has an address.
func (s *lateSite) name(address string) string {
	for i, endpoint := range s.endpoints {
		if endpoint.Address == address {
			return fmt.Sprint("e", i)
		}
	}
	return ""
}

// leaves announces that the endpoint of an engine leaves.
func (s *lateSite) leaves(address string) { s.leave(s.name(address)) }

// change applies a view with other endpoints.
func (s *lateSite) change(edit func(endpoints []know.Endpoint) []know.Endpoint) {
	view := *s.view.Load()
	view.Endpoints = edit(append([]know.Endpoint(nil), view.Endpoints...))
	s.apply(&view)
}

// withdraw removes the document of the endpoint of an engine.
func (s *lateSite) withdraw(address string) {
	id := s.name(address)
	s.change(func(endpoints []know.Endpoint) []know.Endpoint {
		kept := endpoints[:0]
		for _, endpoint := range endpoints {
			if endpoint.ID != id {
				kept = append(kept, endpoint)
			}
		}
		return kept
	})
}

// startAgain ends all runs at an engine's address and starts another incarnation there.
func (s *lateSite) startAgain(t *testing.T, address string) {
	s.engines.stop("r1", address, true)
	id := s.name(address)
	s.change(func(endpoints []know.Endpoint) []know.Endpoint {
		for i := range endpoints {
			if endpoints[i].ID == id {
				endpoints[i].Born = endpoints[i].Born.Add(time.Minute)
			}
		}
		return endpoints
	})
	s.links[address].ResetOpen()
}

// setBorn gives all endpoints a time of birth.
func (s *lateSite) setBorn() {
	s.change(func(endpoints []know.Endpoint) []know.Endpoint {
		for i := range endpoints {
			endpoints[i].Born = time.UnixMilli(1000)
		}
		return endpoints
	})
}

func (s *lateSite) cut(t *testing.T, address string, kind cutoff.Kind, length time.Duration) {
	link := s.links[address]
	if err := link.Cut(kind); err != nil {
		t.Error(err)
	}
	restored := make(chan error, 1)
	time.AfterFunc(length, func() { restored <- link.Restore() })
	t.Cleanup(func() {
		if err := <-restored; err != nil {
			t.Error(err)
		}
	})
}

// A run went on at another engine while the one before, which was asked to stop it, answered or acted late.
func TestStreamGoesOnOnlyOnceItsRunWasStopped(t *testing.T) {
	leaves := func(_ *testing.T, s *lateSite, address string) { s.leaves(address) }
	cases := []lateCase{
		{name: "answers 200 and never closes the stream", engines: 2, trouble: leaves, goesOn: true, prepare: func(s *lateSite) {
			s.engines.neverCloses = true
		}},
		{name: "closes the stream, and never answers", engines: 2, trouble: leaves, goesOn: true, prepare: func(s *lateSite) {
			s.engines.answerStop = func(c *routed.Call, id string) {
				if !s.engines.stop(id, c.LocalAddress(), true) {
					c.Answer(http.StatusNotFound, "")
					return
				}
				c.WaitClosed(5 * time.Second)
			}
		}},
	}
	for _, delay := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
		cases = append(cases,
			lateCase{name: fmt.Sprint("acts and answers after ", delay), engines: 2, trouble: leaves, prepare: func(s *lateSite) {
				s.engines.moveDelay = delay
			}},
			lateCase{name: fmt.Sprint("acts at once, answers after ", delay), engines: 2, trouble: leaves, goesOn: true, prepare: func(s *lateSite) {
				s.engines.answerStop = func(c *routed.Call, id string) {
					if !s.engines.stop(id, c.LocalAddress(), true) {
						c.Answer(http.StatusNotFound, "")
						return
					}
					time.Sleep(delay)
					c.Answer(http.StatusOK, `{"handle":"h9","created":1}`)
				}
			}},
			lateCase{name: fmt.Sprint("acts at once, answers after ", delay, ", never closes the stream"), engines: 2, trouble: leaves, goesOn: true, prepare: func(s *lateSite) {
				s.engines.neverCloses = true
				s.engines.answerStop = func(c *routed.Call, id string) {
					if !s.engines.stop(id, c.LocalAddress(), true) {
						c.Answer(http.StatusNotFound, "")
						return
					}
					time.Sleep(delay)
					c.Answer(http.StatusOK, `{"handle":"h9","created":1}`)
				}
			}},
			lateCase{name: fmt.Sprint("answers at once, acts after ", delay), engines: 2, trouble: leaves, prepare: func(s *lateSite) {
				s.engines.answerStop = func(c *routed.Call, id string) {
					if !s.engines.stop(id, c.LocalAddress(), false) {
						c.Answer(http.StatusNotFound, "")
						return
					}
					c.Answer(http.StatusOK, `{"handle":"h9","created":1}`)
					time.AfterFunc(delay, func() { s.engines.stop(id, c.LocalAddress(), true) })
				}
			}},
		)
	}
	for _, status := range []int{409, 500, 503} {
		for name, after := range map[string]time.Duration{"works on": 0, "stops late": time.Second} {
			cases = append(cases, lateCase{name: fmt.Sprintf("answers %d without a handle, %s", status, name), engines: 2, trouble: leaves, goesOn: after > 0, prepare: func(s *lateSite) {
				s.engines.answerStop = func(c *routed.Call, id string) {
					if !s.engines.stop(id, c.LocalAddress(), false) {
						c.Answer(http.StatusNotFound, "")
						return
					}
					c.Answer(status, "")
					if after > 0 {
						time.AfterFunc(after, func() { s.engines.stop(id, c.LocalAddress(), true) })
					}
				}
			}})
		}
	}
	for _, c := range cases {
		t.Run(c.name, c.run)
	}
}

// An engine that has begun, or may still begin, to work on a stream had further trouble, and the stream went on at another one
// meanwhile.
func TestStreamGoesOnOnceThroughFurtherTrouble(t *testing.T) {
	resets := func(_ *testing.T, s *lateSite, address string) { s.links[address].ResetOpen() }
	var cases []lateCase
	for _, delay := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		late := func(s *lateSite) {
			s.engines.beginDelay = func(c *routed.Call) time.Duration {
				if c.Header.Get("Continue-From") == "" {
					return 0
				}
				return delay
			}
		}
		cases = append(cases,
			lateCase{name: fmt.Sprint("begins after ", delay), engines: 3, withBackups: true, trouble: resets, goesOn: true, prepare: late},
			lateCase{name: fmt.Sprint("begins after ", delay, ", leaves meanwhile"), engines: 3, withBackups: true, goesOn: true, prepare: late,
				trouble: func(t *testing.T, s *lateSite, address string) {
					resets(t, s, address)
					time.AfterFunc(300*time.Millisecond, func() {
						for i := range s.endpoints {
							if s.endpoints[i].Address != address && len(s.endpoints[i].Calls()) > 0 {
								s.leaves(s.endpoints[i].Address)
							}
						}
					})
				}},
			lateCase{name: fmt.Sprint("begins after ", delay, ", its connection is reset meanwhile"), engines: 3, withBackups: true, mayBeCut: true, prepare: late,
				trouble: func(t *testing.T, s *lateSite, address string) {
					resets(t, s, address)
					time.AfterFunc(500*time.Millisecond, func() {
						for other, link := range s.links {
							if other != address {
								link.ResetOpen()
							}
						}
					})
				}},
		)
	}
	cases = append(cases,
		lateCase{name: "the next engine's connection is reset too", engines: 3, withBackups: true, trouble: resets, goesOn: true, prepare: func(s *lateSite) {
			s.engines.laterTrouble = func(address string) { s.links[address].ResetOpen() }
		}},
		lateCase{name: "the next engine is silent", engines: 3, withBackups: true, trouble: resets, goesOn: true, prepare: func(s *lateSite) {
			s.engines.laterTrouble = func(address string) { s.engines.silence(address, 2600*time.Millisecond) }
		}},
		lateCase{name: "the next engine leaves", engines: 3, withBackups: true, trouble: resets, goesOn: true, prepare: func(s *lateSite) {
			s.engines.laterTrouble = func(address string) { s.leaves(address) }
		}},
		lateCase{name: "is silent after a handover that was not answered", engines: 3, prepare: func(s *lateSite) {
			var once sync.Once
			s.engines.answerStop = func(c *routed.Call, id string) {
				once.Do(func() { s.engines.silence(c.LocalAddress(), 3*time.Second) })
				s.engines.awaitSound(c.LocalAddress())
				if !s.engines.stop(id, c.LocalAddress(), true) {
					c.Answer(http.StatusNotFound, "")
					return
				}
				c.Answer(http.StatusOK, `{"handle":"h9","created":1}`)
			}
		}, trouble: func(_ *testing.T, s *lateSite, address string) { s.leaves(address) }},
		lateCase{name: "leaves, is silent, and its document is removed", engines: 3, withBackups: true, trouble: func(_ *testing.T, s *lateSite, address string) {
			s.leaves(address)
			s.engines.silence(address, 4*time.Second)
			time.AfterFunc(500*time.Millisecond, func() { s.withdraw(address) })
		}},
		lateCase{name: "leaves, is silent, its document is removed, and new connections hang", engines: 3, withBackups: true, trouble: func(t *testing.T, s *lateSite, address string) {
			s.leaves(address)
			s.engines.silence(address, 4*time.Second)
			s.cut(t, address, cutoff.HangNew, 4*time.Second)
			time.AfterFunc(500*time.Millisecond, func() { s.withdraw(address) })
		}},
		lateCase{name: "another incarnation starts at its address", engines: 3, withBackups: true, goesOn: true, prepare: (*lateSite).setBorn, trouble: func(t *testing.T, s *lateSite, address string) {
			s.startAgain(t, address)
		}},
		lateCase{name: "silent and refuses, then accepts, then its connection is reset", engines: 3, withBackups: true, trouble: func(t *testing.T, s *lateSite, address string) {
			s.engines.silence(address, 5*time.Second)
			time.AfterFunc(time.Second, func() { s.cut(t, address, cutoff.RefuseNew, 1400*time.Millisecond) })
			time.AfterFunc(2700*time.Millisecond, func() { s.links[address].ResetOpen() })
		}, mayBeCut: true},
		lateCase{name: "is silent for longer than callers wait, then ends", engines: 3, withBackups: true, goesOn: true, trouble: func(t *testing.T, s *lateSite, address string) {
			s.engines.silence(address, 2700*time.Millisecond)
			time.AfterFunc(2700*time.Millisecond, func() {
				s.engines.stop("r1", address, true)
				s.cut(t, address, cutoff.Reset, 3*time.Second)
			})
		}},
		lateCase{name: "its connection is reset, and new ones hang for 300 ms while it is silent", engines: 3, withBackups: true, mayBeCut: true, trouble: func(t *testing.T, s *lateSite, address string) {
			s.engines.silence(address, 4*time.Second)
			s.cut(t, address, cutoff.HangNew, 300*time.Millisecond)
			s.links[address].ResetOpen()
		}},
		lateCase{name: "its connection is reset after it was silent, before it goes on", engines: 3, withBackups: true, mayBeCut: true, trouble: func(_ *testing.T, s *lateSite, address string) {
			s.engines.silence(address, 5*time.Second)
			time.AfterFunc(3*time.Second, func() { s.links[address].ResetOpen() })
		}},
	)
	for _, c := range cases {
		t.Run(c.name, c.run)
	}
}

// An engine that did not stop a run when it was asked to was asked again at once, some forty times a second.
func TestEngineThatDoesNotStopARunIsAskedNowAndThen(t *testing.T) {
	const mostPerSecond = 5
	for _, c := range []struct {
		name  string
		after func(s *lateSite, address string)
	}{
		{"silent", func(s *lateSite, address string) { s.engines.pause(address, 4*time.Second) }},
		{"its connection was reset", func(s *lateSite, address string) { s.links[address].ResetOpen() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			var asked, first, last atomic.Int64
			trouble := lateCase{engines: 2, withBackups: true, mayBeCut: true, prepare: func(s *lateSite) {
				s.engines.answerStop = func(call *routed.Call, _ string) {
					asked.Add(1)
					last.Store(time.Now().UnixMilli())
					first.CompareAndSwap(0, last.Load())
					call.Answer(http.StatusConflict, "")
				}
			}, trouble: func(_ *testing.T, s *lateSite, address string) { c.after(s, address) }}
			trouble.run(t)
			seconds := float64(last.Load()-first.Load()) / 1000
			if n := asked.Load(); n == 0 || float64(n) > mostPerSecond*max(seconds, 2) {
				t.Errorf("asked %d times in %.1f s, want 1 to %d a second", n, seconds, mostPerSecond)
			}
		})
	}
}

// An engine that answered late that the run had ended was left at once, though the rest of the stream was under way.
func TestStreamWhoseRestIsUnderWayIsWaitedFor(t *testing.T) {
	const (
		answersAfter = 3200 * time.Millisecond
		restAfter    = 4 * time.Second
	)
	var silentSince atomic.Int64
	engine := &persistentEngine{}
	engine.trouble = func(*routed.Call, <-chan struct{}) {
		silentSince.Store(time.Now().UnixNano())
		time.Sleep(restAfter)
	}
	engine.answerStop = func(c *routed.Call) bool {
		time.Sleep(time.Until(time.Unix(0, silentSince.Load()).Add(answersAfter)))
		c.Answer(http.StatusNotFound, "")
		return false
	}
	r := newFixture(t, engine.handle, engine.handle)
	got := r.send(http.MethodPost, "/novel/", "", "Tokens: 100,400", "Deadline-Ms: 12000")
	if got.err != nil || got.body != wantStream(6) {
		t.Errorf("stream %q, %v; want %q", got.body, got.err, wantStream(6))
	}
	engine.check(t, 1)
}

// lossyPaths holds, by address, the path of connections that are opened to it.
var lossyPaths sync.Map

// lossyPath is a path to an endpoint that can be lost: the system gives up all connections then.
type lossyPath struct {
	isLost atomic.Bool
	mu     sync.Mutex
	conns  []*net.TCPConn
}

// lostConn is a connection that the system gives up once its path is lost.
type lostConn struct {
	*net.TCPConn
	path *lossyPath
}

func (p *lossyPath) add(conn *net.TCPConn) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, conn)
	return &lostConn{TCPConn: conn, path: p}
}

func (p *lossyPath) lose() {
	p.isLost.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.SetReadDeadline(time.Now())
	}
}

func (c *lostConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.path.isLost.Load() {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	}
	return n, err
}

// The system gave up the connection of a run whose endpoint worked on, or had ended.
func TestStreamLeavesAnEndpointToWhichContactIsLost(t *testing.T) {
	const dialFails = 200 * time.Millisecond
	for _, c := range []struct {
		name string
		// outage is for how long no connection can be opened; 0 for good.
		outage time.Duration
		// ends is true if the engine ends, document what becomes of its document.
		ends     bool
		document string
		goesOn   bool
	}{
		{"works on, document present", 0, false, "present", false},
		{"works on, reached again at once, document present", time.Millisecond, false, "present", true},
		{"works on, reached again after 0.6 s, document present", 600 * time.Millisecond, false, "present", true},
		{"works on, reached again after 0.6 s, document removed", 600 * time.Millisecond, false, "removed", true},
		{"works on, reached again after 0.6 s, document unknown", 600 * time.Millisecond, false, "unknown", true},
		{"ended, document present", 0, true, "present", false},
		{"ended, document removed", 0, true, "removed", true},
		{"ended, document unknown", 0, true, "unknown", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			engines := &liveEngines{}
			r := newFixture(t, engines.handle, engines.handle, engines.handle)
			var outdated atomic.Bool
			r.documentsOutdated = outdated.Load
			r.serve(nil)
			paths := make(map[string]*lossyPath)
			for _, endpoint := range r.endpoints {
				path := &lossyPath{}
				paths[endpoint.Address] = path
				lossyPaths.Store(endpoint.Address, path)
				t.Cleanup(func() { lossyPaths.Delete(endpoint.Address) })
			}
			s := &lateSite{fixture: r, engines: engines}
			engines.trouble = func(address string) {
				dialHooks.Store(address, func(ctx context.Context) error {
					select {
					case <-ctx.Done():
					case <-time.After(dialFails):
					}
					return syscall.ETIMEDOUT
				})
				t.Cleanup(func() { dialHooks.Delete(address) })
				if c.outage > 0 {
					time.AfterFunc(c.outage, func() {
						dialHooks.Delete(address)
						paths[address].isLost.Store(false)
					})
				}
				paths[address].lose()
				if c.ends {
					engines.stop("r1", address, true)
				}
				switch c.document {
				case "removed":
					s.withdraw(address)
				case "unknown":
					outdated.Store(true)
				}
			}
			got := r.send(http.MethodPost, "/novel/", "", "Tokens: 100,400", "Deadline-Ms: 14000")
			isWhole := got.err == nil && got.body == wantStream(_novelEvents-1)
			if runs := engines.check(t); c.goesOn && (!isWhole || runs != 2) {
				t.Errorf("%d runs, %d of %d events, %v; want 2 and all", runs, strings.Count(got.body, "\n\n"), _novelEvents, got.err)
			}
		})
	}
}

// A caller that read slowly kept its host from reading; once the endpoint had closed the connection, the time that the
// caller took counted as the endpoint's, and the stream was cut.
func TestStreamOfASlowCallerGoesOn(t *testing.T) {
	const (
		padding   = 200 << 10
		bigEvents = 60
		next      = 40
	)
	event := func(id int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", padding)) }
	for _, pause := range []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			var begun atomic.Int64
			handle := func(c *routed.Call) bool {
				if c.URL.Path == "/move" {
					c.Answer(http.StatusNotFound, "")
					return true
				}
				number := begun.Add(1)
				c.BeginStream(echo(c), _seal)
				first := 0
				if last := c.Header.Get("Last-Event-Id"); last != "" {
					_, _ = fmt.Sscan(last, &first)
					first++
				}
				for id := first; id < bigEvents; id++ {
					c.Chunk(event(id))
					if id == 0 {
						time.Sleep(_backupReadyAfter)
					}
					if number == 1 && id == next {
						c.Reset()
						return false
					}
				}
				c.EndStream()
				return true
			}
			r := newFixture(t, handle, handle)
			conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
			_, _ = io.WriteString(conn, "POST /novel/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\nRequest-Id: r1\r\nKey: k\r\nTokens: 100,400\r\nDeadline-Ms: 12000\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(_backupReadyAfter + pause)
			text, err := io.ReadAll(conn)
			if err != nil || !strings.HasSuffix(string(text), "0\r\n\r\n") {
				t.Errorf("%d of %d events, %v; want all and the end", strings.Count(string(text), "id: "), bigEvents, err)
			}
		})
	}
}
