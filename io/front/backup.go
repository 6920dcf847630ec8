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
	// _backupRetry is when a copy that was not made is tried again, elsewhere.
	_backupRetry = 100 * time.Millisecond
	// _moveTimeout bounds one copy of a run's memory to another engine.
	_moveTimeout = 3 * time.Second
	// _movedRenewal is how often a moved copy is brought up to date. An engine
	// drops one that is not renewed for its handle's term, 5 s; more often would
	// take the links from copies that are made for the first time.
	_movedRenewal = 4 * time.Second
)

// backup is where a copy of a run's memory is. It is safe for concurrent use: one
// goroutine keeps it while another streams.
type backup struct {
	mu  sync.Mutex
	run *place.Run
	// from names the copy to the endpoint that is to go on from it.
	from string
	// handle names a copy that was made by a move; empty for one that the engine
	// sends by itself. renewAt is when such a copy is to be brought up to date.
	handle  string
	renewAt time.Time
}

func (b *backup) exists() bool { return b.id() != "" }

func (b *backup) id() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.run == nil {
		return ""
	}
	return b.run.Endpoint.ID
}

func (b *backup) address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.run == nil {
		return ""
	}
	return b.run.Endpoint.Address
}

func (b *backup) source() (id, from string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.run.Endpoint.ID, b.from
}

func (b *backup) set(desk *Desk, run *place.Run, from, handle string) {
	b.mu.Lock()
	before := b.run
	b.run, b.from, b.handle = run, from, handle
	b.renewAt = time.Now().Add(_movedRenewal)
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

func (b *backup) renewal() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.renewAt
}

func (b *backup) current() *place.Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.run
}

// engineShape gives the engines of the request's service; nil for a plain one.
func (e *exchange) engineShape() *core.EngineShape {
	view := e.front.config.View()
	if service, ok := view.Table.Service(e.request.Service); ok {
		return service.Engine
	}
	return nil
}

// needsBackup is true for a stream that cannot be resumed from its events alone.
func (e *exchange) needsBackup() bool {
	route := e.request.Route
	return route.Kind == core.RouteStreaming && !route.Resumable && e.engineShape() != nil
}

// chooseBackup picks the endpoint to which the engine sends the run's memory as
// it grows.
func (e *exchange) chooseBackup() {
	e.backup.drop(e.desk())
	if !e.needsBackup() || !e.engineShape().Backups {
		return
	}
	if run := e.desk().copyFor(e.backupWant()); run != nil {
		e.backup.set(e.desk(), run, run.Endpoint.Address+"/"+e.request.ID, "")
	}
}

func (e *exchange) backupWant() *place.Want {
	exclude := slices.Concat([]string{e.run.Endpoint.ID}, e.used, e.refused)
	return &place.Want{Request: e.request.RoutedRequest, Exclude: exclude, Near: e.run.Endpoint.DataCentre}
}

// keepBackup has the run's memory copied to another endpoint when its own is
// leaving and no copy stands. It returns the function that ends it.
func (e *exchange) keepBackup(ctx context.Context) (stop func()) {
	if !e.needsBackup() || !e.engineShape().Moves {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() {
		for {
			changed := e.desk().changes()
			var again <-chan time.Time
			if pause := e.renewBackup(ctx); pause > 0 {
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
		cancel()
		group.Wait()
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
	if !e.desk().leaving(e.run) || (stands && e.backup.moved() == "") {
		return 0
	}
	if due := time.Until(e.backup.renewal()); stands && due > 0 {
		return due
	}
	if !stands {
		if target = e.desk().refugeFor(e.backupWant()); target == nil {
			if !e.homeless {
				e.log("No engine has room for a leaving run's memory.", "Endpoint", e.run.Endpoint.ID)
			}
			e.homeless = true
			return _backupRetry
		}
	}
	handle, err := e.move(ctx, target.Endpoint.Address)
	if err != nil {
		if ctx.Err() == nil {
			e.log("A run's memory could not be copied.", "To", target.Endpoint.ID, "Cause", err.Error())
		}
		if !stands {
			e.desk().end(target, 0)
			e.refused = append(e.refused, target.Endpoint.ID)
		}
		return _backupRetry
	}
	e.log("A run's memory was copied.", "To", target.Endpoint.ID, "Renewed", stands)
	e.backup.set(e.desk(), target, e.run.Endpoint.Address+"/"+handle, handle)
	return _movedRenewal
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

// move asks the engine that runs the request to copy its memory to another one
// and go on.
func (e *exchange) move(ctx context.Context, to string) (handle string, err error) {
	body, err := json.Marshal(map[string]any{"id": e.request.ID, "to": to, "last": false})
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
