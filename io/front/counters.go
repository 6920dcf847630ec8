package front

import (
	"expvar"
	"strconv"
	"sync"
)

// counters are what the metrics address shows of routed requests.
type counters struct {
	answers *expvar.Map
	tries   *expvar.Map
}

var _publish = sync.OnceValue(func() *counters {
	return &counters{
		answers: expvar.NewMap("apricotproxy.Routed.Answers"),
		tries:   expvar.NewMap("apricotproxy.Routed.Tries"),
	}
})

func newCounters() *counters { return _publish() }

func (c *counters) answered(status int) { c.answers.Add(strconv.Itoa(status), 1) }

func (c *counters) tried(result string) { c.tries.Add(result, 1) }
