package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/plain"
	"apricotproxy/io/wire"
)

// order sends an order to a host and returns the status and the answer.
func (r *rig) order(host, ticket string) (status int, answer string) {
	return r.post("http://"+host+":80/v1/orders", orderBody(ticket, "Ann"))
}

func (r *rig) wantOrder(host, ticket string, status int, part string) {
	r.t.Helper()
	got, answer := r.order(host, ticket)
	if got != status || !strings.Contains(answer, part) {
		r.t.Errorf("order at %s: status %d: %s; want %d with %q", host, got, answer, status, part)
	}
}

func (r *rig) wantRuns(want int) {
	r.t.Helper()
	if ran := r.orderRuns(); ran != want {
		r.t.Errorf("orders ran %d times; want %d", ran, want)
	}
}

// failNext sets the fault of the next call on each plain service.
func (r *rig) failNext(fault plain.Fault) {
	for _, p := range r.plainServices {
		p.FailNext(fault)
	}
}

func TestOrderRefusedByOneEndpointRunsOnAnother(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		r.plainServices[0].FailNext(plain.FaultRefused)
		ticket := r.tickets("entry-0", 1)[0]
		r.wantOrder("entry-0", ticket, http.StatusOK, "")
		r.wantRuns(1)
	})
}

// If it is not certain whether an order ran, its outcome is Unknown, also when the
// caller sends the order again, and the order is never dispatched again.
func TestOrderThatMayHaveRunIsUnknown(t *testing.T) {
	for name, fault := range map[string]plain.Fault{
		"status 500 after it ran": plain.FaultAfterRun,
		"link cut after it ran":   plain.FaultCutAfterRun,
		"link silent":             plain.FaultSilent,
	} {
		t.Run(name, func(t *testing.T) {
			inRig(t, testConfig(), func(r *rig) {
				r.failNext(fault)
				ticket := r.tickets("entry-0", 1)[0]
				r.wantOrder("entry-0", ticket, http.StatusBadGateway, `"Outcome":"Unknown"`)
				r.wantOrder("entry-1", ticket, http.StatusBadGateway, `"Outcome":"Unknown"`)
				r.wantRuns(1)
			})
		})
	}
}

func TestOrderToDeadEndpointsIsNotRun(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		r.network.Kill("plain-0")
		r.network.Kill("plain-1")
		ticket := r.tickets("entry-0", 1)[0]
		r.wantOrder("entry-0", ticket, http.StatusTooManyRequests, `"Outcome":"NotRun"`)
		r.wantRuns(0)
	})
}

// A refusal uses up the ticket: a copy of the order that arrives later must not run.
func TestRefusedOrderCannotRunLater(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		ticket := r.tickets("entry-0", 1)[0]
		r.hosts["entry-0"].dispatcher.Refuse(core.NotRun(core.CauseOverload, "full", time.Time{}))
		r.wantOrder("entry-0", ticket, http.StatusTooManyRequests, `"Outcome":"NotRun"`)
		r.hosts["entry-0"].dispatcher.Refuse(nil)
		r.wantOrder("entry-0", ticket, http.StatusTooManyRequests, `"Outcome":"NotRun"`)
		r.wantOrder("entry-2", ticket, http.StatusTooManyRequests, `"Outcome":"NotRun"`)
		r.wantRuns(0)
	})
}

func TestConcurrentCopiesOfAnOrderRunOnce(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		ticket := r.tickets("entry-0", 1)[0]
		done := make(chan string, 6)
		for i := range cap(done) {
			go func() {
				status, answer := r.order(fmt.Sprintf("entry-%d", i%3), ticket)
				done <- fmt.Sprint(status, answer)
			}()
		}
		first := <-done
		for range cap(done) - 1 {
			if got := <-done; got != first {
				t.Errorf("answers %q and %q; want the same", got, first)
			}
		}
		r.wantRuns(1)
	})
}

