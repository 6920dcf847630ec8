package runs

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A process that slept finds the grace over as it wakes up. It could not have
// heard of an adoption meanwhile, so that the grace starts anew, once.
func TestGraceStartsAnewAfterASleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &run{grace: 10 * time.Second}
		g.life, g.endLife = context.WithCancelCause(t.Context())
		g.keepUntil = time.Now().Add(-time.Minute)
		g.keeper = time.AfterFunc(time.Hour, g.expire)
		g.expire()
		if g.life.Err() != nil {
			t.Fatal("the generation is given up at the moment the process wakes up")
		}
		time.Sleep(g.grace + time.Millisecond)
		synctest.Wait()
		if g.life.Err() == nil {
			t.Fatal("the generation outlives the grace after the sleep")
		}
	})
}
