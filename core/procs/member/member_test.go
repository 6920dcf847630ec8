package member_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/member"
)

var _start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func id(host string, incarnation core.Incarnation) core.HostID {
	return core.HostID{Host: core.HostName(host), Incarnation: incarnation}
}

func newMember(self core.HostID, count int) *member.Membership {
	m := member.New(member.Settings{Self: self}, rand.New(rand.NewPCG(1, 2)))
	var hosts []core.Host
	for i := range count {
		hosts = append(hosts, core.Host{Name: core.HostName(fmt.Sprintf("entry-%d", i))})
	}
	m.SetRoster(hosts)
	return m
}

// Holder follows any number of moves, in whatever order their news arrived.
func ExampleMembership_Holder() {
	m := newMember(id("entry-0", 1), 4)
	m.LedgerMoved(_start, id("entry-2", 5), id("entry-3", 5), _start)
	m.LedgerMoved(_start, id("entry-1", 5), id("entry-2", 5), _start)
	fmt.Println(m.Holder(id("entry-1", 5)))
	fmt.Println(m.Holder(id("entry-1", 6)))
	// Output:
	// entry-3@5
	// entry-1@6
}

// A newer incarnation resets the known state, and later messages of an older one are
// ignored.
func TestIncarnations(t *testing.T) {
	m := newMember(id("entry-0", 1), 3)
	m.Receive(_start, member.Message{From: id("entry-1", 5), Revision: 9})
	change := m.Receive(_start, member.Message{From: id("entry-1", 6), Revision: 4})
	want := member.Acknowledgement{Host: id("entry-1", 6), Revision: 4}
	if len(change.Acknowledged) != 1 || change.Acknowledged[0] != want {
		t.Errorf("the newer incarnation acknowledges %v, want %v", change.Acknowledged, want)
	}
	change = m.Receive(_start, member.Message{From: id("entry-1", 5), Revision: 10})
	if len(change.Acknowledged) != 0 || !m.IsReplaced(id("entry-1", 5)) {
		t.Errorf("the older incarnation acknowledges %v", change.Acknowledged)
	}
	change = m.Receive(_start, member.Message{
		From: id("entry-2", 5), News: []member.News{{Host: id("entry-0", 2), SeenAt: _start}},
	})
	if change.Superseded != id("entry-0", 2) {
		t.Errorf("superseded by %v, want entry-0@2", change.Superseded)
	}
}

// A host that does not answer is asked last and probed rarely. One answer makes it
// alive again. Nothing else depends on the standing: a dead host still counts among
// the acknowledgements.
func TestSuspicionAffectsOnlyWhomToAsk(t *testing.T) {
	m := newMember(id("entry-0", 1), 3)
	for _, name := range []string{"entry-1", "entry-2"} {
		m.Receive(_start, member.Message{From: id(name, 5), Revision: 9})
	}
	for range 3 {
		m.RecordFailure(_start, "entry-1")
	}
	if asked := m.PeersToAsk(2); asked[0] != "entry-2" || m.Standing("entry-1") != member.StandingDead {
		t.Errorf("the hosts to ask are %v and entry-1 is %v, want entry-2 first and entry-1 Dead", asked, m.Standing("entry-1"))
	}
	if beat := m.HeartbeatTargets(_start); len(beat) != 1 {
		t.Errorf("heartbeats go to %v, want entry-2 alone", beat)
	}
	if len(m.Acknowledgements()) != 2 {
		t.Errorf("the acknowledgements are %v, want those of both hosts", m.Acknowledgements())
	}
	m.Receive(_start, member.Message{From: id("entry-1", 5), Revision: 9})
	if m.Standing("entry-1") != member.StandingAlive {
		t.Errorf("entry-1 is %v after an answer", m.Standing("entry-1"))
	}
}

// A host that starts long after a ledger was moved still learns its holder, until
// the ledger's term ends.
func TestLedgerNewsReachesLateHosts(t *testing.T) {
	sender, late := newMember(id("entry-0", 1), 3), newMember(id("entry-1", 7), 3)
	sender.LedgerMoved(_start, id("entry-2", 5), id("entry-0", 1), _start)
	for range 100 {
		sender.NextMessage(_start)
	}
	now := _start.Add(30 * time.Minute)
	late.Receive(now, sender.NextMessage(now))
	if got := late.Holder(id("entry-2", 5)); got != id("entry-0", 1) {
		t.Errorf("the late host believes that %v holds the ledger, want entry-0@1", got)
	}
	now = _start.Add(2 * time.Hour)
	if news := sender.NextMessage(now).News; len(news) != 0 {
		t.Errorf("after the ledger's term the news is %v, want none", news)
	}
}

// BenchmarkInterval measures one heartbeat interval of a host: three heartbeats
// sent, three received, each with its answer and a new revision.
func BenchmarkInterval(b *testing.B) {
	for _, count := range []int{9, 40, 120, 360} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := newMember(id("entry-0", 1), count)
			other := newMember(id("entry-1", 1), count)
			for i := range count {
				m.Receive(_start, member.Message{From: id(fmt.Sprintf("entry-%d", i), 5), Revision: 9})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			now := _start
			for i := range b.N {
				now = now.Add(time.Second)
				m.HeartbeatTargets(now)
				for range 6 {
					m.NextMessage(now)
					other.SetSelf(core.Revision(i), false)
					m.Receive(now, other.NextMessage(now))
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "held-bytes")
		})
	}
}
