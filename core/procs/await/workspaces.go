package await

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

// The load that this answers: one workspace asks for half of what all ask for, or more, so that
// the others' requests are refused because of it. What it asks for beyond its share leaves room
// on each engine for others, so that it gets what these leave.
const (
	// _leastFairPart is the part of a workspace's requests that counts as within its share at least:
	// it may be served less often than others, but a quarter as often is too little.
	_leastFairPart = 0.5
	// _beyondRoom is the room that the rest leaves on each engine, in requests of its kind: more than
	// ends on an engine at a time.
	_beyondRoom = 2
	// _dividedShare is the share that is served of a kind below which it is divided between workspaces
	// although less urgent kinds leave room for it. Above, this would only leave that room unused.
	_dividedShare = 0.5
)

// fairParts returns, for each workspace that asks for more than its share of what is served of a
// kind, the part of its requests that is within it. The share is the same for all and so large
// that what others do not ask for is divided, too.
func fairParts(kind Kind, demand Demand, served float64) map[core.WorkspaceName]float64 {
	asked := demand[kind].Asked
	if served >= _wellServed || asked < 1 {
		return nil
	}
	type part struct {
		workspace core.WorkspaceName
		asked     float64
	}
	var parts []part
	for of, counts := range demand {
		if !of.isWhole() && of.Service == kind.Service && of.Priority == kind.Priority && counts.Asked > 0 {
			parts = append(parts, part{of.Workspace, min(counts.Asked/asked, 1)})
		}
	}
	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(b.asked, a.asked), cmp.Compare(a.workspace, b.workspace))
	})
	// With the n largest limited to the same share, they get what the others leave of what is served.
	left, share := 1.0, 1.0
	n := 0
	for n < len(parts) && parts[n].asked > share-1e-9 || n == 0 && len(parts) > 0 {
		left -= parts[n].asked
		n++
		share = max(served-left, 0) / float64(n)
		if n < len(parts) && parts[n].asked <= share {
			break
		}
	}
	fair := make(map[core.WorkspaceName]float64, n)
	for _, p := range parts[:n] {
		if within := share / p.asked; within < 1 {
			fair[p.workspace] = max(within, _leastFairPart)
		}
	}
	return fair
}

// sample returns a number from 0 to 1 that is the same each time for a request.
func sample(id string) float64 { return float64(xxhash.Sum64String(id)) / math.MaxUint64 }
