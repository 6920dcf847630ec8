package front

import (
	"net/http"

	"apricotproxy/core"
	"apricotproxy/io/links"
)

// identify tells whether an answer belongs to this request. It must repeat the request's id. A
// refusal (status 421 or the Not-Run header) without an id is believed only as the first answer
// on its connection: later it may be a copy of an earlier one while this request runs. An
// endpoint that leaves out ids gets each further request on a new connection.
func (e *exchange) identify(endpoint core.RoutedEndpoint, answer *http.Response, isFirst bool) links.Ownership {
	names := e.front.config.Names
	echo := answer.Header.Get(names.RequestID)
	isRefusal := answer.StatusCode == http.StatusMisdirectedRequest || answer.Header.Get(names.NotRun) != ""
	switch {
	case echo == e.request.ID, e.front.config.Switches.AcceptAnyAnswer:
		return links.Own
	case echo != "" || !isRefusal:
		return links.Foreign
	}
	if e.front.config.Links.RequireNew(endpoint) {
		e.log("An endpoint refuses without a request's id; each request to it gets a new connection.",
			"Endpoint", endpoint.ID, "Status", answer.StatusCode, "Believed", isFirst)
	}
	if !isFirst {
		return links.Foreign
	}
	return links.Unnamed
}

// identifyCall tells whether an answer belongs to a call that has no request id.
func (f *Front) identifyCall(answer *http.Response, _ bool) links.Ownership {
	return links.IdentifyCall(answer, f.config.Names.RequestID)
}
