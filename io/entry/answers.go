package entry

import (
	"net/http"

	"apricotproxy/core"
)

// inspectAnswer records what an endpoint says of itself in any of its answers: that it is
// leaving.
func (h *Host) inspectAnswer(endpoint core.RoutedEndpoint, answer *http.Response) {
	if answer.StatusCode == http.StatusMisdirectedRequest {
		return // another endpoint is at this address
	}
	if answer.Header.Get(h.settings.Names.Leaving) == "1" && h.sharedPlacer.RecordLeaving(endpoint.Key()) {
		h.log.Info("An endpoint says in an answer that it is leaving.", "Endpoint", endpoint.ID, "Status", answer.StatusCode)
		_notices.Add("Leaving", 1)
		h.peers.scheduleHeartbeat()
	}
}
