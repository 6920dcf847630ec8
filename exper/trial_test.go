package exper

import (
	"fmt"
	"os"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/route"
)

func TestTrial(t *testing.T) {
	if os.Getenv("TRIAL") == "" {
		t.Skip()
	}
	var policies []Policy
	for _, share := range []float32{0.75, 0.8, 0.85, 0.9} {
		for _, prompt := range []float32{2, 6} {
			w := route.DefaultWeights()
			w.MemoryShare, w.Prompt = share, prompt
			policies = append(policies, Policy{Name: fmt.Sprintf("%v/%v", share, prompt), Build: func() core.RoutePolicy { return &route.Product{Weights: w} }})
		}
	}
	m := Matrix{Sites: Sites()[:1], Policies: policies, Loads: []float64{0.9, 1.5}, Length: 240 * time.Second, WarmUp: 60 * time.Second, Seed: 1, Workers: 4}
	_ = WriteTable(os.Stdout, m.Run())
}
