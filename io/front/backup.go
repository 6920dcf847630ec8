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
	"apricotproxy/io/links"
)

const (
	// _backupGrown is how long after a run's first event its engine has sent its
	// memory to the backup: it does so several times a second.
	_backupGrown = time.Second
	// _backupRetry is when a copy that was not made is tried again, elsewhere.
	_backupRetry = 100 * time.Millisecond
	// _moveTimeout bounds one copy of a run's memory to another engine.
	_moveTimeout = 3 * time.Second
	// _handoverAfter is when, after its engine was seen to leave, a run is stopped
	// there and goes on from its copy: before the engine ends, which it does 1.5 s
	// and more after its notice, and after the first copies of its other runs, behind
	// which the last part of this one would wait. A run that is not stopped lacks its
	// last tokens at the other engine and waits there behind whole prompts.
	_handoverAfter = 1000 * time.Millisecond
	// _quickMove is how long bringing a copy up to date takes when the links are idle:
	// a few megabytes and a round trip.
	_quickMove = 50 * time.Millisecond
	// _handoverTimeout bounds the last part of a copy, during which the run stands
	// still.
	_handoverTimeout = 150 * time.Millisecond
)

// backup is where a copy of a run's memory is. It is safe for concurrent use: one
// goroutine keeps it while another streams.
type backup struct {
	mu  sync.Mutex
	run *place.Run
	// from names the copy to the endpoint that is to go on from it.
	from string
	// handle names a copy that was made by a move; empty for one that the engine
	// sends by itself.
	handle string
	// final is true once the run is being stopped for its copy to be whole.
	final bool
}

// endpoint is where the copy is; zero while there is none.
func (b *backup) endpoint() core.RoutedEndpoint {
	if run := b.current(); run != nil {
		return run.Endpoint.RoutedEndpoint
	}
	return core.RoutedEndpoint{}
}

func (b *backup) source() (id, from string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.run.Endpoint.ID, b.from
}

func (b *backup) set(desk *Desk, run *place.Run, from, handle string) {
	b.mu.Lock()
	if run == nil {
		b.final = false
	}
	before := b.run
	b.run, b.from, b.handle = run, from, handle
	b.mu.Unlock()
	if before != run {
		desk.end(before, 0)
	}
}

func (b *backup) drop(desk *Desk) { b.set(desk, nil, "", "") }

// moved gives the handle of a copy made by a move.
func (b *backup) moved() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.handle
}

// finish marks that the run is being stopped; false when it was before.
func (b *backup) finish() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := !b.final
	b.final = true
	return first
}

func (b *backup) finishing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.final
}

func (b *backup) current() *place.Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.run
}

// backupStands tells whether there is a copy from which the run can go on. One that
// the engine sends as the run grows is taken to stand a while after the run's first
// event: an engine that has none might run the request anew.
func (e *exchange) backupStands() bool {
	if e.backup.current() == nil {
		return false
	}
	return e.backup.moved() != "" || (!e.began.IsZero() && time.Since(e.began) > _backupGrown)
}

// engineShape gives the engines of the request's service; nil for a plain one.
func (e *exchange) engineShape() *core.EngineSpec {
	view := e.front.config.View()
	if service, ok := view.Table.Service(e.request.Service); ok {
		return service.Engine
	}
	return nil
}

// backupShape gives the engines of a stream that cannot be resumed from its events
// alone, so that it needs a backup; nil for any other request.
func (e *exchange) backupShape() *core.EngineSpec {
	if route := e.request.Route; route.Kind != core.RouteStreaming || route.Resumable {
		return nil
	}
	return e.engineShape()
}

// chooseBackup picks the endpoint to which the engine sends the run's memory as
// it grows.
func (e *exchange) chooseBackup() {
	e.backup.drop(e.desk())
	if shape := e.backupShape(); shape == nil || !shape.Backups {
		return
	}
	if run := e.desk().copyFor(e.backupWant()); run != nil {
		e.backup.set(e.desk(), run, run.Endpoint.Address+"/"+e.request.ID, "")
	}
}

func (e *exchange) backupWant() *place.Spec {
	exclude := slices.Concat([]string{e.run.Endpoint.ID}, e.used, e.refused)
	return &place.Spec{Request: e.request.RoutedRequest, Exclude: exclude, SourceDataCentre: e.run.Endpoint.DataCentre}
}

// keepBackup has the run's memory copied to another endpoint when its own is
// leaving and no copy stands, and ends the try once the run is stopped there. It
// returns the function that ends it.
func (e *exchange) keepBackup(ctx context.Context, end context.CancelCauseFunc) (stop func()) {
	if shape := e.backupShape(); shape == nil || !shape.Moves {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() {
		for {
			changed := e.desk().changes()
			var again <-chan time.Time
			pause := e.renewBackup(ctx)
			if e.backup.finishing() {
				end(errHanded)
				return
			}
			if pause > 0 {
				again = time.After(pause)
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			case <-again:
			}
		}
	})
	return func() {
		// A stream that is stopped for its copy may end before the copy is whole.
		if !e.backup.finishing() {
			cancel()
		}
		group.Wait()
		cancel()
	}
}