// An order continues when its caller disconnects, and the caller can ask for the
// outcome later.
func TestOrderContinuesAfterItsCallerDisconnects(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		ticket := r.tickets("entry-0", 1)[0]
		ctx, cancel := context.WithDeadline(r.t.Context(), time.Now().Add(5*time.Millisecond))
		defer cancel()
		request := r.request(http.MethodPost, "http://entry-0:80/v1/orders", orderBody(ticket, "Ann")).WithContext(ctx)
		if _, err := r.client("caller").Do(request); err == nil {
			t.Error("the order was answered; want the caller to disconnect before")
		}
		r.wantOrder("entry-1", ticket, http.StatusOK, "")
		r.wantRuns(1)
	})
}

func TestInvalidTicketsAreRefused(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		ticket := r.tickets("entry-0", 1)[0]
		forged := ticket[:len(ticket)-4] + "AAAA"
		for name, body := range map[string]string{
			"forged":     orderBody(forged, "Ann"),
			"garbage":    orderBody("no ticket", "Ann"),
			"other site": orderBody(otherSiteTicket(r), "Ann"),
		} {
			for _, host := range []string{"entry-0", "entry-1"} {
				status, answer := r.post("http://"+host+":80/v1/orders", body)
				if status != http.StatusForbidden || !strings.Contains(answer, `"Cause":"TicketInvalid"`) {
					t.Errorf("%s at %s: status %d: %s; want 403 TicketInvalid", name, host, status, answer)
				}
			}
		}
		r.wantRuns(0)
		r.wantOrder("entry-0", ticket, http.StatusOK, "")
	})
}

// otherSiteTicket returns a ticket that a host of another site issued to a workspace
// of the same name.
func otherSiteTicket(r *rig) string {
	config := r.config
	config.Site = "lockyer"
	other := rig{t: r.t, network: r.network, config: config, hosts: map[core.HostName]*host{}}
	h := other.startHost("entry-far", 1)
	r.servers = append(r.servers, other.servers...)
	tickets, _, err := h.orders.Issue(_workspace, 1)
	if err != nil {
		r.t.Fatal(err)
	}
	return tickets[0]
}

func TestFullLedgerRefusesNewTickets(t *testing.T) {
	config := testConfig()
	config.Limits.LedgerSize = 2
	inRig(t, config, func(r *rig) {
		tickets := r.tickets("entry-0", 2)
		status, answer := r.post("http://entry-0:80/v1/tickets", `{"Count":1}`)
		if status != http.StatusTooManyRequests || !strings.Contains(answer, `"Cause":"LedgerFull"`) {
			t.Errorf("status %d: %s; want 429 LedgerFull", status, answer)
		}
		for _, ticket := range tickets {
			r.wantOrder("entry-1", ticket, http.StatusOK, "")
		}
		r.wantRuns(2)
	})
}

// faultyPeer fails calls to another host, before or after the host has processed
// them.
type faultyPeer struct {
	wire.Peer
	before func(method string) error
	after  func(method string) error
}

var errConnectionBroken = errors.New("the connection is broken")

func (p faultyPeer) ForwardOrder(ctx context.Context, q *wire.ForwardOrderRequest) (*wire.ForwardOrderReply, error) {
	return callWithFaults(p, "ForwardOrder", func() (*wire.ForwardOrderReply, error) { return p.Peer.ForwardOrder(ctx, q) })
}

func (p faultyPeer) HandOver(ctx context.Context, q *wire.HandOverRequest) (*wire.HandOverReply, error) {
	method := "Prepare"
	if q.GetCommit() {
		method = "Commit"
	}
	return callWithFaults(p, method, func() (*wire.HandOverReply, error) { return p.Peer.HandOver(ctx, q) })
}

func (p faultyPeer) Adopt(ctx context.Context, q *wire.AdoptRequest) (*wire.AdoptReply, error) {
	return callWithFaults(p, "Adopt", func() (*wire.AdoptReply, error) { return p.Peer.Adopt(ctx, q) })
}

