package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/reqst/leave"
	"apricotproxy/io/links"
)

const (
	// _backupReadyDelay is how long after a run's first event its backup can be relied
	// on. Engines send a run's memory to its backup several times a second.
	_backupReadyDelay = time.Second
	// _copyRetryInterval is the pause before a failed copy is tried again, to another
	// endpoint.
	_copyRetryInterval = 100 * time.Millisecond
	// _moveTimeout bounds one request to copy a run's memory to another engine, or to
	// free such a copy.
	_moveTimeout = 3 * time.Second
	// _handoverDelay is the time from when this host learns that an engine is leaving
	// until it stops a run there, so that the run continues from its copy. The engine
	// exits 1.5 s or more after it announces that it leaves, so the handover must come
	// earlier; it must come after the first copies of the engine's other runs, since
	// the last part of this copy would be queued behind them. A run that is not stopped
	// lacks its last tokens at the other engine, and is queued there behind whole
	// prompts.
	_handoverDelay = 1000 * time.Millisecond
	// _maxQuickMove is the longest that updating a copy takes while the network links
	// are idle: the transfer of a few megabytes and a round trip.
	_maxQuickMove = 50 * time.Millisecond
	// _handoverTimeout bounds the copy of the last part of a run's memory once the engine has
	// closed the stream of the run that it stopped.
	_handoverTimeout = 150 * time.Millisecond
)

// backup is a copy of a run's memory, its KV cache, on another endpoint. It is safe for
// concurrent use: one goroutine maintains it while another relays the stream.
type backup struct {
	mu sync.Mutex
	// run is the copy's placement on its endpoint; nil if there is no copy.
	run *place.Run
	// continueFrom identifies the copy to the endpoint that continues from it.
	continueFrom string
	// handle identifies a copy that was made on request; it is empty for one that the
	// engine sends by itself as the run grows.
	handle string
	// handover is how far the run was stopped so that its copy can be completed.
	handover handover
}

// handover is how far a run was stopped.
type handover uint8

const (
	_handoverNone handover = iota
	// _handoverRunning: the engine was asked to stop the run.
	_handoverRunning
	// _handoverUnanswered: it has not answered, or goes on with the run. It closes the stream if it stops
	// the run.
	_handoverUnanswered
	// _handoverDone: it has stopped the run.
	_handoverDone
)

// endpoint returns the endpoint that holds the copy; zero if there is no copy.
func (b *backup) endpoint() core.RoutedEndpoint {
	if run := b.placement(); run != nil {
		return run.Endpoint.RoutedEndpoint
	}
	return core.RoutedEndpoint{}
}

// continuation returns the endpoint that holds the copy and what identifies the copy there.
// There must be a copy.
func (b *backup) continuation() (key core.EndpointKey, from string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.run.Endpoint.Key(), b.continueFrom
}

// copied returns the copy's placement, nil if there is none, and what identifies the copy.
func (b *backup) copied() (run *place.Run, from string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.run, b.continueFrom
}

func (b *backup) set(placer *SharedPlacer, run *place.Run, from, handle string) {
	before := b.swap(run, from, handle)
	if before != run {
		placer.end(before, 0)
	}
}

// swap sets the copy and returns the placement of the one before.
func (b *backup) swap(run *place.Run, from, handle string) (before *place.Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if run == nil {
		b.handover = _handoverNone
	}
	before = b.run
	b.run, b.continueFrom, b.handle = run, from, handle
	return before
}

func (b *backup) drop(placer *SharedPlacer) { b.set(placer, nil, "", "") }

// moveHandle returns the handle of a copy that was made on request; empty if there is
// none.
func (b *backup) moveHandle() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.handle
}

func (b *backup) setHandover(h handover) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handover = h
}

func (b *backup) handoverState() handover {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.handover
}

// String returns the name used in logs.
func (h handover) String() string {
	return [...]string{"None", "Running", "Unanswered", "Done"}[h]
}

// handoverStarted reports whether the engine may have stopped the run.
func (b *backup) handoverStarted() bool { return b.handoverState() != _handoverNone }

func (b *backup) placement() *place.Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.run
}

