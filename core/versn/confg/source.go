package confg

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// Limits on a file's structure. The time that ini.v1 and merging take grows with
// the square of these.
const (
	_maxKeys           = 100   // per section
	_maxContinuedLines = 8_000 // per value
)

// Source is the text of one file and the file name that faults report.
type Source struct {
	File string
	Text string
}

// entry is one key of a section.
type entry struct {
	Key    string
	Value  string
	Origin Origin // of the key
	// valueColumn is the column where the value begins.
	valueColumn int
}

// valueOrigin returns where the value begins.
func (e entry) valueOrigin() Origin {
	origin := e.Origin
	origin.Column = e.valueColumn
	return origin
}

// section is one section of a file, or of the merged base and overlay.
type section struct {
	Kind    string // the first word of the title
	Name    string // the second word of the title, or empty
	Origin  Origin
	Entries []entry
}

// title returns the section's heading without its brackets.
func (s *section) title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

func (s *section) find(key string) (entry, bool) {
	for _, e := range s.Entries {
		if e.Key == key {
			return e, true
		}
	}
	return entry{}, false
}

// document is one parsed file, with its sections in the order of the text.
type document struct {
	Sections []*section
}

// _options make ini.v1 read plain "Key = value" lines. A delimiter that no title
// can contain disables child sections: otherwise the section
// "Endpoints drafting.austin-a" would inherit from "Endpoints drafting".
var _options = ini.LoadOptions{
	KeyValueDelimiters:       "=",
	ChildSectionDelimiter:    "\x00",
	SpaceBeforeInlineComment: true,
	PreserveSurroundedQuote:  true,
}

// readDocument parses one file. The values come from ini.v1. The line of each key
// comes from a separate index, since ini.v1 does not record line numbers.
func readDocument(source Source, faults *faultList) *document {
	text := strings.TrimPrefix(source.Text, "\ufeff")
	before := len(faults.faults)
	index := indexLines(Source{File: source.File, Text: text}, faults)
	if len(faults.faults) > before {
		return index
	}
	file, err := ini.LoadSources(_options, []byte(text))
	if err != nil {
		faults.add(Origin{File: source.File}, err.Error(), "an INI text", "correct the line that is quoted")
		return index
	}
	for _, s := range index.Sections {
		fillValues(s, file)
	}
	return index
}

// fillValues copies the values of a section's keys from ini.v1. It uses Value,
// which returns the raw text, since ini.v1 would otherwise expand "%(name)s".
func fillValues(s *section, file *ini.File) {
	parsed, err := file.GetSection(s.title())
	if err != nil {
		return // an empty section at the end of the index
	}
	for i := range s.Entries {
		key, err := parsed.GetKey(s.Entries[i].Key)
		if err == nil {
			s.Entries[i].Value = key.Value()
		}
	}
}

// indexer finds the line of each section and key by the same rules as ini.v1. It
// rejects forms that operators do not need: values that start with a backquote or
// a double quote, lines without "=", and keys before the first section.
type indexer struct {
	file     string
	faults   *faultList
	document *document
	current  *section
	titles   map[string]Origin
	keys     map[string]Origin
	// continued is true if the previous line ended with a backslash. lines counts
	// the continuation lines of the value so far.
	continued bool
	lines     int
	// skip is true within a section whose heading is invalid or that has too many
	// keys.
	skip bool
}

func indexLines(source Source, faults *faultList) *document {
	x := &indexer{
		file:     source.File,
		faults:   faults,
		document: &document{},
		titles:   map[string]Origin{},
	}
	if !utf8.ValidString(source.Text) || strings.ContainsRune(source.Text, 0) {
		faults.add(Origin{File: source.File}, "the text is not UTF-8", "UTF-8 without NUL", "save the file as UTF-8")
		return x.document
	}
	number := 0
	for line := range strings.Lines(source.Text) {
		number++
		x.line(Origin{File: source.File, Line: number}, line)
	}
	return x.document
}

