package engine

import (
	"encoding/json"
	"fmt"
	"strconv"

	"apricotproxy/core"
)

// reportBody is the JSON form of an endpoint's report.
type reportBody struct {
	Incarnation  core.Incarnation
	Phase        string
	Leaving      bool
	FreeTokens   int64
	TotalTokens  int64
	Running      int
	Waiting      int
	Preemptions  uint64
	FencingToken uint64
	Models       []core.LoadedModel
	Role         string
}

// cacheEventsBody is the JSON form of a list of cache events. Prefix is a 64-bit
// digest in hexadecimal.
type cacheEventsBody struct {
	Events []struct {
		Sequence uint64
		Prefix   string
		Stored   bool
	}
}

// parsePhase accepts unknown names: an endpoint of unknown phase is treated as cold.
func parsePhase(name string) core.Phase {
	switch name {
	case core.PhaseCold.String():
		return core.PhaseCold
	case core.PhaseWarm.String():
		return core.PhaseWarm
	default:
		return core.PhaseUnknown
	}
}

func parseReport(body []byte) (core.Report, error) {
	var b reportBody
	if err := json.Unmarshal(body, &b); err != nil {
		return core.Report{}, fmt.Errorf("decode: %w", err)
	}
	return core.Report{
		Incarnation:  b.Incarnation,
		Phase:        parsePhase(b.Phase),
		Leaving:      b.Leaving,
		FreeTokens:   b.FreeTokens,
		TotalTokens:  b.TotalTokens,
		Running:      b.Running,
		Waiting:      b.Waiting,
		Preemptions:  b.Preemptions,
		FencingToken: b.FencingToken,
		Models:       b.Models,
		Role:         b.Role,
	}, nil
}

func parseCacheEvents(endpoint core.EndpointName, body []byte) ([]core.CacheEvent, error) {
	var b cacheEventsBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	events := make([]core.CacheEvent, 0, len(b.Events))
	for _, e := range b.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("prefix of event %d: %w", e.Sequence, err)
		}
		events = append(events, core.CacheEvent{Endpoint: endpoint, Sequence: e.Sequence, Prefix: prefix, Stored: e.Stored})
	}
	return events, nil
}
