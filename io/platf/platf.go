// Package platf is a read-only client of the platform: of the configuration
// service, the host list and the weight store's published rate.
// docs/platform.md specifies the protocol.
//
// Every call counts against this host's share of the site's read budget. A watch
// that waits counts as one call.
package platf

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/io/intact"
)

const (
	// MaxValueBytes is the size of the largest value that the configuration
	// service holds.
	MaxValueBytes = 1 << 20

	_readTimeout   = 3 * time.Second
	_watchTimeout  = 35 * time.Second
	_minBackoff    = 100 * time.Millisecond
	_maxBackoff    = 3 * time.Second
	_readBurst     = 4
	_versionHeader = "Version"
)

// Settings configure a Client.
type Settings struct {
	// Address is the platform's host and port.
	Address string
	Dialer  core.Dialer
	// Reads is this host's share of the site's read budget, in calls per second;
	// 0 means no limit.
	Reads float64
}

// Error is a failed call of the platform.
type Error struct {
	Call   string
	Status int
	// RetryAt is when the platform asked for a retry; zero if it did not.
	RetryAt time.Time
	Err     error
}

// Error returns the form "platform: read apricotproxy/site: status 429".
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("platform: %s: status %d", e.Call, e.Status)
	}
	return fmt.Sprintf("platform: %s: %v", e.Call, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// ErrTooLarge means that an answer is longer than twice MaxValueBytes. The factor of
// two leaves room for JSON escape sequences.
var ErrTooLarge = errors.New("the value is above 1 MB; publish a smaller one")

// errNoPermit means that the read budget allows no call before the context ends.
var errNoPermit = errors.New("wait for the read budget")

// Client implements core.ConfigService and core.HostList over HTTP. It is safe
// for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	limiter *rate.Limiter

	mu      sync.Mutex
	backoff *backoff.ExponentialBackOff
	retryAt time.Time
}

var (
	_ core.ConfigService = (*Client)(nil)
	_ core.HostList      = (*Client)(nil)
)

