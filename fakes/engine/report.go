package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"apricotproxy/core"
)

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

// timedReport is the report of the engine's state from a point in time on.
type timedReport struct {
	at   time.Time
	body reportBody
}

// recordState appends the current state to the reports and drops those that are
// no longer needed. It is called with mu held.
func (e *Engine) recordState() {
	now := time.Now()
	e.reports = append(e.reports, timedReport{at: now, body: reportBody{
		Incarnation:  e.incarnation,
		Phase:        e.phase.String(),
		Leaving:      e.leaving,
		FreeTokens:   e.config.MemoryTokens - e.usedTokens,
		TotalTokens:  e.config.MemoryTokens,
		Running:      len(e.running),
		Waiting:      len(e.waiting),
		Preemptions:  e.preemptions,
		FencingToken: e.fence,
		Models:       append([]core.LoadedModel(nil), e.models...),
		Role:         e.role,
	}})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.config.ReportLag {
		e.reports = e.reports[1:]
	}
}

// serveReport answers with the state as it was ReportLag ago.
func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	body := e.reports[0].body
	for _, r := range e.reports[1:] {
		if now.Sub(r.at) >= e.config.ReportLag {
			body = r.body
		}
	}
	e.mu.Unlock()
	writeJSON(w, body)
}

type orderBody struct {
	Fence   uint64
	Model   core.ModelName
	Adapter core.AdapterName
	Version core.VersionName
	Role    string
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "body: expected a JSON engine order", http.StatusBadRequest)
		return
	}
	if !e.applyOrder(core.EngineOrder(body)) {
		http.Error(w, "Fence: expected a number that is not old", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// applyOrder records an order and carries it out. It returns false if the engine
// checks fencing numbers and the order's is outdated.
func (e *Engine) applyOrder(order core.EngineOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	refused := e.config.ChecksFencing && order.Fence < e.fence
	e.orders = append(e.orders, Order{At: time.Now(), Order: order, Refused: refused})
	if refused {
		return false
	}
	e.fence = max(e.fence, order.Fence)
	if order.Role != "" {
		e.role = order.Role
	}
	if order.Model != "" {
		model := core.LoadedModel{Model: order.Model, Adapter: order.Adapter, Version: order.Version}
		incarnation := e.incarnation
		time.AfterFunc(e.config.LoadTime, func() { e.finishLoad(incarnation, model) })
	}
	e.recordState()
	return true
}

// finishLoad adds a loaded model, which replaces another version of the same model
// and adapter. A load that began in an earlier incarnation is dropped.
func (e *Engine) finishLoad(incarnation core.Incarnation, model core.LoadedModel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation || e.down {
		return
	}
	models := []core.LoadedModel{model}
	for _, m := range e.models {
		if m.Model != model.Model || m.Adapter != model.Adapter {
			models = append(models, m)
		}
	}
	e.models = models
	e.recordState()
}

// prefixCache holds the digests of the cached prefixes and the cache events.
type prefixCache struct {
	held     []uint64 // oldest first
	events   []cacheEvent
	sequence uint64
}

type cacheEvent struct {
	at       time.Time
	sequence uint64
	prefix   uint64
	stored   bool
}

// store caches prefixes. When the cache is full, it evicts the oldest ones.
func (c *prefixCache) store(now time.Time, prefixes []uint64, config Config) {
	for _, p := range prefixes {
		if c.contains(p) {
			continue
		}
		c.held = append(c.held, p)
		c.publish(now, p, true, config)
		if len(c.held) > config.CachePrefixes {
			c.publish(now, c.held[0], false, config)
			c.held = c.held[1:]
		}
	}
}

func (c *prefixCache) contains(prefix uint64) bool {
	for _, p := range c.held {
		if p == prefix {
			return true
		}
	}
	return false
}

// publish adds an event, or only uses up its sequence number if the event is to be
// dropped.
func (c *prefixCache) publish(now time.Time, prefix uint64, stored bool, config Config) {
	c.sequence++
	if config.DropCacheEvery > 0 && c.sequence%uint64(config.DropCacheEvery) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{at: now, sequence: c.sequence, prefix: prefix, stored: stored})
}

type cacheEventBody struct {
	Sequence uint64
	Prefix   string
	Stored   bool
}

type cacheEventsBody struct {
	Events []cacheEventBody
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	// If After is missing or not a number, all events are sent.
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	body := cacheEventsBody{Events: []cacheEventBody{}}
	e.mu.Lock()
	now := time.Now()
	for _, event := range e.cache.events {
		if event.sequence > after && now.Sub(event.at) >= e.config.CacheLag {
			body.Events = append(body.Events, cacheEventBody{
				Sequence: event.sequence,
				Prefix:   fmt.Sprintf("%016x", event.prefix),
				Stored:   event.stored,
			})
		}
	}
	e.mu.Unlock()
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has gone away
}
