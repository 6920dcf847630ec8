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

// files holds the texts of testdata/*.ini by file name.
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

// patch returns a copy of the files with one file edited: "- line" removes the
// line, and "+ line" inserts a line where the last one was removed or inserted, or
// at the end.
func (f files) patch(t *testing.T, d *datadriven.TestData) files {
	t.Helper()
	name := "north.ini"
	d.MaybeScanArgs(t, "file", &name)
	lines := strings.Split(strings.TrimSuffix(f[name], "\n"), "\n")
	position := len(lines)
	for _, edit := range strings.Split(d.Input, "\n") {
		switch {
		case strings.HasPrefix(edit, "- "):
			position = indexOf(t, lines, edit[2:])
			lines = append(lines[:position], lines[position+1:]...)
		case strings.HasPrefix(edit, "+"):
			added := strings.TrimPrefix(strings.TrimPrefix(edit, "+"), " ")
			lines = append(lines[:position], append([]string{added}, lines[position:]...)...)
			position++
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

func faultDetails(err error) string {
	var faults *confg.FaultsError
	if errors.As(err, &faults) {
		return faults.Details()
	}
	return err.Error() + "\n"
}

// TestFiles runs the cases of testdata/cases. Each edits a file of a valid site and
// prints the result of parsing it, comparing it with the original, or checking both
// sites against each other.
func TestFiles(t *testing.T) {
	originals := readFiles(t)
	datadriven.Walk(t, "testdata/cases", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			changed := originals.patch(t, d)
			site, err := changed.read("north")
			if err != nil {
				return faultDetails(err)
			}
			switch d.Cmd {
			case "read":
				return site.Summary() + "\n"
			case "show":
				return site.Listing()
			case "config":
				return configText(site.Config)
			case "diff":
				return diffText(t, originals, site)
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

func diffText(t *testing.T, originals files, changed confg.Site) string {
	t.Helper()
	old, err := originals.read("north")
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
		return faultDetails(err)
	}
	if err := confg.CheckSites([]confg.Site{north, south}); err != nil {
		return faultDetails(err)
	}
	return "no contradiction\n"
}

// TestExamples parses the example sites and checks them against each other. The
// listing of each must fit on one page of 65 lines.
func TestExamples(t *testing.T) {
	var sites []confg.Site
	base := readExample(t, "base.ini")
	for _, name := range []string{"lockyer.ini", "texas.ini"} {
		site, err := confg.Read(base, readExample(t, name))
		if err != nil {
			t.Fatal(faultDetails(err))
		}
		if lines := strings.Count(site.Listing(), "\n"); lines > 65 {
			t.Errorf("%s: the listing has %d lines, want at most 65", name, lines)
		}
		sites = append(sites, site)
	}
	if err := confg.CheckSites(sites); err != nil {
		t.Error(faultDetails(err))
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

// TestEveryLimitIsRead checks that each field of core.Limits has a default and a
// key in [Limits].
func TestEveryLimitIsRead(t *testing.T) {
	limits := reflect.ValueOf(confg.DefaultLimits())
	site, err := readFiles(t).read("north")
	if err != nil {
		t.Fatal(faultDetails(err))
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
		t.Fatal(faultDetails(err))
	}
	if config.Revision != 12 || config.Site != "north" || config.Digest == 0 {
		t.Errorf("got revision %d, site %s, digest %d", config.Revision, config.Site, config.Digest)
	}
	again, err := confg.Parse(core.Bundle{Revision: 13, Base: bundle.Base, Overlay: bundle.Overlay + "\n"}, "north")
	if err != nil {
		t.Fatal(faultDetails(err))
	}
	if again.Digest == config.Digest {
		t.Error("another text has the same digest")
	}
	if _, err := confg.Parse(bundle, "south"); err == nil {
		t.Error("an overlay of another site is accepted")
	}
	large := core.Bundle{Base: bundle.Base, Overlay: bundle.Overlay + strings.Repeat(";\n", confg.MaxBundleBytes/2)}
	if _, err := confg.Parse(large, "north"); err == nil || !strings.Contains(err.Error(), "as published") {
		t.Errorf("a bundle above the size limit: got error %v", err)
	}
}

func ExampleDiff() {
	old := core.Config{DataCentres: []core.DataCentre{{Name: "waco", InService: true}}}
	for _, change := range confg.Diff(old, old.WithInService("waco", false)) {
		fmt.Println(change)
	}
	// Output: DataCentres: takes waco out of service: no new work there, running work goes on
}
