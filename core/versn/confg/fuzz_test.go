package confg

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gopkg.in/ini.v1"
)

// seedTexts adds the files of testdata, the examples, and texts on which ini.v1 and
// the index of lines have disagreed or could disagree.
func seedTexts(f *testing.F) {
	f.Helper()
	for _, pattern := range []string{"testdata/*.ini", "../../../examples/*.ini"} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			f.Fatalf("no files %s: %v", pattern, err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(string(text))
		}
	}
	for _, text := range []string{
		"[A]\nKey = a, \\\n  b\n\nOther = c\n",
		"[A]\nKey = a \\\n[B]\nOther = c\n",
		"[A]\nKey = \\\n\\\n\\\nOther = c",
		"[A] ; note [x]\nKey = v",
		"[A b]\nKey = v ; note \\\nOther = c\n",
		"[A]\nKey == =v\nOther = 'x ; y'\n",
		"\ufeff[A]\nKey = v\n",
		"[A]\r\nKey = v\r\nOther = w\r",
		"[DEFAULT]\nKey = %(Other)s\nOther = `x`\n",
		"[A]\nKey = \"\"\"a\nb\"\"\"\n",
		"[A]\n- = 1\n- = 2\n",
		"[A]\nKey =\u00a0v\u2028\n",
		"[Workspaces x]\nNames = a-[1-99999], b-[000001-20000]\n",
		"[Endpoints a.b.c]\nAddresses = [::1]:9000, 10.0.0.1/70000\n",
	} {
		f.Add(text)
	}
}

// FuzzDocument parses any text as a file. If there are no faults, the index of lines
// and ini.v1 must agree on the sections, the keys and their order.
func FuzzDocument(f *testing.F) {
	seedTexts(f)
	f.Fuzz(func(t *testing.T, text string) {
		faults := &faultList{}
		read := readDocument(Source{File: "a.ini", Text: text}, faults)
		if len(faults.faults) > 0 {
			return
		}
		file, err := ini.LoadSources(_options, []byte(strings.TrimPrefix(text, "\ufeff")))
		if err != nil {
			t.Fatal(err)
		}
		expected := map[string][]string{}
		for _, s := range file.Sections() {
			expected[s.Name()] = s.KeyStrings()
		}
		for _, s := range read.Sections {
			keys := expected[s.title()]
			delete(expected, s.title())
			if len(keys) != len(s.Entries) {
				t.Fatalf("[%s]: the index has %v, ini.v1 has %q", s.title(), s.Entries, keys)
			}
			for i, key := range keys {
				if s.Entries[i].Key != key {
					t.Fatalf("[%s]: the index has %v, ini.v1 has %q", s.title(), s.Entries, keys)
				}
			}
		}
		for title, keys := range expected {
			if len(keys) > 0 {
				t.Fatalf("the index misses [%s] with %q", title, keys)
			}
		}
	})
}

// FuzzRead parses any text as the overlay of testdata/base.ini. A rejection must
// have at least one fault, each with origin, problem, expectation and remedy. An
// accepted site must have a listing and no differences from itself.
func FuzzRead(f *testing.F) {
	seedTexts(f)
	base, err := os.ReadFile("testdata/base.ini")
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text string) {
		site, err := Read(Source{File: "base.ini", Text: string(base)}, Source{File: "a.ini", Text: text})
		if err == nil {
			if site.Listing() == "" || len(Diff(site.Config, site.Config)) != 0 {
				t.Fatal("an accepted site has no listing, or differs from itself")
			}
			return
		}
		var rejected *FaultsError
		if !errors.As(err, &rejected) || len(rejected.Faults) == 0 {
			t.Fatalf("got %v, want faults", err)
		}
		for _, fault := range rejected.Faults {
			if fault.Origin.File == "" || fault.Problem == "" || fault.Expected == "" || fault.Remedy == "" {
				t.Fatalf("the fault %+v has an empty field", fault)
			}
		}
	})
}

// FuzzSplitList splits any value. The result must be bounded and have no empty
// entry.
func FuzzSplitList(f *testing.F) {
	for _, value := range []string{"", "a", "a, b-[1-3]", "[08-10]", "x[1-2]y[3-4]", "a,,b", "[4294967295-4294967296]", "[1-20001]", "[-1-2]", "[+1-2]"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		items, err := splitList(value)
		if err != nil {
			return
		}
		if len(items) > _maxListItems {
			t.Fatalf("%d entries", len(items))
		}
		for _, item := range items {
			if item == "" {
				t.Fatal("an empty entry")
			}
		}
	})
}
