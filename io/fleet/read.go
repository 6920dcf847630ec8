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
	// Shortest delay before a failed read is retried. The platform's client adds its own
	// backoff.
	_readRetryDelay     = 250 * time.Millisecond
	_hostListInterval   = 10 * time.Second
	_hostListRetryDelay = time.Second
	_readTimeout        = 5 * time.Second
)

// readLoop reads and watches the site's key in the configuration service, as planned by
// core/procs/spread.
func (f *Fleet) readLoop(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		read := f.nextRead(time.Now())
		if !waitUntil(ctx, read.At, nil) {
			return
		}
		newVersion, err := f.readOnce(ctx, read, version)
		switch {
		case err == nil:
			version = newVersion
		case ctx.Err() != nil:
			return
		default:
			f.readFailed(err)
			if !waitUntil(ctx, time.Now().Add(_readRetryDelay), nil) {
				return
			}
		}
	}
}

func (f *Fleet) readFailed(err error) {
	f.log.V(1).Info("Reading the configuration service failed.", "Cause", err.Error())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readPlanner.Failed()
	f.spread.ServiceAsked()
}

func (f *Fleet) nextRead(now time.Time) spread.Read {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readPlanner.Next(now, f.aliveHosts(), max(len(f.config.Hosts), 1), f.config.Limits.ServiceReads)
}

// aliveHosts returns this host and all hosts that it does not believe dead. The caller
// holds mu.
func (f *Fleet) aliveHosts() []core.HostName {
	alive := []core.HostName{f.settings.Self.Host}
	for _, host := range f.member.Hosts() {
		if f.member.Standing(host) != member.StandingDead {
			alive = append(alive, host)
		}
	}
	return alive
}

// readOnce makes one call to the configuration service and processes the value that it
// returns. It returns the version of the value, or the given version if a watch reached
// its deadline, which is not an error.
func (f *Fleet) readOnce(ctx context.Context, read spread.Read, version uint64) (uint64, error) {
	if read.Kind == spread.ReadWatch {
		return f.watchOnce(ctx, read, version)
	}
	ctx, cancel := context.WithTimeout(ctx, _readTimeout)
	defer cancel()
	value, newVersion, err := f.settings.ConfigService.Read(ctx, f.configKey)
	if err != nil {
		return version, fmt.Errorf("read the configuration: %w", err)
	}
	return newVersion, f.offerValue(value)
}

func (f *Fleet) watchOnce(ctx context.Context, read spread.Read, version uint64) (uint64, error) {
	watchCtx, cancel := context.WithDeadline(ctx, read.HoldUntil)
	defer cancel()
	value, newVersion, err := f.settings.ConfigService.Watch(watchCtx, f.configKey, version)
	if err != nil {
		if watchCtx.Err() != nil {
			return version, nil
		}
		return version, fmt.Errorf("watch the configuration: %w", err)
	}
	return newVersion, f.offerValue(value)
}

// offerValue processes a value read from the configuration service. A value that is not
// JSON is rejected like any other invalid revision: the last valid one stays in force.
func (f *Fleet) offerValue(value []byte) error {
	var bundle core.Bundle
	if err := json.Unmarshal(value, &bundle); err != nil {
		f.audit(core.AuditRevisionRejected, 0, "service", err.Error())
		return fmt.Errorf("decode the value of %s, want JSON with Revision, Base and Overlay: %w", f.configKey, err)
	}
	f.decideAndApply("service", func() spread.Decision { return f.spread.Offer(bundle) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spread.ServiceAsked()
	f.allowEngineOrders(time.Now())
	return nil
}

// hostListLoop reads the platform's host list. Hosts that are not readers of the
// configuration service read the list as rarely as they poll the service.
func (f *Fleet) hostListLoop(ctx context.Context) {
	for {
		pause := f.readHostList(ctx)
		if !waitUntil(ctx, time.Now().Add(pause), nil) {
			return
		}
	}
}

// readHostList reads the host list once and returns the delay of the next read.
func (f *Fleet) readHostList(ctx context.Context) time.Duration {
	if f.settings.HostList == nil {
		return time.Hour
	}
	callCtx, cancel := context.WithTimeout(ctx, _readTimeout)
	defer cancel()
	hosts, err := f.settings.HostList.Hosts(callCtx)
	if err != nil {
		f.log.V(1).Info("Reading the host list failed.", "Cause", err.Error())
		return _hostListRetryDelay
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.member.SetListed(hosts)
	f.listedAddresses = make(map[core.HostName]string, len(hosts))
	for _, host := range hosts {
		f.listedAddresses[host.Host] = host.Address
	}
	if f.readPlanner.IsReader(f.aliveHosts()) {
		return f.readPlanner.Jitter(_hostListInterval)
	}
	return f.readPlanner.Jitter(spread.PollPeriod(len(f.config.Hosts), f.config.Limits.ServiceReads))
}
