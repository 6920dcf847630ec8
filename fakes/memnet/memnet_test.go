package memnet_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"apricotproxy/fakes/memnet"
)

const _server = "10.0.0.1:80"

// connect opens a connection from 10.0.0.2 and returns both of its ends.
func connect(t *testing.T, network *memnet.Network) (near, far net.Conn) {
	t.Helper()
	listener, err := network.Listen("tcp", _server)
	if err != nil {
		t.Fatal(err)
	}
	near, err = network.Dialer("10.0.0.2").DialContext(t.Context(), "tcp", _server)
	if err != nil {
		t.Fatal(err)
	}
	far, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return near, far
}

// receive reads at most 16 bytes and waits for at most a second.
func receive(t *testing.T, c net.Conn) (string, error) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 16)
	n, err := c.Read(buffer)
	return string(buffer[:n]), err
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func TestHTTPOverMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		listener, err := network.Listen("tcp", _server)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for range 3 {
				_, _ = io.WriteString(w, "token\n")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(9 * time.Second)
			}
		})}
		go func() { _ = server.Serve(listener) }()
		transport := &http.Transport{DialContext: network.Dialer("10.0.0.2").DialContext}
		began := time.Now()
		response, err := (&http.Client{Transport: transport}).Get("http://" + _server)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || strings.Count(string(body), "token") != 3 {
			t.Fatalf("got %q, %v", body, err)
		}
		if took := time.Since(began); took < 27*time.Second {
			t.Fatalf("the virtual time advanced by %s only, want 27s or more", took)
		}
		transport.CloseIdleConnections()
		_ = server.Close()
	})
}

func TestStallHoldsBytesUntilHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(0)
		near, far := connect(t, network)
		network.Stall("10.0.0.1", "10.0.0.2")
		send(t, near, "held")
		if _, err := receive(t, far); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("read through a stalled link: %v", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := network.Dialer("10.0.0.2").DialContext(ctx, "tcp", _server); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("dial through a stalled link: %v", err)
		}
		network.Heal("10.0.0.1", "10.0.0.2")
		if got, err := receive(t, far); got != "held" || err != nil {
			t.Fatalf("after heal: %q, %v", got, err)
		}
	})
}

func TestSilenceIsOneWayAndForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(0)
		near, far := connect(t, network)
		network.Silence("10.0.0.2", "10.0.0.1")
		send(t, near, "lost")
		_ = near.Close()
		if _, err := receive(t, far); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("read from a closed connection over a silent link: %v", err)
		}
		if _, err := network.Dialer("10.0.0.2").DialContext(t.Context(), "tcp", _server); err != nil {
			t.Fatalf("a new connection must work: %v", err)
		}
	})
}

func TestKillResetsAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(0)
		near, _ := connect(t, network)
		network.Kill("10.0.0.1")
		if _, err := receive(t, near); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("read after the other machine was killed: %v", err)
		}
		if _, err := network.Dialer("10.0.0.2").DialContext(t.Context(), "tcp", _server); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dial of a killed machine: %v", err)
		}
	})
}

func TestPartitionSeparatesTheSets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(0)
		near, far := connect(t, network)
		heal := network.Partition([]string{"10.0.0.1", "10.0.0.3"}, []string{"10.0.0.2"})
		send(t, far, "held")
		if _, err := receive(t, near); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("read across the partition: %v", err)
		}
		if _, err := network.Dialer("10.0.0.3").DialContext(t.Context(), "tcp", _server); err != nil {
			t.Fatalf("within one side: %v", err)
		}
		heal()
		if got, err := receive(t, near); got != "held" || err != nil {
			t.Fatalf("after the partition: %q, %v", got, err)
		}
	})
}