func (x *indexer) line(origin Origin, line string) {
	text := strings.TrimFunc(line, unicode.IsSpace)
	origin.Column = indentation(line) + 1
	if x.continued {
		// As in ini.v1, a blank line ends a continued value.
		x.continued = strings.HasSuffix(text, `\`)
		x.lines++
		if x.lines == _maxContinuedLines {
			x.faults.add(origin, "the value goes on for too many lines", fmt.Sprintf("fewer than %d lines", _maxContinuedLines), "put several entries on a line, or write them as ranges")
		}
		return
	}
	x.lines = 0
	switch {
	case text == "", text[0] == '#', text[0] == ';':
	case text[0] == '[':
		x.heading(origin, text)
	default:
		x.key(origin, text)
	}
}

func (x *indexer) heading(origin Origin, text string) {
	x.skip = true
	closing := strings.LastIndexByte(text, ']')
	if closing < 0 {
		x.faults.add(origin, fmt.Sprintf("the heading %q is not closed", text), "[Kind] or [Kind name]", "end the heading with ]")
		return
	}
	rest := strings.TrimSpace(text[closing+1:])
	words := strings.Split(text[1:closing], " ")
	if rest != "" && rest[0] != '#' && rest[0] != ';' || !isTitle(words) {
		x.faults.add(origin, fmt.Sprintf("the heading %q is not understood", text), "[Kind] or [Kind name] with one space between", "write a heading such as [DataCentre austin-a]")
		return
	}
	s := &section{Kind: words[0], Origin: origin}
	if len(words) == 2 {
		s.Name = words[1]
	}
	if first, duplicate := x.titles[s.title()]; duplicate {
		x.faults.add(origin, fmt.Sprintf("the section [%s] stands twice", s.title()), fmt.Sprintf("one section of that name; the first is at %s", first), "merge the two sections")
		return
	}
	x.skip = false
	x.titles[s.title()] = origin
	x.keys = map[string]Origin{}
	x.current = s
	x.document.Sections = append(x.document.Sections, s)
}

func (x *indexer) key(origin Origin, text string) {
	x.continued = strings.HasSuffix(text, `\`)
	key, value, found := strings.Cut(text, "=")
	key = strings.TrimFunc(key, unicode.IsSpace)
	value = strings.TrimFunc(value, unicode.IsSpace)
	switch {
	case !found || key == "":
		x.faults.add(origin, fmt.Sprintf("the line %q has no key and value", text), "Key = value", "add the missing part, or start the line with ; to make it a comment")
	case !isWord(key):
		x.faults.add(origin, fmt.Sprintf("the key %q has characters that no key has", key), "a key of letters", "remove quotes and signs from the key")
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"`):
		x.faults.add(origin, fmt.Sprintf("the value of %s is quoted", key), "a value without quotes", `remove the quotes; continue a long value by ending its line with \`)
	case x.skip:
	case x.current == nil:
		x.faults.add(origin, fmt.Sprintf("the key %s stands before the first section", key), "keys below a heading such as [Limits]", "move the key below its section's heading")
	default:
		_, after, _ := strings.Cut(text, "=")
		x.addKey(entry{Key: key, Origin: origin, valueColumn: origin.Column + len(text) - len(after) + indentation(after)})
	}
}

// indentation returns the number of bytes of space at the start of a text.
func indentation(text string) int {
	return len(text) - len(strings.TrimLeftFunc(text, unicode.IsSpace))
}

func (x *indexer) addKey(e entry) {
	origin, key := e.Origin, e.Key
	if first, duplicate := x.keys[key]; duplicate {
		x.faults.add(origin, fmt.Sprintf("the key %s stands twice in [%s]", key, x.current.title()), fmt.Sprintf("one value; the first is at %s", first), "remove one of the two lines")
		return
	}
	if len(x.keys) == _maxKeys {
		x.faults.add(origin, fmt.Sprintf("[%s] has too many keys", x.current.title()), fmt.Sprintf("at most %d keys", _maxKeys), "remove the keys that the section does not have")
		x.skip = true
		return
	}
	x.keys[key] = origin
	x.current.Entries = append(x.current.Entries, e)
}

func isTitle(words []string) bool {
	switch len(words) {
	case 1:
		return isWord(words[0])
	case 2:
		return isWord(words[0]) && isName(words[1])
	default:
		return false
	}
}