// renewBackup looks after the copy once. It gives the time after which to look
// again though nothing changed; 0 for never.
func (e *exchange) renewBackup(ctx context.Context) time.Duration {
	target := e.backup.current()
	stands := target != nil && e.desk().usable(target.Endpoint.ID)
	if !stands {
		e.backup.drop(e.desk())
	}
	if !e.desk().leaving(e.run) || e.backup.finishing() || (stands && e.backup.moved() == "") {
		return 0
	}
	if e.leaving.IsZero() {
		e.leaving = time.Now()
	}
	if stands {
		if due := time.Until(e.leaving.Add(_handoverAfter)); due > 0 {
			return due
		}
		return e.tryHandOver(ctx, target)
	}
	target = e.desk().refugeFor(e.backupWant())
	if target == nil {
		if !e.homeless {
			e.log("No engine has room for a leaving run's memory.", "Endpoint", e.run.Endpoint.ID)
		}
		e.homeless = true
		return _backupRetry
	}
	e.loadChanged()
	if err := e.moveTo(ctx, target, false); err != nil {
		if ctx.Err() == nil {
			e.log("A run's memory could not be copied.", "To", target.Endpoint.ID, "Cause", err.Error())
		}
		e.desk().end(target, 0)
		e.refused = append(e.refused, target.Endpoint.ID)
		return _backupRetry
	}
	e.log("A run's memory was copied.", "To", target.Endpoint.ID)
	return max(time.Until(e.leaving.Add(_handoverAfter)), _backupRetry)
}

// tryHandOver brings the copy up to date and, when that was quick, stops the run and
// makes the copy whole: a slow one shows that the links are busy with other copies,
// behind which the stream would stand still.
func (e *exchange) tryHandOver(ctx context.Context, target *place.Run) time.Duration {
	began := time.Now()
	if err := e.moveTo(ctx, target, false); err != nil {
		return _backupRetry
	}
	if time.Since(began) > _quickMove {
		return _backupRetry
	}
	e.handOver(ctx, target)
	return 0
}

// handOver stops the run at its engine and makes its copy whole. The engine closes
// the stream without its end; it goes on from the copy, from the earlier one if this
// fails.
func (e *exchange) handOver(ctx context.Context, target *place.Run) {
	if !e.backup.finish() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _handoverTimeout)
	defer cancel()
	if err := e.moveTo(ctx, target, true); err != nil {
		e.log("A run could not be handed over whole.", "To", target.Endpoint.ID, "Cause", err.Error())
		return
	}
	e.log("A run was handed over.", "To", target.Endpoint.ID)
}

// moveTo has the run's memory copied to a target and takes the copy for the backup.
func (e *exchange) moveTo(ctx context.Context, target *place.Run, last bool) error {
	handle, err := e.move(ctx, target.Endpoint.Address, last)
	if err != nil {
		return err
	}
	e.backup.set(e.desk(), target, e.run.Endpoint.Address+"/"+handle, handle)
	return nil
}

// freeBackup frees a moved copy that is not needed any more, which would hold
// memory until its handle's term is over.
func (e *exchange) freeBackup() {
	handle := e.backup.moved()
	if handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), _moveTimeout)
	defer cancel()
	answer, err := e.front.config.Links.Do(ctx, e.run.Endpoint.RoutedEndpoint, &links.Request{
		Method: http.MethodDelete, Target: e.front.config.Paths.Handle + handle, HostName: e.run.Endpoint.Address,
		Header: http.Header{}, Own: func(*http.Response) bool { return true },
	})
	if err != nil {
		e.log("A copy could not be freed.", "Cause", err.Error())
		return
	}
	e.skip(answer)
	answer.Close()
}

// move asks the engine that runs the request to copy its memory to another one, and
// to go on meanwhile or, with last, to stop first.
func (e *exchange) move(ctx context.Context, to string, last bool) (handle string, err error) {
	body, err := json.Marshal(map[string]any{"id": e.request.ID, "to": to, "last": last})
	if err != nil {
		return "", fmt.Errorf("encode the move: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, _moveTimeout)
	defer cancel()
	answer, err := e.front.config.Links.Do(ctx, e.run.Endpoint.RoutedEndpoint, &links.Request{
		Method: http.MethodPost, Target: e.front.config.Paths.Move, HostName: e.run.Endpoint.Address,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
		Own: func(*http.Response) bool { return true },
	})
	if err != nil {
		return "", fmt.Errorf("ask for a move: %w", err)
	}
	defer answer.Close()
	text, err := io.ReadAll(io.LimitReader(answer, _skipBytes))
	if err != nil {
		return "", fmt.Errorf("read the answer to a move: %w", err)
	}
	if answer.StatusCode != http.StatusOK {
		return "", fmt.Errorf("the engine answered a move with status %d", answer.StatusCode)
	}
	var made struct {
		Handle any `json:"handle"`
	}
	if err := json.Unmarshal(text, &made); err != nil {
		return "", fmt.Errorf("decode the answer to a move: %w", err)
	}
	switch value := made.Handle.(type) {
	case string:
		return value, nil
	case float64:
		return fmt.Sprintf("%.0f", value), nil
	default:
		return "", errors.New("the answer to a move names no handle")
	}
}
