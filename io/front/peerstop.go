package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/reach"
	"apricotproxy/core/reqst/leave"
	"apricotproxy/io/links"
)

const (
	// _stopRunPath is where a host is asked, at its address for other hosts, to stop a run at an endpoint.
	_stopRunPath = "/stop-run"
	// _stopRun is the header of the answer with what is known when its head is sent: Asked if the host reaches the
	// endpoint, and then the body tells the result.
	_stopRun = "Stop-Run"
	// _maxHostsAsked is how many other hosts are asked at a time.
	_maxHostsAsked = 2
	// _hostTimeout bounds the wait for the head of the answer: the time limit of a dial, and round trips within
	// a region.
	_hostTimeout = 400 * time.Millisecond
	// _maxStopsForHosts bounds the runs that a host stops for others at a time. Each uses two connections.
	_maxStopsForHosts = 64
	// _maxStopBytes bounds the bodies of the request and of the answer.
	_maxStopBytes = 4 << 10
)

// stopCommand is the body of a request to another host to stop a run.
type stopCommand struct {
	// Endpoint identifies the endpoint at Address.
	Endpoint core.EndpointKey
	Address  string
	Service  core.ServiceName
	// RequestID is that of the run, To the address to which the endpoint copies its memory.
	RequestID, To string
}

// stopReport is the body of the answer. Evidence is the name of a leave.Evidence.
type stopReport struct {
	Evidence string
	// Handle identifies the copy; empty for none.
	Handle string
}

// hostReport is what another host told of a run. Its evidence is 0 if it told nothing.
type hostReport struct {
	evidence leave.Evidence
	handle   string
}

// stopThroughHosts asks other hosts that reach endpoints to stop a run at one to which this host cannot open a
// connection. It returns what tells most.
func (e *exchange) stopThroughHosts(ctx context.Context, source, to core.RoutedEndpoint, stops *stopRequests) (best hostReport) {
	if ctx.Err() != nil {
		return hostReport{}
	}
	hosts := e.front.config.Reach.pickReaching(_maxHostsAsked)
	command := &stopCommand{Endpoint: source.Key(), Address: source.Address, Service: source.Service, RequestID: e.request.ID, To: to.Address}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reports := make(chan hostReport, len(hosts))
	for _, host := range hosts {
		go func() { reports <- e.front.stopThrough(ctx, host, command, stops) }()
	}
	for range hosts {
		report := <-reports
		if report.evidence.TellsMoreThan(best.evidence) {
			best = report
		}
		if best.evidence == leave.Stopped {
			break
		}
	}
	return best
}

// stopThrough asks one other host to stop a run. Without an answer, the run may have been stopped.
func (f *Front) stopThrough(ctx context.Context, host reach.Host, command *stopCommand, stops *stopRequests) hostReport {
	begun := time.Now()
	stops.send()
	report, mayHaveAsked, err := f.requestStopThrough(ctx, host, command)
	settled := report.evidence
	switch {
	case settled != 0:
	case mayHaveAsked:
		settled = leave.Asked
	default:
		settled = leave.Unreachable
	}
	stops.settle(time.Now(), settled)
	f.log.Info("Another host was asked to stop a run.", "Request", command.RequestID, "Endpoint", command.Endpoint.ID, "Host", host.Name,
		"Evidence", report.evidence.String(), "MayHaveAsked", mayHaveAsked, "Took", time.Since(begun).Milliseconds(), "Cause", errorText(err))
	return report
}

