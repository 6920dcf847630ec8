package proof_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// The faults of a run of routed requests are drawn before it starts, so that a seed always
// gives the same ones.

type faultKind int

const (
	endpointLeaves faultKind = iota
	endpointReturns
	centreCloses // the data centre b goes out of service
	centreOpens
	storeFails // for one host
	storeRecovers
)

// routedFault is one change. endpoint and host are what it concerns, where it does.
type routedFault struct {
	kind     faultKind
	endpoint string
	host     int
}

// _minExercise is how long a state must last for requests to meet it on some host: hosts
// learn of a change within a heartbeat interval and a watch.
const _minExercise = 800 * time.Millisecond

// drawFaults draws the faults of a run, one for each _routedFaultInterval. It draws again
// until exercises holds, if it is not nil.
func drawFaults(seed uint64, exercises func([]routedFault) bool) []routedFault {
	random := rand.New(rand.NewPCG(seed, 1))
	for {
		faults := make([]routedFault, _routedDuration/_routedFaultInterval)
		for i := range faults {
			f := routedFault{endpoint: fmt.Sprint("e", random.IntN(_routedEndpoints)), host: random.IntN(_routedHosts)}
			f.kind = faultKind(random.IntN(int(storeFails) + 1))
			if f.kind == storeFails && random.IntN(2) == 0 {
				f.kind = storeRecovers
			}
			faults[i] = f
		}
		if exercises == nil || exercises(faults) {
			return faults
		}
	}
}

// routedState is the state that the faults so far have brought about.
type routedState struct {
	leaving map[string]bool
	closed  bool
	down    map[int]bool
}

// isStoreDown reports whether no host can read the store.
func (s routedState) isStoreDown() bool {
	for host := range _routedHosts {
		if !s.down[host] {
			return false
		}
	}
	return true
}

// lasts reports whether some state of the run that meets a condition lasts for
// _minExercise. Changes reach no host while the store fails for all, so such states do not
// count.
func lasts(faults []routedFault, holds func(routedState) bool) bool {
	state := routedState{leaving: make(map[string]bool), down: make(map[int]bool)}
	lasted := time.Duration(0)
	for _, f := range faults {
		switch f.kind {
		case endpointLeaves, endpointReturns:
			state.leaving[f.endpoint] = f.kind == endpointLeaves
		case centreCloses, centreOpens:
			state.closed = f.kind == centreCloses
		case storeFails, storeRecovers:
			state.down[f.host] = f.kind == storeFails
		}
		if !holds(state) || state.isStoreDown() {
			lasted = 0
			continue
		}
		if lasted += _routedFaultInterval; lasted >= _minExercise {
			return true
		}
	}
	return false
}

// hasClosedCentre reports whether an endpoint of the data centre b is used unless closed
// data centres are excluded.
func hasClosedCentre(faults []routedFault) bool {
	return hasEndpoint(faults, func(s routedState, endpoint string) bool {
		return dataCentreOf(endpoint) == "b" && s.closed && !s.leaving[endpoint]
	})
}

// hasLeavingEndpoint reports whether an endpoint is used unless leaving ones are excluded.
func hasLeavingEndpoint(faults []routedFault) bool {
	return hasEndpoint(faults, func(s routedState, endpoint string) bool {
		return s.leaving[endpoint] && (dataCentreOf(endpoint) != "b" || !s.closed)
	})
}

func hasEndpoint(faults []routedFault, holds func(routedState, string) bool) bool {
	for i := range _routedEndpoints {
		if lasts(faults, func(s routedState) bool { return holds(s, fmt.Sprint("e", i)) }) {
			return true
		}
	}
	return false
}

func TestSeedGivesTheSameFaults(t *testing.T) {
	for seed := range uint64(20) {
		faults := drawFaults(seed, hasClosedCentre)
		if !reflect.DeepEqual(faults, drawFaults(seed, hasClosedCentre)) {
			t.Errorf("seed %d gives other faults the second time", seed)
		}
		if !hasClosedCentre(faults) {
			t.Errorf("seed %d: the faults do not exercise what they should", seed)
		}
	}
}
