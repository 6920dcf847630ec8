package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"apricotproxy/fakes/narrow"
)

const (
	// _linkBytesPerSecond is the bandwidth of the narrowest links, 10 Mbit/s.
	_linkBytesPerSecond = 10_000_000 / 8
	// _configSpread is the time within which a confirmed configuration must be in force on
	// large sites.
	_configSpread = 3 * time.Second
)

// largeConfig returns a configuration of about a megabyte: what is in force of it and a
// list of routes with random names, which only add to its length.
func largeConfig(version int, prefix string) string {
	random := rand.New(rand.NewPCG(uint64(version), 0))
	var routes []string
	for range 4000 {
		routes = append(routes, fmt.Sprintf(`{"name":"r%08x","host":"h%08x.example","prefix":"/%08x/%08x/","kind":"idempotent","maxAttempts":2,"timeoutMs":4000,`+
			`"goalMs":300,"priority":3,"sticky":false,"services":[{"service":"desk%08x","weight":100}],"anonymous":false}`,
			random.Uint32(), random.Uint32(), random.Uint32(), random.Uint32(), random.Uint32()))
	}
	return fmt.Sprintf(`{"Version":%d,"Prefix":%q,"Routes":[%s]}`, version, prefix, strings.Join(routes, ","))
}

// A large configuration is in force in time on all hosts of a data centre, although one of
// them reads the store for the others and all links are narrow.
func TestLargeConfigurationSpreadsOverNarrowLinks(t *testing.T) {
	const hosts = 16
	s := newStoppedSite(t, hosts)
	for i := range hosts {
		s.Settings[i].Listen = narrow.New(_linkBytesPerSecond).Listen(net.Listen)
		s.Clients[i].SetDown(i > 0)
	}
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	s.endpoint("e1", okHandler("one"))
	for i := range hosts {
		s.start(i)
	}
	s.eventually("all serve", 2*time.Second, s.allServe("/a/", "one"))
	s.store.Put("config", largeConfig(2, "/b/"))
	s.eventually("version 2 is in force", _configSpread, s.allServe("/b/", "one"))
}
