package platf_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/memnet"
	fake "apricotproxy/fakes/platf"
	"apricotproxy/io/platf"
)

const (
	_address = "platform:80"
	_key     = "apricotproxy/test"
)

// withServer runs a test with a client whose calls go to the handler.
func withServer(t *testing.T, handler http.Handler, reads float64, test func(*testing.T, *memnet.Network, *platf.Client)) {
	t.Helper()
	network := memnet.New(time.Millisecond)
	listener, err := network.Listen("tcp", _address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	var served sync.WaitGroup
	served.Go(func() { _ = server.Serve(listener) })
	client := platf.New(platf.Settings{Address: _address, Dialer: network.Dialer("entry-1"), Reads: reads})
	test(t, network, client)
	client.Close()
	_ = server.Close()
	served.Wait()
}

func TestReadAndWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fake.New(fake.Config{LoadsPerMinute: 6})
		platform.Publish(_key, []byte("one"))
		platform.SetHosts([]core.ListedHost{{Host: "entry-1", Address: "10.0.0.1:7443", Leaving: true}})
		withServer(t, platform, 0, func(t *testing.T, _ *memnet.Network, client *platf.Client) {
			value, version, err := client.Read(t.Context(), _key)
			if err != nil || string(value) != "one" || version != 1 {
				t.Fatalf("read %q at %d: %v", value, version, err)
			}
			time.AfterFunc(100*time.Second, func() { platform.Publish(_key, []byte("two")) })
			value, version, err = client.Watch(t.Context(), _key, version)
			if err != nil || string(value) != "two" || version != 2 {
				t.Errorf("watched %q at %d: %v", value, version, err)
			}
			hosts, err := client.Hosts(t.Context())
			if err != nil || len(hosts) != 1 || !hosts[0].Leaving {
				t.Errorf("hosts %v: %v", hosts, err)
			}
			rate, err := client.LoadsPerMinute(t.Context())
			if err != nil || rate != 6 {
				t.Errorf("rate %v: %v", rate, err)
			}
		})
	})
}

// A watch continues through an hour without the service, and makes few calls.
func TestWatchSurvivesHourWithoutService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fake.New(fake.Config{})
		platform.Publish(_key, []byte("one"))
		platform.SetDown(true)
		withServer(t, platform, 0, func(t *testing.T, _ *memnet.Network, client *platf.Client) {
			time.AfterFunc(time.Hour, func() {
				platform.SetDown(false)
				platform.Publish(_key, []byte("two"))
			})
			value, _, err := client.Watch(t.Context(), _key, 1)
			if err != nil || string(value) != "two" {
				t.Errorf("watched %q: %v", value, err)
			}
			if calls := platform.Calls(); calls > 3600 {
				t.Errorf("%d calls in the hour, want one per second at most", calls)
			}
		})
	})
}

// Calls stay within the read budget.
func TestReadBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fake.New(fake.Config{})
		platform.Publish(_key, []byte("one"))
		withServer(t, platform, 2, func(t *testing.T, _ *memnet.Network, client *platf.Client) {
			start := time.Now()
			for range 24 {
				if _, _, err := client.Read(t.Context(), _key); err != nil {
					t.Fatal(err)
				}
			}
			if took := time.Since(start); took < 10*time.Second {
				t.Errorf("24 reads took %v at 2 per second after a burst of 4, want 10 s at least", took)
			}
		})
	})
}

// A watch that the read budget allows no call waits for its deadline. It blocks meanwhile:
// otherwise the virtual time would stand still and the test hang.
func TestWatchWithoutPermitWaitsForDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fake.New(fake.Config{})
		platform.Publish(_key, []byte("one"))
		withServer(t, platform, 0.1, func(t *testing.T, _ *memnet.Network, client *platf.Client) {
			for range 4 {
				if _, _, err := client.Read(t.Context(), _key); err != nil {
					t.Fatal(err)
				}
			}
			calls, start := platform.Calls(), time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, _, err := client.Watch(ctx, _key, 1)
			if took := time.Since(start); !errors.Is(err, context.DeadlineExceeded) || took != 2*time.Second {
				t.Errorf("the watch ended after %v with %v, want its deadline after 2 s", took, err)
			}
			if platform.Calls() != calls {
				t.Errorf("%d calls without a permit", platform.Calls()-calls)
			}
		})
	})
}

// A connection that went silent costs one timeout; the next call succeeds.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fake.New(fake.Config{})
		platform.Publish(_key, []byte("one"))
		withServer(t, platform, 0, func(t *testing.T, network *memnet.Network, client *platf.Client) {
			if _, _, err := client.Read(t.Context(), _key); err != nil {
				t.Fatal(err)
			}
			network.Silence("platform", "entry-1")
			start := time.Now()
			var failed *platf.Error
			if _, _, err := client.Read(t.Context(), _key); !errors.As(err, &failed) || !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("the silent read gave %v, want a timeout", err)
			}
			if _, _, err := client.Read(t.Context(), _key); err != nil {
				t.Errorf("the read after it: %v", err)
			}
			if took := time.Since(start); took > 5*time.Second {
				t.Errorf("the two reads took %v", took)
			}
		})
	})
}

// Values that are too large, refusals and bad headers are errors that name the
// problem.
func TestBadAnswers(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    string
	}{
		{"too large", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 2*platf.MaxValueBytes+1))
		}, "above 1 MB"},
		{"no value", http.NotFound, "status 404"},
		{"bad version", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Version", "new") }, "header Version"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				withServer(t, c.handler, 0, func(t *testing.T, _ *memnet.Network, client *platf.Client) {
					_, _, err := client.Read(t.Context(), _key)
					if err == nil || !strings.Contains(err.Error(), c.want) {
						t.Errorf("read gave %v, want %q", err, c.want)
					}
				})
			})
		})
	}
}