// New builds a Client. It opens no connection.
func New(settings Settings) *Client {
	limit := rate.Inf
	if settings.Reads > 0 {
		limit = rate.Limit(settings.Reads)
	}
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = _minBackoff
	wait.MaxInterval = _maxBackoff
	transport := &http.Transport{
		DialContext:         intact.DialWith(settings.Dialer),
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{
		baseURL: "http://" + settings.Address,
		http:    &http.Client{Transport: intact.NewTransport(transport)},
		limiter: rate.NewLimiter(limit, _readBurst),
		backoff: wait,
	}
}

// SetReads changes this host's share of the read budget, in calls per second.
// Values of 0 and below are ignored.
func (c *Client) SetReads(reads float64) {
	if reads <= 0 {
		return
	}
	c.limiter.SetLimit(rate.Limit(reads))
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read returns the current value of the key. It does not retry.
func (c *Client) Read(ctx context.Context, key string) (value []byte, version uint64, err error) {
	answer, err := c.get(ctx, "read "+key, "/v1/config/"+key, _readTimeout)
	if err != nil {
		return nil, 0, err
	}
	return answer.body, answer.version, nil
}

// Watch waits until the key's version is above after, or ctx ends. If the service
// fails, it retries with exponential back-off and jitter.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (value []byte, version uint64, err error) {
	path := "/v1/config/" + key + "?After=" + strconv.FormatUint(after, 10)
	for {
		answer, err := c.get(ctx, "watch "+key, path, _watchTimeout)
		if errors.Is(err, errNoPermit) {
			<-ctx.Done() // the next call is allowed only after the watch has ended
		}
		if ctx.Err() != nil {
			return nil, 0, fmt.Errorf("watch %s: %w", key, ctx.Err())
		}
		if err == nil && answer.status == http.StatusOK {
			return answer.body, answer.version, nil
		}
	}
}

// Hosts returns the platform's list of hosts, which lags behind the state of the
// hosts.
func (c *Client) Hosts(ctx context.Context) ([]core.ListedHost, error) {
	answer, err := c.get(ctx, "hosts", "/v1/hosts", _readTimeout)
	if err != nil {
		return nil, err
	}
	var list struct{ Hosts []core.ListedHost }
	if err := json.Unmarshal(answer.body, &list); err != nil {
		return nil, &Error{Call: "hosts", Err: fmt.Errorf("decode the list: %w", err)}
	}
	return list.Hosts, nil
}

// LoadsPerMinute returns the weight store's published rate limit.
func (c *Client) LoadsPerMinute(ctx context.Context) (float64, error) {
	answer, err := c.get(ctx, "weights", "/v1/weights", _readTimeout)
	if err != nil {
		return 0, err
	}
	var weights struct{ LoadsPerMinute float64 }
	if err := json.Unmarshal(answer.body, &weights); err != nil {
		return 0, &Error{Call: "weights", Err: fmt.Errorf("decode the rate: %w", err)}
	}
	return weights.LoadsPerMinute, nil
}

// answer is a response with status 200 or 304. version is 0 if the response has no
// version header.
type answer struct {
	status  int
	version uint64
	body    []byte
}

// get makes one call, after waiting for the back-off and the read budget. A call
// that times out closes its connection, so that a connection that went silent is
// never used again.
func (c *Client) get(ctx context.Context, call, path string, timeout time.Duration) (answer, error) {
	if err := c.awaitBackoff(ctx); err != nil {
		return answer{}, &Error{Call: call, Err: fmt.Errorf("wait for the back-off: %w", err)}
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return answer{}, &Error{Call: call, Err: fmt.Errorf("%w: %w", errNoPermit, err)}
	}
	got, err := c.exchange(ctx, call, path, timeout)
	if ctx.Err() == nil {
		c.updateBackoff(err)
	}
	return got, err
}

func (c *Client) exchange(ctx context.Context, call, path string, timeout time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, http.NoBody)
	if err != nil {
		return answer{}, &Error{Call: call, Err: fmt.Errorf("build the request: %w", err)}
	}
	response, err := c.http.Do(request)
	if err != nil {
		// The idle connections may have gone silent for the same reason.
		c.http.CloseIdleConnections()
		return answer{}, &Error{Call: call, Err: fmt.Errorf("ask the platform: %w", err)}
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(call, response)
}

func readAnswer(call string, response *http.Response) (answer, error) {
	got := answer{status: response.StatusCode}
	if response.StatusCode == http.StatusNotModified {
		return got, nil
	}
	if response.StatusCode != http.StatusOK {
		return got, &Error{Call: call, Status: response.StatusCode, RetryAt: retryAt(response.Header)}
	}
	// JSON escape sequences may double the size of a value.
	body, err := io.ReadAll(io.LimitReader(response.Body, 2*MaxValueBytes+1))
	if err != nil {
		return got, &Error{Call: call, Err: fmt.Errorf("read the answer: %w", err)}
	}
	if len(body) > 2*MaxValueBytes {
		return got, &Error{Call: call, Err: ErrTooLarge}
	}
	got.body = body
	if text := response.Header.Get(_versionHeader); text != "" {
		got.version, err = strconv.ParseUint(text, 10, 64)
		if err != nil {
			return got, &Error{Call: call, Err: fmt.Errorf("parse header %s: %w", _versionHeader, err)}
		}
	}
	return got, nil
}

func retryAt(header http.Header) time.Time {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return time.Time{}
	}
	return time.Now().Add(core.Seconds(float64(seconds)))
}

// awaitBackoff waits until the back-off after the last failure is over.
func (c *Client) awaitBackoff(ctx context.Context) error {
	wait := mutex.Get(&c.mu, func() time.Duration { return time.Until(c.retryAt) })
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// updateBackoff updates the back-off after a call: a success ends it and a failure
// lengthens it. If the platform's Retry-After is later than the back-off, it
// applies instead.
func (c *Client) updateBackoff(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.backoff.Reset()
		c.retryAt = time.Time{}
		return
	}
	c.retryAt = time.Now().Add(c.backoff.NextBackOff())
	var failed *Error
	if errors.As(err, &failed) && failed.RetryAt.After(c.retryAt) {
		c.retryAt = failed.RetryAt
	}
}