func callWithFaults[T any](p faultyPeer, method string, call func() (*T, error)) (*T, error) {
	if p.before != nil {
		if err := p.before(method); err != nil {
			return nil, err
		}
	}
	reply, err := call()
	if err == nil && p.after != nil {
		err = p.after(method)
	}
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// In a partition the hosts on both sides continue to serve, and an order runs only on
// the host that issued its ticket.
func TestOrderInAPartition(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		ticket := r.tickets("entry-0", 1)[0]
		r.wrapPeer = func(from, to core.HostName, peer wire.Peer) wire.Peer {
			if (from == "entry-0") == (to == "entry-0") {
				return peer
			}
			return faultyPeer{Peer: peer, before: func(string) error { return errConnectionBroken }}
		}
		r.wantOrder("entry-1", ticket, http.StatusBadGateway, `"Cause":"IssuerGone"`)
		r.wantOrder("entry-0", ticket, http.StatusOK, "")
		r.wantOrder("entry-2", ticket, http.StatusBadGateway, `"Outcome":"Unknown"`)
		r.wrapPeer = nil
		r.wantOrder("entry-2", ticket, http.StatusOK, "")
		r.wantRuns(1)
	})
}

// If the issuer processes a forwarded order and its answer is lost, the other host
// forwards the order again, and the issuer runs it once.
func TestForwardedOrderWhoseAnswerIsLost(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		ticket := r.tickets("entry-0", 1)[0]
		lost := 0
		r.wrapPeer = func(_, _ core.HostName, peer wire.Peer) wire.Peer {
			return faultyPeer{Peer: peer, after: func(string) error {
				if lost++; lost <= 2 {
					return errConnectionBroken
				}
				return nil
			}}
		}
		r.wantOrder("entry-1", ticket, http.StatusOK, "")
		r.wantRuns(1)
	})
}

// While the issuer is paused, other hosts report Unknown. When it resumes, it runs the
// order at most once.
func TestPausedIssuer(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		ticket := r.tickets("entry-0", 1)[0]
		resumeTime := time.Now().Add(time.Minute)
		r.wrapPeer = func(_, to core.HostName, peer wire.Peer) wire.Peer {
			if to != "entry-0" {
				return peer
			}
			return pausedPeer{Peer: peer, resumesAt: resumeTime}
		}
		begin := time.Now()
		r.wantOrder("entry-1", ticket, http.StatusBadGateway, `"Outcome":"Unknown"`)
		if took, most := time.Since(begin), 15*time.Second; took > most {
			t.Errorf("the answer took %v; want at most %v", took, most)
		}
		time.Sleep(2 * time.Minute)
		// The issuer has resumed and served the calls that were delayed.
		status, _ := r.order("entry-2", ticket)
		if ran := r.orderRuns(); ran > 1 || status == http.StatusOK && ran != 1 {
			t.Errorf("status %d, ran %d times", status, ran)
		}
	})
}

type pausedPeer struct {
	wire.Peer
	resumesAt time.Time
}

// ForwardOrder returns when ctx ends; the paused host still serves the call when it
// resumes.
func (p pausedPeer) ForwardOrder(ctx context.Context, q *wire.ForwardOrderRequest) (*wire.ForwardOrderReply, error) {
	if left := time.Until(p.resumesAt); left > 0 {
		time.AfterFunc(left, func() { _, _ = p.Peer.ForwardOrder(context.Background(), q) })
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p.Peer.ForwardOrder(ctx, q)
}

// If the issuer is dead or was replaced by a later incarnation, the outcome is
// Unknown, never NotRun.
func TestDeadIssuer(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		ticket := r.tickets("entry-0", 1)[0]
		delete(r.hosts, "entry-0")
		r.wantOrder("entry-1", ticket, http.StatusBadGateway, `"Cause":"IssuerGone"`)
		r.network.Kill("entry-0")
		r.startHost("entry-0", 2)
		r.wantOrder("entry-1", ticket, http.StatusBadGateway, `"Cause":"IssuerGone"`)
		r.wantOrder("entry-0", ticket, http.StatusBadGateway, `"Cause":"IssuerGone"`)
		r.wantRuns(0)
	})
}

// leave hands a host's ledger over to another host and removes the host.
func (r *rig) leave(name core.HostName) error {
	ctx, cancel := context.WithDeadline(r.t.Context(), time.Now().Add(10*time.Second))
	defer cancel()
	err := r.hosts[name].orders.Leave(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.hosts, name)
	return err
}

