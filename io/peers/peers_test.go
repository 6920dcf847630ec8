package peers_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/twitchtv/twirp"

	"apricotproxy/core"
	"apricotproxy/fakes/memnet"
	"apricotproxy/io/peers"
	"apricotproxy/io/wire"
)

const _address = "entry-2:7443"

// fakePeer answers the calls of the tests and counts heartbeats.
type fakePeer struct {
	wire.Peer
	heartbeats int
}

func (a *fakePeer) Heartbeat(context.Context, *wire.HeartbeatRequest) (*wire.HeartbeatReply, error) {
	a.heartbeats++
	return &wire.HeartbeatReply{Revision: 7}, nil
}

func (a *fakePeer) Borrow(context.Context, *wire.BorrowRequest) (*wire.BorrowReply, error) {
	return &wire.BorrowReply{Granted: true}, nil
}

func (a *fakePeer) HandOver(_ context.Context, request *wire.HandOverRequest) (*wire.HandOverReply, error) {
	return &wire.HandOverReply{Accepted: len(request.GetLedger()) > 1<<20}, nil
}

var errOld = &peers.OldIncarnationError{
	Got: core.HostID{Host: "entry-1", Incarnation: 5}, Known: core.HostID{Host: "entry-1", Incarnation: 7},
}

func check(from core.HostID) error {
	if from == errOld.Got {
		return errOld
	}
	return peers.RequireSender(from)
}

// withPeer runs a test with the client of a server that passes calls to a fakePeer
// if check accepts their senders.
func withPeer(t *testing.T, test func(*testing.T, *memnet.Network, wire.Peer, *fakePeer)) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		listener, err := network.Listen("tcp", _address)
		if err != nil {
			t.Fatal(err)
		}
		a := &fakePeer{}
		server := peers.NewServer(peers.NewHandler(peers.Guard(a, check)))
		var served sync.WaitGroup
		served.Go(func() { _ = server.Serve(listener) })
		pool := peers.NewPool(peers.Settings{Dialer: network.Dialer("entry-1")})
		test(t, network, pool.Client(_address), a)
		pool.Close()
		_ = server.Close()
		time.Sleep(time.Second) // the server delays closing a connection after it refused a body
		served.Wait()
	})
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	withPeer(t, func(t *testing.T, network *memnet.Network, peer wire.Peer, a *fakePeer) {
		from := &wire.HeartbeatRequest{From: &wire.Host{Name: "entry-1", Incarnation: 7}}
		if _, err := peer.Heartbeat(t.Context(), from); err != nil {
			t.Fatal(err)
		}
		network.Silence("entry-2", "entry-1")
		start := time.Now()
		if _, err := peer.Heartbeat(t.Context(), from); err == nil {
			t.Error("a heartbeat over the silent connection was answered")
		}
		if _, err := peer.Heartbeat(t.Context(), from); err != nil {
			t.Errorf("the heartbeat after it: %v", err)
		}
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("the two heartbeats took %v", took)
		}
		if a.heartbeats != 3 {
			t.Errorf("%d heartbeats arrived, want 3: none is sent twice", a.heartbeats)
		}
	})
}

func TestOldIncarnationIsRefused(t *testing.T) {
	withPeer(t, func(t *testing.T, _ *memnet.Network, peer wire.Peer, _ *fakePeer) {
		cases := []struct {
			from *wire.Host
			want twirp.ErrorCode
		}{
			{&wire.Host{Name: "entry-1", Incarnation: 7}, twirp.NoError},
			{&wire.Host{Name: "entry-1", Incarnation: 5}, twirp.FailedPrecondition},
			{nil, twirp.InvalidArgument},
		}
		for _, c := range cases {
			_, err := peer.Borrow(t.Context(), &wire.BorrowRequest{From: c.from})
			code := twirp.NoError
			var failed twirp.Error
			if errors.As(err, &failed) {
				code = failed.Code()
			}
			if code != c.want {
				t.Errorf("Borrow with sender %v returned %q, want %q", c.from, code, c.want)
			}
		}
	})
}

// A ledger of 2 MB is accepted, and a heartbeat of 1 MB is refused: the size limit
// depends on the kind of call.
func TestBodiesAreBounded(t *testing.T) {
	withPeer(t, func(t *testing.T, _ *memnet.Network, peer wire.Peer, a *fakePeer) {
		reply, err := peer.HandOver(t.Context(), &wire.HandOverRequest{Ledger: make([]byte, 2<<20)})
		if err != nil || !reply.GetAccepted() {
			t.Errorf("a ledger of 2 MB: accepted %v, %v", reply.GetAccepted(), err)
		}
		large := &wire.HeartbeatRequest{From: &wire.Host{Name: string(make([]byte, 1<<20)), Incarnation: 7}}
		if _, err := peer.Heartbeat(t.Context(), large); err == nil || a.heartbeats != 0 {
			t.Errorf("a heartbeat of 1 MB was accepted: %v", err)
		}
	})
}
