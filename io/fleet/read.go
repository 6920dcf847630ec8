package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/member"
	"apricotproxy/core/procs/spread"
)

const (
	// A read that fails is tried again after this at the earliest; the
	// platform's client adds its own back-off.
	_readRetry   = 250 * time.Millisecond
	_listPeriod  = 10 * time.Second
	_listRetry   = time.Second
	_readTimeout = 5 * time.Second
)

// readLoop reads and watches the site's key of the configuration service, as
// the plan of core/procs/spread asks.
func (f *Fleet) readLoop(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		read := f.nextRead(time.Now())
		if !sleep(ctx, read.At, nil) {
			return
		}
		seen, err := f.readOnce(ctx, read, version)
		switch {
		case err == nil:
			version = seen
		case ctx.Err() != nil:
			return
		default:
			f.readFailed(err)
			if !sleep(ctx, time.Now().Add(_readRetry), nil) {
				return
			}
		}
	}
}

func (f *Fleet) readFailed(err error) {
	f.log.V(1).Info("Reading the configuration service failed.", "Cause", err.Error())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads.Failed()
	f.spread.ServiceAsked()
}

func (f *Fleet) nextRead(now time.Time) spread.Read {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads.Next(now, f.alive(), max(len(f.config.Hosts), 1), f.config.Limits.ServiceReads)
}

// alive gives this host and those that it does not believe dead. It is called
// with mu held.
func (f *Fleet) alive() []core.HostName {
	alive := []core.HostName{f.settings.Self.Host}
	for _, host := range f.member.Hosts() {
		if f.member.Standing(host) != member.StandingDead {
			alive = append(alive, host)
		}
	}
	return alive
}

// readOnce makes one call of the service and offers what it gave. A watch that
// is given up at its deadline is no failure.
func (f *Fleet) readOnce(ctx context.Context, read spread.Read, version uint64) (uint64, error) {
	if read.Kind == spread.ReadWatch {
		return f.watchOnce(ctx, read, version)
	}
	ctx, cancel := context.WithTimeout(ctx, _readTimeout)
	defer cancel()
	value, seen, err := f.settings.Service.Read(ctx, f.key)
	if err != nil {
		return version, fmt.Errorf("read the configuration: %w", err)
	}
	return seen, f.offerValue(value)
}

func (f *Fleet) watchOnce(ctx context.Context, read spread.Read, version uint64) (uint64, error) {
	hold, cancel := context.WithDeadline(ctx, read.HoldUntil)
	defer cancel()
	value, seen, err := f.settings.Service.Watch(hold, f.key, version)
	if err != nil {
		if hold.Err() != nil {
			return version, nil
		}
		return version, fmt.Errorf("watch the configuration: %w", err)
	}
	return seen, f.offerValue(value)
}

// offerValue hands a value of the service to the spread. A value that is not
// JSON is rejected like any other invalid revision: the last good one stays.
func (f *Fleet) offerValue(value []byte) error {
	var bundle core.Bundle
	if err := json.Unmarshal(value, &bundle); err != nil {
		f.audit(core.AuditRevisionRejected, 0, "service", err.Error())
		return fmt.Errorf("decode the value of %s, want JSON with Revision, Base and Overlay: %w", f.key, err)
	}
	f.offer("service", func() spread.Decision { return f.spread.Offer(bundle) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spread.ServiceAsked()
	f.confirmView(time.Now())
	return nil
}

// listLoop reads the platform's host list. Hosts that do not read the
// configuration service read the list as rarely as they poll that one.
func (f *Fleet) listLoop(ctx context.Context) {
	for {
		pause := f.listOnce(ctx)
		if !sleep(ctx, time.Now().Add(pause), nil) {
			return
		}
	}
}

func (f *Fleet) listOnce(ctx context.Context) time.Duration {
	if f.settings.List == nil {
		return time.Hour
	}
	call, cancel := context.WithTimeout(ctx, _readTimeout)
	defer cancel()
	hosts, err := f.settings.List.Hosts(call)
	if err != nil {
		f.log.V(1).Info("Reading the host list failed.", "Cause", err.Error())
		return _listRetry
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.member.SetListed(hosts)
	f.listed = make(map[core.HostName]string, len(hosts))
	for _, host := range hosts {
		f.listed[host.Host] = host.Address
	}
	if f.reads.IsReader(f.alive()) {
		return f.reads.Jitter(_listPeriod)
	}
	return f.reads.Jitter(spread.PollPeriod(len(f.config.Hosts), f.config.Limits.ServiceReads))
}