func TestLedgerIsHandedOverAtAPlannedStop(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		tickets := r.tickets("entry-0", 3)
		r.wantOrder("entry-0", tickets[0], http.StatusOK, "")
		if err := r.leave("entry-0"); err != nil {
			t.Fatal(err)
		}
		r.wantOrder("entry-1", tickets[0], http.StatusOK, "")
		r.wantRuns(1)
		r.wantOrder("entry-1", tickets[1], http.StatusOK, "")
		r.wantOrder("entry-2", tickets[1], http.StatusOK, "")
		r.wantRuns(2)
		// The second host leaves too, and the third takes over both ledgers.
		if err := r.leave("entry-1"); err != nil {
			t.Fatal(err)
		}
		r.wantOrder("entry-2", tickets[0], http.StatusOK, "")
		r.wantOrder("entry-2", tickets[1], http.StatusOK, "")
		r.wantOrder("entry-2", tickets[2], http.StatusOK, "")
		r.wantRuns(3)
	})
}

// An order that is running when its host begins a planned stop ends before the ledger
// is handed over. An order that arrives during the handover is answered by the
// successor.
func TestOrdersDuringAHandover(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		tickets := r.tickets("entry-0", 2)
		done := make(chan string, 2)
		send := func(ticket string) {
			status, answer := r.order("entry-0", ticket)
			done <- fmt.Sprint(status, answer)
		}
		go send(tickets[0])
		time.Sleep(8 * time.Millisecond)
		time.AfterFunc(time.Millisecond, func() { send(tickets[1]) })
		if err := r.leave("entry-0"); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if got := <-done; !strings.HasPrefix(got, "200") {
				t.Errorf("answer %s; want status 200", got)
			}
		}
		r.wantRuns(2)
	})
}

// An order may arrive at the host that is about to take over the ledger. The leaving
// host then names that host as the holder, which decides on the order itself.
func TestOrderForwardedByTheSuccessorDuringAHandover(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		tickets := r.tickets("entry-0", 3)
		done := make(chan string, len(tickets))
		send := func(host, ticket string) {
			status, answer := r.order(host, ticket)
			done <- fmt.Sprint(status, answer)
		}
		go send("entry-0", tickets[0])
		time.Sleep(8 * time.Millisecond)
		time.AfterFunc(time.Millisecond, func() { send("entry-1", tickets[1]) })
		time.AfterFunc(time.Millisecond, func() { send("entry-2", tickets[2]) })
		if err := r.leave("entry-0"); err != nil {
			t.Fatal(err)
		}
		for range tickets {
			if got := <-done; !strings.HasPrefix(got, "200") {
				t.Errorf("answer %s; want status 200", got)
			}
		}
		r.wantRuns(3)
	})
}

// An order that runs for longer than a handover may take does not prevent the handover
// of the other tickets.
func TestLedgerIsHandedOverAfterALongOrder(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		tickets := r.tickets("entry-0", 2)
		r.failNext(plain.FaultSilent)
		done := make(chan string, 1)
		go func() {
			status, answer := r.order("entry-0", tickets[0])
			done <- fmt.Sprint(status, answer)
		}()
		time.Sleep(time.Second)
		r.failNext(plain.FaultNone)
		if err := r.leave("entry-0"); err != nil {
			t.Fatal(err)
		}
		if got := <-done; !strings.Contains(got, `"Outcome":"Unknown"`) {
			t.Errorf("the order without an answer got %s; want Unknown", got)
		}
		r.wantOrder("entry-1", tickets[1], http.StatusOK, "")
		r.wantRuns(2)
	})
}

