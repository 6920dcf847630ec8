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

type timedReport struct {
	at   time.Time
	body reportBody
}

// note keeps the present state for reports. It is called with mu held.
func (e *Engine) note() {
	now := time.Now()
	e.reports = append(e.reports, timedReport{at: now, body: reportBody{
		Incarnation:  e.incarnation,
		Phase:        e.phase.String(),
		Leaving:      e.leaving,
		FreeTokens:   e.config.MemoryTokens - e.used,
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

// serveReport answers with the state of ReportLag ago.
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
	if !e.take(core.EngineOrder(body)) {
		http.Error(w, "Fence: expected a number that is not old", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// take carries out an order, unless its fencing number is checked and old.
func (e *Engine) take(order core.EngineOrder) bool {
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
		loaded := core.LoadedModel{Model: order.Model, Adapter: order.Adapter, Version: order.Version}
		incarnation := e.incarnation
		time.AfterFunc(e.config.LoadTime, func() { e.loaded(incarnation, loaded) })
	}
	e.note()
	return true
}

// loaded ends a load. A version replaces another of the same model and adapter.
func (e *Engine) loaded(incarnation core.Incarnation, loaded core.LoadedModel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation || e.down {
		return
	}
	models := []core.LoadedModel{loaded}
	for _, m := range e.models {
		if m.Model != loaded.Model || m.Adapter != loaded.Adapter {
			models = append(models, m)
		}
	}
	e.models = models
	e.note()
}

// prefixCache holds the prefixes in use and the events that tell of them.
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

func (c *prefixCache) store(now time.Time, prefixes []uint64, config Config) {
	for _, p := range prefixes {
		if c.holds(p) {
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

func (c *prefixCache) holds(prefix uint64) bool {
	for _, p := range c.held {
		if p == prefix {
			return true
		}
	}
	return false
}

func (c *prefixCache) publish(now time.Time, prefix uint64, stored bool, config Config) {
	c.sequence++
	if config.CacheGap > 0 && c.sequence%uint64(config.CacheGap) == 0 {
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
	// Without a number all events are sent.
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
	_ = json.NewEncoder(w).Encode(body) // a broken link concerns the reader only
}
