package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotproxy/core/procs/place"
	"apricotproxy/fakes/routed"
)

// Counts of tokens beyond the range of an int's sums made the load of an endpoint negative, so that it seemed idle.
func TestLoadsStayPossibleWhateverCountsCallersName(t *testing.T) {
	const most = "9223372036854775807"
	for name, headers := range map[string][]string{
		"prompt":          {"Tokens: " + most + ",400"},
		"longest answer":  {"Tokens: 100," + most},
		"both":            {"Tokens: " + most + "," + most},
		"negative":        {"Tokens: -" + most + ",-" + most},
		"beyond 64 bits":  {"Tokens: 1" + strings.Repeat("0", 30) + ",400"},
		"expected answer": {"Tokens: 100,400", "Expected-Tokens: " + most},
		"part":            {"Tokens: 100,400", "Parts: a:" + most + ",b:" + most},
		"negative part":   {"Tokens: 100,400", "Parts: a:-" + most + ",b:100"},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			handle := func(c *routed.Call) bool {
				if c.Header.Get("Deadline-Ms") != "" {
					<-release
				}
				c.Answer(http.StatusOK, "sound", echo(c), _seal)
				return true
			}
			r := newFixture(t, handle, handle)
			var group sync.WaitGroup
			for i := range 4 {
				group.Go(func() {
					r.send(http.MethodGet, "/lookup/", "", append(headers, fmt.Sprint("Request-Id: h", i), "Deadline-Ms: 600")...)
				})
			}
			time.Sleep(100 * time.Millisecond)
			r.placer.WithLock(func(p *place.Placer) {
				for id, load := range p.OwnLoads() {
					if load.Runs < 0 || load.Tokens < 0 || load.Prefill < 0 {
						t.Errorf("the load of %s is %+v", id, load)
					}
				}
			})
			close(release)
			group.Wait()
			if a := r.send(http.MethodGet, "/lookup/", "", "Tokens: 100,400"); a.status != http.StatusOK {
				t.Errorf("a request after these got status %d, want 200", a.status)
			}
		})
	}
}
