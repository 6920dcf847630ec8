package origin_test

import (
	"fmt"
	"testing"

	"apricotproxy/core/procs/origin"
)

// _maxRecords is the number of records that a host keeps.
const _maxRecords = 1 << 15

// recordOf returns the record of the n-th of many streams.
func recordOf(n int) origin.Record {
	return origin.Record{Request: fmt.Sprint("r", n), Origin: originOf("desk", fmt.Sprint("v", n)), Until: at(60)}
}

// A host keeps a bounded number of records, the latest ones.
func TestOldestRecordsAreDropped(t *testing.T) {
	const beyond = 100
	l := origin.New()
	for n := range _maxRecords + beyond {
		if !l.Add(recordOf(n)) {
			t.Fatalf("record %d was known", n)
		}
	}
	for n := range _maxRecords + beyond {
		r, ok := l.Find(recordOf(n).Request)
		if ok != (n >= beyond) || ok && r != recordOf(n) {
			t.Fatalf("record %d of %d: found %t, %+v", n, _maxRecords+beyond, ok, r)
		}
	}
	// Those that are dropped leave no trace when records expire.
	l.Expire(at(61))
	for n := range _maxRecords + beyond {
		if _, ok := l.Find(recordOf(n).Request); ok {
			t.Fatalf("record %d has not expired", n)
		}
	}
	for n := range _maxRecords {
		l.Add(recordOf(n))
	}
	if _, ok := l.Find(recordOf(0).Request); !ok {
		t.Error("a record was dropped although there is room")
	}
}
