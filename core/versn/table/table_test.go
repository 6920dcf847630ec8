package table_test

import (
	"errors"
	"math"
	"testing"

	"apricotproxy/core"
	"apricotproxy/core/versn/table"
)

func route(name, host, prefix string) core.Route {
	return core.Route{Name: name, HostName: host, Prefix: prefix, Services: []core.WeightedService{{Service: "desk", Weight: 1}}}
}

func TestLongestPrefixWins(t *testing.T) {
	built, err := table.Build(table.Source{
		Services: []core.RoutedService{{Name: "desk"}},
		Routes:   []core.Route{route("root", "h", "/"), route("a", "h", "/a/"), route("ab", "h", "/a/b/"), route("other", "i", "/a/")},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"h", "/a/b/c", "ab"},
		{"h", "/a/b/", "ab"},
		{"h", "/a/b", "a"},
		{"h", "/a/x/b/", "a"},
		{"h", "/x", "root"},
		{"i", "/a/b/c", "other"},
		{"i", "/x", ""},
		{"j", "/a/", ""},
		{"h", "", ""},
	} {
		got := ""
		if r, ok := built.Match(c.host, c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s matches %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestBuildErrorNamesTheRoute(t *testing.T) {
	bad := route("r", "h", "/a/")
	for name, change := range map[string]func(*core.Route){
		"prefix":          func(r *core.Route) { r.Prefix = "/a" },
		"no service":      func(r *core.Route) { r.Services = nil },
		"unknown service": func(r *core.Route) { r.Services = []core.WeightedService{{Service: "none"}} },
	} {
		r := bad
		change(&r)
		_, err := table.Build(table.Source{Services: []core.RoutedService{{Name: "desk"}}, Routes: []core.Route{r}})
		var field *table.FieldError
		if !errors.As(err, &field) || field.Place != "route r" {
			t.Errorf("%s: error %v, want one that names route r", name, err)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := &core.Route{Services: []core.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	for drawn, want := range map[float64]core.ServiceName{0: "a", 0.89: "a", 0.91: "b", 0.9999: "b"} {
		if got := table.Pick(r, drawn); got != want {
			t.Errorf("drawn %v: %s, want %s", drawn, got, want)
		}
	}
}

func TestWorkspaceByKey(t *testing.T) {
	built, err := table.Build(table.Source{Workspaces: []table.Workspace{{Name: "travis", Keys: []string{"k1", "k2"}}, {Name: "hays", Keys: []string{"k3"}}}})
	if err != nil {
		t.Fatal(err)
	}
	if w, ok := built.Workspace("k2"); !ok || w.Name != "travis" {
		t.Errorf("k2 belongs to %v, want travis", w)
	}
	if _, ok := built.Workspace("k4"); ok {
		t.Error("found a workspace for the unknown key k4")
	}
}

// A weight that cannot be meant left a route's requests to one of its services, or to none that was named.
func TestPickWithWeightsThatCannotBeMeant(t *testing.T) {
	for name, weight := range map[string]float64{"infinite": math.Inf(1), "not a number": math.NaN(), "huge": math.MaxFloat64, "negative": -1} {
		r := &core.Route{Services: []core.WeightedService{{Service: "odd", Weight: weight}, {Service: "a", Weight: 1 << 30}, {Service: "last"}}}
		picked := make(map[core.ServiceName]int)
		for i := range 100 {
			picked[table.Pick(r, float64(i)/100)]++
		}
		if picked["a"] < 40 || picked["last"] > 0 {
			t.Errorf("%s: picked %v, want the service with a weight at least every second time and none without one", name, picked)
		}
	}
}
