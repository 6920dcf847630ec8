package entry

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
)

// _maxClosed bounds how long an endpoint can ask for no requests.
const _maxClosed = time.Hour

// inspectAnswer records what an endpoint says of itself in any of its answers: that it is
// leaving, how many requests it takes, and until when it wants none of this host. An answer to
// a caller's request, which repeats its ID, also shows that the endpoint still runs.
func (h *Host) inspectAnswer(endpoint core.RoutedEndpoint, answer *http.Response) {
	if answer.StatusCode == http.StatusMisdirectedRequest {
		return // another endpoint is at this address
	}
	h.reach.RecordAnswer(endpoint)
	if answer.Header.Get(h.settings.Names.Leaving) == "1" && h.sharedPlacer.NoteLeaving(endpoint.Key()) {
		h.log.Info("An endpoint says in an answer that it is leaving.", "Endpoint", endpoint.ID, "Status", answer.StatusCode)
		_notices.Add("Leaving", 1)
		h.peers.scheduleHeartbeat()
	}
	if answer.Header.Get(h.settings.Names.RequestID) != "" {
		h.detector.RecordAnswer(endpoint.Key())
	}
	h.inspectRateLimit(endpoint, answer)
	value := answer.Header.Get("Retry-After")
	if answer.StatusCode != http.StatusServiceUnavailable || value == "" {
		return
	}
	now := time.Now()
	wait, ok := parseRetryAfter(value, now)
	if !ok {
		h.log.Info("An endpoint's Retry-After cannot be understood.", "Endpoint", endpoint.ID, "Value", value)
		return
	}
	if h.sharedPlacer.CloseUntil(endpoint.Key(), now.Add(wait)) {
		h.log.Info("An endpoint wants no requests for some time.", "Endpoint", endpoint.ID, "Time", wait.Milliseconds())
		_notices.Add("Closed", 1)
	}
}

// inspectRateLimit records the rate limit that an endpoint names in an answer, or that it names
// none. The latter counts only in answers to requests of callers, which repeat the request's
// ID: an endpoint might name its limit in no others.
func (h *Host) inspectRateLimit(endpoint core.RoutedEndpoint, answer *http.Response) {
	limit := place.RateLimit{SaidAt: time.Now()}
	if value := answer.Header.Get(h.settings.Names.RateLimit); value != "" {
		perSecond, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
			h.log.Info("An endpoint's rate limit cannot be understood.", "Endpoint", endpoint.ID, "Value", value)
			return
		}
		limit.PerSecond, limit.IsNamed = perSecond, true
	} else if answer.Header.Get(h.settings.Names.RequestID) == "" {
		return
	}
	before, changed := h.sharedPlacer.RecordRateLimit(endpoint.Key(), limit)
	if !changed {
		return
	}
	h.log.Info("An endpoint's rate limit changed.", "Endpoint", endpoint.ID, "Named", limit.IsNamed, "PerSecond", limit.PerSecond,
		"NamedBefore", before.IsNamed, "PerSecondBefore", before.PerSecond, "Status", answer.StatusCode)
	_notices.Add("RateLimit", 1)
	if limit.IsNamed != before.IsNamed {
		h.peers.scheduleHeartbeat()
	}
}

// parseRetryAfter returns the time that a Retry-After header asks for: seconds, with or
// without a fraction, or a date. It is at most _maxClosed.
func parseRetryAfter(value string, now time.Time) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(seconds) || seconds < 0 {
			return 0, false
		}
		return time.Duration(min(seconds, _maxClosed.Seconds()) * float64(time.Second)), true
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	return min(max(at.Sub(now), 0), _maxClosed), true
}
