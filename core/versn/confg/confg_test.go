package confg_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/core"
	"apricotproxy/core/versn/confg"
)

// files are the texts of testdata/*.ini, as one case changes them.
type files map[string]string

func readFiles(t *testing.T) files {
	t.Helper()
	read := files{}
	for _, name := range []string{"base.ini", "north.ini", "south.ini"} {
		text, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		read[name] = string(text)
	}
	return read
}

// patch changes one file: "- line" removes the line, "+ line" puts a line at
// the place of the last one removed, or at the end.
func (f files) patch(t *testing.T, d *datadriven.TestData) files {
	t.Helper()
	name := "north.ini"
	d.MaybeScanArgs(t, "file", &name)
	lines := strings.Split(strings.TrimSuffix(f[name], "\n"), "\n")
	place := len(lines)
	for _, edit := range strings.Split(d.Input, "\n") {
		switch {
		case strings.HasPrefix(edit, "- "):
			place = indexOf(t, lines, edit[2:])
			lines = append(lines[:place], lines[place+1:]...)
		case strings.HasPrefix(edit, "+"):
			added := strings.TrimPrefix(strings.TrimPrefix(edit, "+"), " ")
			lines = append(lines[:place], append([]string{added}, lines[place:]...)...)
			place++
		case edit != "":
			d.Fatalf(t, "%q begins with neither - nor +", edit)
		}
	}
	changed := files{}
	for file, text := range f {
		changed[file] = text
	}
	changed[name] = strings.Join(lines, "\n") + "\n"
	return changed
}

func indexOf(t *testing.T, lines []string, line string) int {
	t.Helper()
	for i := range lines {
		if lines[i] == line {
			return i
		}
	}
	t.Fatalf("no line %q", line)
	return 0
}

func (f files) read(site string) (confg.Site, error) {
	name := site + ".ini"
	return confg.Read(confg.Source{File: "base.ini", Text: f["base.ini"]}, confg.Source{File: name, Text: f[name]})
}

func faultPage(err error) string {
	var faults *confg.FaultsError
	if errors.As(err, &faults) {
		return faults.Page()
	}
	return err.Error() + "\n"
}

// TestFiles runs the cases of testdata/cases: each changes a file of a valid
// site and shows what reading, comparing or checking the sites together gives.
func TestFiles(t *testing.T) {
	standard := readFiles(t)
	datadriven.Walk(t, "testdata/cases", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			changed := standard.patch(t, d)
			site, err := changed.read("north")
			if err != nil {
				return faultPage(err)
			}
			switch d.Cmd {
			case "read":
				return site.Summary() + "\n"
			case "show":
				return site.Page()
			case "config":
				return configText(site.Config)
			case "diff":
				return diffText(t, standard, site)
			case "sites":
				return sitesText(t, changed, site)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}

func configText(config core.Config) string {
	text := &strings.Builder{}
	for _, list := range []any{config.DataCentres, config.Hosts, config.Services} {
		fmt.Fprintf(text, "%+v\n", list)
	}
	for _, endpoint := range config.Endpoints {
		fmt.Fprintf(text, "%+v\n", endpoint)
	}
	for _, workspace := range config.Workspaces {
		fmt.Fprintf(text, "%+v\n", workspace)
	}
	return text.String()
}

func diffText(t *testing.T, standard files, changed confg.Site) string {
	t.Helper()
	old, err := standard.read("north")
	if err != nil {
		t.Fatal(err)
	}
	text := ""
	for _, change := range confg.Diff(old.Config, changed.Config) {
		text += change.String() + "\n"
	}
	return text
}

func sitesText(t *testing.T, changed files, north confg.Site) string {
	t.Helper()
	south, err := changed.read("south")
	if err != nil {
		return faultPage(err)
	}
	if err := confg.CheckSites([]confg.Site{north, south}); err != nil {
		return faultPage(err)
	}
	return "no contradiction\n"
}

// TestExamples reads the example sites together.
func TestExamples(t *testing.T) {
	var sites []confg.Site
	base := readExample(t, "base.ini")
	for _, name := range []string{"lockyer.ini", "texas.ini"} {
		site, err := confg.Read(base, readExample(t, name))
		if err != nil {
			t.Fatal(faultPage(err))
		}
		if lines := strings.Count(site.Page(), "\n"); lines > 65 {
			t.Errorf("%s: the page has %d lines, want a page", name, lines)
		}
		sites = append(sites, site)
	}
	if err := confg.CheckSites(sites); err != nil {
		t.Error(faultPage(err))
	}
}

func readExample(t *testing.T, name string) confg.Source {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../../examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return confg.Source{File: name, Text: string(text)}
}

// TestEveryLimitIsRead finds fields of core.Limits that no setting reaches.
func TestEveryLimitIsRead(t *testing.T) {
	limits := reflect.ValueOf(confg.DefaultLimits())
	site, err := readFiles(t).read("north")
	if err != nil {
		t.Fatal(faultPage(err))
	}
	read := map[string]bool{}
	for _, setting := range site.Settings {
		read[setting.Section+" "+setting.Key] = true
	}
	for i := range limits.NumField() {
		name := limits.Type().Field(i).Name
		if limits.Field(i).IsZero() || !read["Limits "+name] {
			t.Errorf("%s has no default or no key in [Limits]", name)
		}
	}
}

func TestParse(t *testing.T) {
	read := readFiles(t)
	bundle := core.Bundle{Revision: 12, Base: read["base.ini"], Overlay: read["north.ini"]}
	config, err := confg.Parse(bundle, "north")
	if err != nil {
		t.Fatal(faultPage(err))
	}
	if config.Revision != 12 || config.Site != "north" || config.Digest == 0 {
		t.Errorf("got revision %d, site %s, digest %d", config.Revision, config.Site, config.Digest)
	}
	again, err := confg.Parse(core.Bundle{Revision: 13, Base: bundle.Base, Overlay: bundle.Overlay + "\n"}, "north")
	if err != nil {
		t.Fatal(faultPage(err))
	}
	if again.Digest == config.Digest {
		t.Error("another text has the same digest")
	}
	if _, err := confg.Parse(bundle, "south"); err == nil {
		t.Error("an overlay of another site is accepted")
	}
	large := core.Bundle{Base: bundle.Base, Overlay: bundle.Overlay + strings.Repeat(";\n", confg.MaxBundleBytes/2)}
	if _, err := confg.Parse(large, "north"); err == nil || !strings.Contains(err.Error(), "as published") {
		t.Errorf("a bundle over a megabyte gives %v", err)
	}
}

func ExampleDiff() {
	old := core.Config{DataCentres: []core.DataCentre{{Name: "waco", InService: true}}}
	for _, change := range confg.Diff(old, old.WithInService("waco", false)) {
		fmt.Println(change)
	}
	// Output: DataCentres: takes waco out of service: no new work there, running work goes on
}
