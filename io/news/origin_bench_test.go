package news_test

import (
	"fmt"
	"testing"
	"time"

	"apricotproxy/core/procs/origin"
	"apricotproxy/io/news"
)

// BenchmarkOrigins measures a datagram of records at both ends.
func BenchmarkOrigins(b *testing.B) {
	now := time.Now()
	for _, n := range []int{1, 48} {
		o := &news.Origins{Host: "edge-austin-a-1"}
		for i := range n {
			o.Records = append(o.Records, origin.Record{Request: fmt.Sprintf("%016x", 0x1c41d07be2a35f68+i), Origin: origin.Origin{Service: "scribe-llm", Build: "v1.2"}, Until: now.Add(6 * time.Second)})
		}
		b.Run(fmt.Sprint(n, " records"), func(b *testing.B) {
			size := 0
			for b.Loop() {
				d, err := news.EncodeOrigins(o, now)
				if err != nil {
					b.Fatal(err)
				}
				size = len(d)
				if _, err := news.Decode(d, now); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