// backupReady reports whether there is a copy from which the run can continue. A
// backup that the engine sends as the run grows counts only some time after the run's
// first event, since an engine that has not received a copy might run the request
// again from its start.
func (e *exchange) backupReady() bool {
	if e.backup.placement() == nil {
		return false
	}
	return e.backup.moveHandle() != "" || (!e.firstEventAt.IsZero() && time.Since(e.firstEventAt) > _backupReadyDelay)
}

// engineSpec describes the engines of the request's service; nil for a plain service.
// A configuration may name the service no more while the request runs.
func (e *exchange) engineSpec() *core.EngineSpec {
	view := e.front.config.View()
	if service, ok := view.Table.Service(e.request.Service); ok {
		e.engines = service.Engine
	}
	return e.engines
}

// backupEngineSpec describes the engines of a request that needs a backup: a stream
// that cannot be resumed from its event ids alone. It returns nil for other requests.
func (e *exchange) backupEngineSpec() *core.EngineSpec {
	if route := e.request.Route; route.Kind != core.RouteStreaming || route.Resumable {
		return nil
	}
	return e.engineSpec()
}

// chooseBackup picks the endpoint to which the engine sends copies of the run's memory
// as it grows.
func (e *exchange) chooseBackup() {
	e.backup.drop(e.placer())
	if spec := e.backupEngineSpec(); spec == nil || !spec.Backups {
		return
	}
	if run := e.placer().placeBackup(e.copySpec()); run != nil {
		e.backup.set(e.placer(), run, run.Endpoint.Address+"/"+e.request.ID, "")
	}
}

// copySpec describes where a copy of the run's memory may be placed.
func (e *exchange) copySpec() *place.Spec {
	exclude := slices.Concat([]string{e.run.Endpoint.ID}, e.excluded(), e.failedCopyTargets)
	return &place.Spec{
		Request: e.request.RoutedRequest, Exclude: exclude, SourceDataCentre: e.run.Endpoint.DataCentre,
		OneBuild: true, Build: e.run.Endpoint.Build,
	}
}

// maintainBackup starts a goroutine that has the run's memory copied to another
// endpoint when its own is leaving and no usable copy exists. It calls end once the
// run was stopped for the handover, so that the try ends. The returned function stops
// the goroutine and waits for it; it is told whether the stream is complete.
func (e *exchange) maintainBackup(ctx context.Context, end context.CancelCauseFunc) (stop func(isComplete bool)) {
	if spec := e.backupEngineSpec(); spec == nil || !spec.Moves {
		return func(bool) {}
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			changed := e.placer().nextChange()
			var retry <-chan time.Time
			pause := e.updateBackup(ctx)
			if e.backup.handoverState() == _handoverDone {
				end(errHandedOver)
				return
			}
			if pause > 0 {
				retry = time.After(pause)
			}
			select {
			case <-ctx.Done():
				return
			case <-ended:
				return
			case <-changed:
			case <-retry:
			}
		}
	})
	return func(isComplete bool) {
		close(ended)
		// A stream that is stopped for the handover may end before its copy is complete.
		if !isComplete && e.backup.handoverState() == _handoverRunning {
			defer time.AfterFunc(_handoverTimeout, cancel).Stop()
		} else {
			cancel()
		}
		group.Wait()
		cancel()
	}
}

