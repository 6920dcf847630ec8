package front

import (
	"net/http"
	"net/url"
	"strconv"

	"apricotproxy/core"
	"apricotproxy/core/procs/reach"
)

// PeerHandler returns the handler of the address for other hosts: it serves the requests that they
// relay, and those to stop a run, and passes all others to next.
func (f *Front) PeerHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if from := r.Header.Get(_relayedBy); from != "" {
			f.serveRelayed(w, r, core.HostName(from))
			return
		}
		if r.Method == http.MethodPost && r.URL.Path == _stopRunPath {
			f.serveStop(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Relayed returns the number of requests in flight that other hosts relayed.
func (f *Front) Relayed() int { return int(f.relayed.Load()) }

// serveRelayed serves a request of another host like one of a caller, by what this host knows. A
// stopping host and one that is busy take none.
func (f *Front) serveRelayed(w http.ResponseWriter, r *http.Request, from core.HostName) {
	id := r.Header.Get(f.config.Names.RequestID)
	if f.planned.stop.Load() != nil || !f.config.Reach.acceptRelayed(from, f.Running()-f.Relayed()) {
		f.log.Info("A request of another host is not taken.", "Request", id, "From", from, "State", f.config.Reach.State().String(), "Relayed", f.Relayed(), "Running", f.Running())
		_relays.Add("NotTaken", 1)
		w.Header().Set(f.config.Names.RequestID, id)
		f.refuseRelayed(w.Header())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f.relayed.Add(1)
	defer func() {
		f.relayed.Add(-1)
		f.config.Reach.endRelayed(from)
	}()
	f.log.Info("A request of another host is served.", "Request", id, "From", from, "Relayed", f.Relayed())
	_relays.Add("Served", 1)
	f.serve(w, r, from)
}

// refuseRelayed marks an answer to another host as one that says that the request did not run.
func (f *Front) refuseRelayed(header http.Header) { header.Set(f.config.Names.NotRun, "1") }

// relayedStatus returns the status of this host's own error as another host gets it: one that has
// become cut off itself leaves the request to further hosts.
func (f *Front) relayedStatus(header http.Header, status int) int {
	if !meansNotRun(status) {
		return status
	}
	f.refuseRelayed(header)
	if f.config.Reach.State() == reach.CutOff {
		return http.StatusMisdirectedRequest
	}
	return status
}

// limitAttempts bounds on how many endpoints a relayed request may run by what its host says.
func (r *request) limitAttempts(header http.Header) {
	attempts, err := strconv.Atoi(header.Get(_relayAttempts))
	if r.relayedBy == "" || err != nil || attempts < 1 || attempts >= r.Route.MaxAttempts {
		return
	}
	route := *r.Route
	route.MaxAttempts = attempts
	r.Route = &route
}

// tellBuild tells the host that relayed the request which service and build write the stream, and at which endpoint.
func (e *exchange) tellBuild(header http.Header) {
	if e.request.relayedBy != "" {
		header.Set(_relayService, string(e.request.Service))
		header.Set(_relayBuild, url.QueryEscape(string(e.build)))
		header.Set(_relayEndpoint, url.QueryEscape(e.run.Endpoint.ID))
	}
}

// dropRelayHeaders removes the headers of the hop between two hosts.
func dropRelayHeaders(header http.Header) {
	for _, name := range []string{_relayedBy, _relayAttempts, _relayService, _relayBuild, _relayEndpoint, _relayExclude} {
		header.Del(name)
	}
}
