package poison_test

import (
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"apricotproxy/core/procs/poison"
)

// Parts whose IDs were too long were left out of all losses.
func TestEachPartHasAKey(t *testing.T) {
	long := strings.Repeat("0", 200)
	for name, c := range map[string]struct {
		ids  []string
		want int
		left int
	}{
		"short":             {ids: []string{"p", "q"}, want: 2},
		"named twice":       {ids: []string{"p", "q", "p"}, want: 2},
		"long and alike":    {ids: []string{long + "1", long + "2"}, want: 2},
		"one byte too long": {ids: []string{long[:32], long[:33]}, want: 2},
		"as many as fit":    {ids: hexNames(512), want: 512},
		"more than fit":     {ids: hexNames(600), want: 512, left: 88},
		"none":              {},
	} {
		keys, left := poison.Keys(c.ids)
		if len(keys) != c.want || left != c.left {
			t.Errorf("%s: %d keys and %d left, want %d and %d", name, len(keys), left, c.want, c.left)
		}
		for _, key := range keys {
			if len(key) > 32 {
				t.Errorf("%s: the key %q has %d bytes, want 32 at most", name, key, len(key))
			}
		}
		if again, _ := poison.Keys(keys); !reflect.DeepEqual(again, keys) {
			t.Errorf("%s: the keys of keys differ", name)
		}
	}
}

// hexNames returns different IDs of 32 digits.
func hexNames(count int) []string {
	ids := make([]string, count)
	for i := range ids {
		ids[i] = fmt.Sprintf("%032x", i)
	}
	return ids
}

// A long part that crashes engines is blocked at a host that learns of each loss in several datagrams, in any order.
func TestLongPartIsBlockedByReportsInPieces(t *testing.T) {
	deadly := strings.Repeat("d", 64)
	a, b := poison.New(), poison.New()
	prompt := func(n int) []string {
		keys, _ := poison.Keys(append(hexNames(100), deadly, fmt.Sprint("own", n)))
		return keys
	}
	sound, _ := poison.Keys(hexNames(100))
	now := _start.Add(time.Second)
	a.RecordSuccess(now.Add(time.Second), sound)
	for n := range 3 {
		a.RecordLoss(now, poison.Loss{Endpoint: fmt.Sprint("e", n), Request: fmt.Sprint("r", n), Parts: prompt(n), At: now})
	}
	now = now.Add(1100 * time.Millisecond)
	pieces := a.Report(now, true).Split(2 << 10)
	if len(pieces) < 3 {
		t.Fatalf("the report has %d pieces, want 3 or more", len(pieces))
	}
	for i := range pieces {
		b.Merge(now, pieces[len(pieces)-1-i])
	}
	b.Settle(now)
	if _, blocked := b.Blocked(now, prompt(9)); !blocked {
		t.Error("the part is not blocked")
	}
	if _, blocked := b.Blocked(now, sound); blocked {
		t.Error("parts of prompts that were answered are blocked")
	}
}

// Memory stays bounded when callers name a million different IDs.
func TestIDsOfCallersTakeBoundedMemory(t *testing.T) {
	const (
		prompts  = 10_000
		perOne   = 100
		maxBytes = 64 << 20
	)
	d, crashes := poison.New(), poison.NewCrashDetector()
	before := heapBytes()
	for i := range prompts {
		now := _start.Add(time.Duration(i) * time.Millisecond)
		ids := make([]string, perOne)
		for n := range ids {
			ids[n] = fmt.Sprintf("%064x", i*perOne+n)
		}
		keys, _ := poison.Keys(ids)
		loss := poison.Loss{Endpoint: fmt.Sprint("e", i), Request: fmt.Sprint("r", i), Parts: keys, At: now}
		d.RecordLoss(now, loss)
		crashes.RecordLoss(now, poison.Own, poison.RequestLoss{Request: digest(loss.Request), Endpoint: endpointKey(i), Parts: keys, SentAt: now, At: now})
		if i%2 == 0 {
			d.RecordSuccess(now, keys)
			crashes.RecordPartSuccess(now, poison.Own, keys)
		}
	}
	if taken := heapBytes() - before; taken > maxBytes {
		t.Errorf("a million IDs take %d bytes, want %d at most", taken, maxBytes)
	}
	runtime.KeepAlive(d)
	runtime.KeepAlive(crashes)
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