// updateBackup makes or updates the copy if that is due. It returns the time after
// which to check again if no endpoint has changed until then; 0 for never.
func (e *exchange) updateBackup(ctx context.Context) time.Duration {
	target, leaving := e.backup.placement(), e.placer().endpointLeaving(e.run)
	hasCopy := target != nil && e.placer().usable(target.Endpoint.Key())
	if hasCopy && leaving && !e.backup.handoverStarted() && e.placer().isRateLimited(target.Endpoint.ID) {
		hasCopy = false // the run may have to wait there; another engine may have room now
	}
	if !hasCopy {
		e.backup.drop(e.placer())
	}
	if !leaving || e.backup.handoverStarted() || (hasCopy && e.backup.moveHandle() == "") {
		return 0
	}
	if e.leavingSince.IsZero() {
		e.leavingSince = time.Now()
	}
	if hasCopy {
		if due := time.Until(e.leavingSince.Add(_handoverDelay)); due > 0 {
			return due
		}
		return e.tryHandOver(ctx, target)
	}
	target = e.placer().placeMigration(e.copySpec())
	if target == nil {
		if !e.noRoomLogged {
			e.log("No engine has room for the memory of a run whose engine is leaving.", "Endpoint", e.run.Endpoint.ID)
		}
		e.noRoomLogged = true
		return _copyRetryInterval
	}
	e.notifyLoadChanged()
	if moved := e.copyTo(ctx, target, false); moved.err != nil {
		if ctx.Err() == nil {
			e.log("A run's memory could not be copied.", "To", target.Endpoint.ID, "Cause", moved.err.Error(),
				"Runs", target.PriorLoad.Runs, "Tokens", target.PriorLoad.Tokens, "Prefill", target.PriorLoad.Prefill)
		}
		e.placer().end(target, 0)
		e.failedCopyTargets = append(e.failedCopyTargets, target.Endpoint.ID)
		return _copyRetryInterval
	}
	e.log("A run's memory was copied.", "To", target.Endpoint.ID)
	return max(time.Until(e.leavingSince.Add(_handoverDelay)), _copyRetryInterval)
}

// tryHandOver updates the copy and, if that was quick, stops the run and completes the
// copy. A slow update shows that the network links are busy with other copies, and the
// stream would pause until they are done.
func (e *exchange) tryHandOver(ctx context.Context, target *place.Run) time.Duration {
	began := time.Now()
	if moved := e.copyTo(ctx, target, false); moved.err != nil {
		return _copyRetryInterval
	}
	if time.Since(began) > _maxQuickMove {
		return _copyRetryInterval
	}
	return e.handOver(ctx, target)
}

// handOver stops the run at its engine and completes its copy. The engine closes the
// stream without ending it, and the stream continues from the copy. If completing the
// copy fails, it continues from the copy as it was before. Until the engine has said that it
// stopped the run, or has closed the stream, the stream does not go on elsewhere. An engine that is silent may
// act on the request late, so its answer is awaited for as long as the run goes on. handOver
// returns the time after which to try again; 0 for never.
func (e *exchange) handOver(ctx context.Context, target *place.Run) time.Duration {
	e.backup.setHandover(_handoverRunning)
	moved := e.copyTo(ctx, target, true)
	evidence := moved.evidence()
	if moved.err != nil {
		e.log("The last part of a run's memory could not be copied.", "To", target.Endpoint.ID, "Evidence", evidence.String(), "Status", moved.status, "Cause", moved.err.Error())
	} else {
		e.log("A run was handed over.", "To", target.Endpoint.ID)
	}
	switch evidence {
	case leave.Stopped:
		e.backup.setHandover(e.confirmHandover(ctx, target))
		return 0
	case leave.Asked:
		e.backup.setHandover(_handoverUnanswered)
		return 0
	default:
		e.backup.setHandover(_handoverNone)
		return _copyRetryInterval
	}
}

// confirmHandover asks an engine that has answered that it stopped a run until it does not have it any more: one that acts
// late may still work on it.
func (e *exchange) confirmHandover(ctx context.Context, target *place.Run) handover {
	ctx, cancel := context.WithTimeout(ctx, _handoverTimeout)
	defer cancel()
	for pause := _stopPoll; ; pause *= 2 {
		asked := e.requestMove(ctx, e.run.Endpoint.RoutedEndpoint, target.Endpoint.Address, e.stopRequests)
		switch evidence := asked.evidence(); evidence {
		case leave.NoRun:
			return _handoverDone
		case leave.Stopped:
		default:
			e.log("It is not known whether an engine has stopped a run.", "Endpoint", e.run.Endpoint.ID, "Evidence", evidence.String())
			return _handoverUnanswered
		}
		if !sleepUnlessDone(ctx, pause) {
			return _handoverUnanswered
		}
	}
}

// copyTo has the run's memory copied to a target and, if that succeeds, makes this copy the
// backup. With last, the engine stops the run first.
func (e *exchange) copyTo(ctx context.Context, target *place.Run, last bool) moveResult {
	source := e.run.Endpoint.RoutedEndpoint
	var stops *stopRequests
	if last {
		stops = e.stopRequests
	}
	moved := e.requestMove(ctx, source, target.Endpoint.Address, stops)
	if moved.err == nil {
		e.backup.set(e.placer(), target, source.Address+"/"+moved.handle, moved.handle)
	}
	return moved
}