// requestStopThrough sends the request to another host and reads its answer. mayHaveAsked is false if the
// other host is known not to have asked the endpoint.
func (f *Front) requestStopThrough(ctx context.Context, host reach.Host, command *stopCommand) (report hostReport, mayHaveAsked bool, err error) {
	body, err := json.Marshal(command)
	if err != nil {
		return hostReport{}, false, fmt.Errorf("encode the request to stop a run: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, _moveTimeout)
	defer cancel()
	timer := time.AfterFunc(_hostTimeout, cancel)
	answer, err := f.config.RelayLinks.Do(ctx, core.RoutedEndpoint{ID: string(host.Name), Address: host.Address}, &links.Request{
		Method: http.MethodPost, Target: _stopRunPath, HostName: host.Address, Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
		Identify: f.identifyCall, RequireFresh: true,
	})
	inTime := timer.Stop()
	var failed *links.Error
	if errors.As(err, &failed) && failed.Stage == links.StageDial {
		return hostReport{}, false, fmt.Errorf("ask another host: %w", err)
	}
	if err != nil {
		return hostReport{}, true, fmt.Errorf("ask another host: %w", err)
	}
	defer answer.Close()
	evidence, ok := leave.ParseEvidence(answer.Header.Get(_stopRun))
	if answer.StatusCode != http.StatusOK || !ok {
		return hostReport{}, false, fmt.Errorf("another host answered with status %d", answer.StatusCode)
	}
	report = hostReport{evidence: evidence}
	if evidence != leave.Asked || !inTime {
		return report, true, nil
	}
	if err := readStopReport(answer, &report); err != nil {
		return report, true, err
	}
	return report, true, nil
}

// readStopReport reads what became of a run after the head of the answer had told that its endpoint is reached.
func readStopReport(body io.Reader, report *hostReport) error {
	var told stopReport
	if err := json.NewDecoder(io.LimitReader(body, _maxStopBytes)).Decode(&told); err != nil {
		return fmt.Errorf("decode the answer of another host: %w", err)
	}
	evidence, ok := leave.ParseEvidence(told.Evidence)
	if !ok {
		return fmt.Errorf("another host answered %q", told.Evidence)
	}
	report.evidence, report.handle = evidence, told.Handle
	return nil
}

// serveStop stops a run for another host, at an endpoint that this host knows too.
func (f *Front) serveStop(w http.ResponseWriter, r *http.Request) {
	defer f.stopsForHosts.Add(-1)
	var command stopCommand
	if f.stopsForHosts.Add(1) > _maxStopsForHosts {
		f.refuseStop(w, &command, "busy")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, _maxStopBytes)) // whole: net/http notices that the other host left only then
	if err == nil {
		err = json.Unmarshal(body, &command)
	}
	if err != nil {
		f.refuseStop(w, &command, err.Error())
		return
	}
	source, ok := command.find(f.config.View())
	if !ok {
		f.refuseStop(w, &command, "an endpoint is not known")
		return
	}
	report := f.stopForHost(r.Context(), w, source, &command)
	f.log.Info("A run was to be stopped for another host.", "Request", command.RequestID, "Endpoint", source.ID, "Evidence", report.Evidence)
}

// refuseStop answers that the endpoint was not asked.
func (f *Front) refuseStop(w http.ResponseWriter, command *stopCommand, reason string) {
	f.log.Info("A run is not stopped for another host.", "Request", command.RequestID, "Endpoint", command.Endpoint.ID, "Reason", reason)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// find returns the endpoint of a run. It returns false unless both endpoints of the command are known at its
// addresses.
func (c *stopCommand) find(view *know.View) (source core.RoutedEndpoint, ok bool) {
	if view == nil {
		return source, false
	}
	knowsTarget := false
	for _, e := range view.Endpoints {
		knowsTarget = knowsTarget || e.Address == c.To && e.Service == c.Service
		if e.Key() == c.Endpoint && e.Address == c.Address && e.Service == c.Service {
			source, ok = e.RoutedEndpoint, true
		}
	}
	return source, ok && knowsTarget
}

// stopForHost asks an endpoint to stop a run. The head of the answer is sent once it is known whether the
// endpoint is reached, since the copy of a run's memory may take long.
func (f *Front) stopForHost(ctx context.Context, w http.ResponseWriter, source core.RoutedEndpoint, command *stopCommand) stopReport {
	if err := f.config.Links.Connect(ctx, source); err != nil {
		report := stopReport{Evidence: dialEvidence(err).String()}
		w.Header().Set(_stopRun, report.Evidence)
		return report
	}
	w.Header().Set(_stopRun, leave.Asked.String())
	w.Header().Set("Content-Type", "application/json")
	_ = http.NewResponseController(w).Flush() // a host that has left also ends ctx
	moved := f.requestMove(ctx, command.RequestID, source, command.To, true)
	report := stopReport{Evidence: moved.evidence().String()}
	if moved.hasCopy() {
		report.Handle = moved.handle
	}
	_ = json.NewEncoder(w).Encode(report)
	return report
}
