package confg_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"apricotproxy/core"
	"apricotproxy/core/versn/confg"
)

// largeBundle returns a site of the given size, with 12 data centres, one section
// of endpoints for each, and workspaces listed by name in 20 groups.
func largeBundle(hosts, endpoints, workspaces int) core.Bundle {
	const dataCentres, groups = 12, 20
	var text strings.Builder
	text.WriteString("[Site]\nName = large\nRegion = plains\n\n[Service writing]\nKind = Engine\nModel = writer\n")
	for i := range dataCentres {
		fmt.Fprintf(&text, "\n[DataCentre zone-%d]\nHosts = 10.%d.1.[1-%d]\n", i, i, hosts/dataCentres)
		fmt.Fprintf(&text, "\n[Endpoints writing.zone-%d]\nAddresses = 10.%d.2.[1-%d]\n", i, i, endpoints/dataCentres)
	}
	for i := range groups {
		fmt.Fprintf(&text, "\n[Workspaces group-%d]\nServices = writing\nWeight = %d\nNames = ", i, i+1)
		for j := range workspaces / groups {
			if j > 0 {
				text.WriteString(", ")
			}
			if j%5 == 4 {
				text.WriteString("\\\n  ")
			}
			fmt.Fprintf(&text, "customer-of-group-%d-number-%d", i, j)
		}
		text.WriteString("\n")
	}
	return core.Bundle{Revision: 1, Base: "[Limits]\nQueueTimeout = 20s\n", Overlay: text.String()}
}

// BenchmarkParse parses bundles of increasing size. The metric retained-KB is the
// memory that one parsed configuration holds.
func BenchmarkParse(b *testing.B) {
	for _, size := range []struct{ hosts, endpoints, workspaces int }{
		{12, 24, 20}, {60, 120, 1500}, {360, 600, 7500},
	} {
		b.Run(fmt.Sprintf("endpoints=%d/workspaces=%d", size.endpoints, size.workspaces), func(b *testing.B) {
			bundle := largeBundle(size.hosts, size.endpoints, size.workspaces)
			var config core.Config
			var err error
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			b.ReportAllocs()
			for b.Loop() {
				config, err = confg.Parse(bundle, "large")
				if err != nil {
					b.Fatal(err)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(len(bundle.Base)+len(bundle.Overlay))/1024, "bundle-KB")
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1024, "retained-KB")
			if len(config.Endpoints) != size.endpoints || len(config.Workspaces) != size.workspaces {
				b.Fatalf("%d endpoints, %d workspaces", len(config.Endpoints), len(config.Workspaces))
			}
		})
	}
}

// TestLargeSiteFits parses a site of the largest supported size.
func TestLargeSiteFits(t *testing.T) {
	bundle := largeBundle(360, 600, 7500)
	config, err := confg.Parse(bundle, "large")
	if err != nil {
		t.Fatal(faultDetails(err))
	}
	if len(config.Hosts) != 360 || len(config.Endpoints) != 600 || len(config.Workspaces) != 7500 {
		t.Errorf("%d hosts, %d endpoints, %d workspaces", len(config.Hosts), len(config.Endpoints), len(config.Workspaces))
	}
}

// TestTooManyKeysOrLines parses texts that would take time quadratic in their size
// without a limit.
func TestTooManyKeysOrLines(t *testing.T) {
	for name, text := range map[string]string{
		"too many keys":  "[Limits]\n" + keyLines(200),
		"too many lines": "[Limits]\nQueueTimeout = " + strings.Repeat("a\\\n", 10_000),
	} {
		_, err := confg.Read(confg.Source{File: "base.ini"}, confg.Source{File: "a.ini", Text: text})
		if err == nil || !strings.Contains(err.Error(), "too many") {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func keyLines(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "Key%c%c = 1\n", 'a'+i/26, 'a'+i%26)
	}
	return text.String()
}