// freeCopy frees a copy that was made on request and is not needed any more. Otherwise
// it would hold memory until its handle expires.
func (e *exchange) freeCopy() {
	handle := e.backup.moveHandle()
	if handle == "" {
		return
	}
	if err := e.front.freeHandle(context.Background(), e.run.Endpoint.RoutedEndpoint, handle); err != nil {
		e.log("A copy of a run's memory could not be freed.", "Cause", err.Error())
	}
}

// freeHandle frees the memory that an engine keeps, or has copied, under a handle.
func (f *Front) freeHandle(ctx context.Context, source core.RoutedEndpoint, handle string) error {
	ctx, cancel := context.WithTimeout(ctx, _moveTimeout)
	defer cancel()
	answer, err := f.config.Links.Do(ctx, source, &links.Request{
		Method: http.MethodDelete, Target: f.config.Paths.Handle + handle, HostName: source.Address,
		Header: http.Header{}, Identify: f.identifyCall,
	})
	if err != nil {
		return fmt.Errorf("free a handle: %w", err)
	}
	defer answer.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, _maxSkippedBytes)); err != nil {
		return fmt.Errorf("read the answer to the freeing of a handle: %w", err)
	}
	return nil
}

// moveResult is an engine's answer to the request to copy a run's memory.
type moveResult struct {
	// status is the answer's status; 0 if there was none.
	status int
	// isWhole is true if the answer was read to its end.
	isWhole bool
	// handle identifies the copy, or the memory that the engine keeps of a run that it stopped
	// and could not copy.
	handle string
	err    error
}

// requestMove asks the engine that runs the request to copy the run's memory to another
// engine. The run goes on meanwhile or, if stops is not nil, is stopped first; stops belongs to the
// try of the run. The error is nil if the copy is complete.
func (e *exchange) requestMove(ctx context.Context, source core.RoutedEndpoint, to string, stops *stopRequests) moveResult {
	if stops == nil {
		return e.front.requestMove(ctx, e.request.ID, source, to, false)
	}
	stops.send()
	result := e.front.requestMove(ctx, e.request.ID, source, to, true)
	stops.settle(time.Now(), result.evidence())
	return result
}

// requestMove asks the engine that runs a request to copy the run's memory to another engine. With last, the
// run is stopped first.
func (f *Front) requestMove(ctx context.Context, request string, source core.RoutedEndpoint, to string, last bool) (result moveResult) {
	body, err := json.Marshal(map[string]any{"id": request, "to": to, "last": last})
	if err != nil {
		return moveResult{err: fmt.Errorf("encode the move: %w", err)}
	}
	ctx, cancel := context.WithTimeout(ctx, _moveTimeout)
	defer cancel()
	answer, err := f.config.Links.Do(ctx, source, &links.Request{
		Method: http.MethodPost, Target: f.config.Paths.Move, HostName: source.Address,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
		Identify: f.identifyCall,
	})
	if err != nil {
		return moveResult{err: fmt.Errorf("request a move: %w", err)}
	}
	defer answer.Close()
	result.status = answer.StatusCode
	text, err := io.ReadAll(io.LimitReader(answer, _maxSkippedBytes))
	if err != nil {
		result.err = fmt.Errorf("read the answer to a move: %w", err)
		return result
	}
	result.isWhole = true
	result.handle, result.err = decodeHandle(text)
	if answer.StatusCode != http.StatusOK {
		result.err = fmt.Errorf("the engine answered a move with status %d", answer.StatusCode)
	}
	return result
}

func decodeHandle(text []byte) (string, error) {
	var reply struct {
		Handle any `json:"handle"`
	}
	if err := json.Unmarshal(text, &reply); err != nil {
		return "", fmt.Errorf("decode the answer to a move: %w", err)
	}
	switch value := reply.Handle.(type) {
	case string:
		return value, nil
	case float64:
		return fmt.Sprintf("%.0f", value), nil
	default:
		return "", errors.New("the answer to a move has no handle")
	}
}