// If a planned stop finds no successor, the orders that wait for the handover are
// still answered.
func TestOrderWaitingForAFailedHandover(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		ticket := r.tickets("entry-0", 1)[0]
		r.mu.Lock()
		delete(r.hosts, "entry-1")
		delete(r.hosts, "entry-2")
		orders := r.hosts["entry-0"].orders
		r.mu.Unlock()
		orders.Seal()
		done := make(chan string, 1)
		go func() {
			status, answer := r.order("entry-0", ticket)
			done <- fmt.Sprint(status, answer)
		}()
		if err := r.leave("entry-0"); err == nil {
			t.Fatal("the handover succeeded without another host")
		}
		select {
		case got := <-done:
			if !strings.Contains(got, `"Outcome":"NotRun"`) || !strings.Contains(got, `"Cause":"Draining"`) {
				t.Errorf("answer %s; want NotRun, Draining", got)
			}
		case <-time.After(time.Minute):
			t.Fatal("the order has no answer a minute after the handover failed")
		}
		r.wantOrder("entry-0", ticket, http.StatusServiceUnavailable, `"Cause":"Draining"`)
		r.wantRuns(0)
	})
}

// If the commit of a handover is not answered, the successor may decide on the order,
// so the outcome is Unknown.
func TestOrderWaitingForAnUnansweredCommit(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		ticket := r.tickets("entry-0", 1)[0]
		r.wrapPeer = func(_, _ core.HostName, peer wire.Peer) wire.Peer {
			return faultyPeer{Peer: peer, after: func(method string) error {
				if method == "Commit" {
					return errConnectionBroken
				}
				return nil
			}}
		}
		done := make(chan string, 1)
		r.hosts["entry-0"].orders.Seal()
		go func() {
			status, answer := r.order("entry-0", ticket)
			done <- fmt.Sprint(status, answer)
		}()
		if err := r.leave("entry-0"); err == nil {
			t.Fatal("the handover succeeded though the commit was not answered")
		}
		select {
		case got := <-done:
			if !strings.Contains(got, `"Outcome":"Unknown"`) {
				t.Errorf("answer %s; want Unknown", got)
			}
		case <-time.After(time.Minute):
			t.Fatal("the order has no answer a minute after the handover failed")
		}
	})
}

// A successor that dies before the commit is replaced by another host. After the
// commit was sent, the ledger may have moved, and no other host decides.
func TestSuccessorDiesDuringAHandover(t *testing.T) {
	for _, step := range []string{"Prepare", "Commit"} {
		t.Run(step, func(t *testing.T) {
			inRig(t, testConfig(), func(r *rig) {
				tickets := r.tickets("entry-0", 2)
				r.wantOrder("entry-0", tickets[0], http.StatusOK, "")
				var dead core.HostName
				r.wrapPeer = func(_, to core.HostName, peer wire.Peer) wire.Peer {
					return faultyPeer{Peer: peer, after: func(method string) error {
						if method == step && dead == "" {
							dead = to
						}
						if to == dead {
							return errConnectionBroken
						}
						return nil
					}, before: func(string) error {
						if to == dead {
							return errConnectionBroken
						}
						return nil
					}}
				}
				err := r.leave("entry-0")
				alive := "entry-1"
				if dead == "entry-1" {
					alive = "entry-2"
				}
				if step == "Prepare" {
					if err != nil {
						t.Fatal(err)
					}
					r.wantOrder(alive, tickets[0], http.StatusOK, "")
					r.wantOrder(alive, tickets[1], http.StatusOK, "")
					r.wantRuns(2)
					return
				}
				if err == nil {
					t.Error("the handover succeeded without an answer to the commit")
				}
				r.wantOrder(alive, tickets[1], http.StatusBadGateway, `"Cause":"IssuerGone"`)
				r.wantRuns(1)
			})
		})
	}
}

// An order is not dispatched if its placement expires right before the first byte is
// sent; the dispatcher places it again.
func TestDispatchIsConfirmedRightBeforeTheFirstByte(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		confirmCalls := 0
		r.hosts["entry-0"].dispatcher.OnConfirm = func(core.Placement) bool {
			confirmCalls++
			return confirmCalls > 2
		}
		r.wantOrder("entry-0", r.tickets("entry-0", 1)[0], http.StatusOK, "")
		r.wantRuns(1)
		if confirmCalls != 3 {
			t.Errorf("Confirm was called %d times; want 3", confirmCalls)
		}
	})
}
