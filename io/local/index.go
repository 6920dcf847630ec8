package local

import (
	"strings"
	"unicode"

	"gopkg.in/ini.v1"

	"apricotproxy/core/versn/confg"
)

// index holds where the sections and keys of a text were written, since ini.v1 does not record
// lines. It follows the rules of ini.v1: the keys of sections with the same heading are joined, and
// the last value of a key counts.
type index struct {
	file     string
	sections map[string]confg.Origin
	entries  map[sectionKey]indexedEntry
	// repeated holds the headings and keys that stand more than once, with the place of an
	// earlier one; stray holds keys before the first heading, and broken the lines that are
	// neither heading nor key.
	repeated []repetition
	stray    []confg.Origin
	broken   []confg.Origin
}

type sectionKey struct{ section, key string }

type indexedEntry struct {
	key   confg.Origin
	value confg.Origin
	text  string
}

type repetition struct {
	sectionKey
	origin, earlier confg.Origin
}

// newIndex indexes a text.
func newIndex(file, text string) *index {
	x := &index{file: file, sections: map[string]confg.Origin{}, entries: map[sectionKey]indexedEntry{}}
	section, number := ini.DefaultSection, 0
	quote := ""        // that ends a value of several lines
	continued := false // by a backslash
	for line := range strings.Lines(strings.TrimLeft(text, "\ufeff")) {
		number++
		trimmed := strings.TrimFunc(line, unicode.IsSpace)
		origin := confg.Origin{File: file, Line: number, Column: 1 + len(line) - len(strings.TrimLeftFunc(line, unicode.IsSpace))}
		switch {
		case quote != "":
			if strings.Contains(line, quote) {
				quote = ""
			}
		case continued:
			continued = strings.HasSuffix(trimmed, `\`)
		case trimmed == "", trimmed[0] == '#', trimmed[0] == ';':
		case trimmed[0] == '[':
			section = x.heading(origin, trimmed, section)
		default:
			quote, continued = x.key(origin, trimmed, section)
		}
	}
	return x
}

// heading records a heading and returns its section.
func (x *index) heading(origin confg.Origin, text, current string) string {
	end := strings.LastIndexByte(text, ']')
	if end < 0 {
		x.broken = append(x.broken, origin)
		return current
	}
	section := text[1:end]
	if earlier, again := x.sections[section]; again {
		x.repeated = append(x.repeated, repetition{sectionKey: sectionKey{section: section}, origin: origin, earlier: earlier})
	} else {
		x.sections[section] = origin
	}
	return section
}

// key records a key. It returns the quote that ends its value on a later line, and whether the value
// goes on in the next line.
func (x *index) key(origin confg.Origin, text, section string) (quote string, continued bool) {
	name, after, found := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	if !found || name == "" {
		x.broken = append(x.broken, origin)
		return "", false
	}
	if section == ini.DefaultSection {
		x.stray = append(x.stray, origin)
	}
	value := strings.TrimLeftFunc(after, unicode.IsSpace)
	entry := indexedEntry{key: origin, value: origin, text: value}
	entry.value.Column += len(text) - len(value)
	at := sectionKey{section: section, key: strings.Trim(name, "\"`")}
	if earlier, again := x.entries[at]; again {
		x.repeated = append(x.repeated, repetition{sectionKey: at, origin: origin, earlier: earlier.key})
	}
	x.entries[at] = entry
	for _, quote := range []string{`"""`, "`"} {
		if rest, quoted := strings.CutPrefix(value, quote); quoted && !strings.Contains(rest, quote) {
			return quote, false
		}
	}
	return "", strings.HasSuffix(text, `\`)
}

// locate returns where an item of a key's list was written, or else the key's value, or else the
// section. It is a check.Locate.
func (x *index) locate(section, key, item string) confg.Origin {
	entry, ok := x.entries[sectionKey{section: section, key: key}]
	if !ok {
		if origin, ok := x.sections[section]; ok {
			return origin
		}
		return confg.Origin{File: x.file}
	}
	origin, column := entry.value, entry.value.Column
	if item == "" {
		return origin
	}
	for part := range strings.SplitSeq(entry.text, ",") {
		whole := strings.TrimSpace(part)
		if name, _, _ := strings.Cut(whole, ":"); name == item || whole == item {
			origin.Column = column + len(part) - len(strings.TrimLeftFunc(part, unicode.IsSpace))
			break
		}
		column += len(part) + len(",")
	}
	return origin
}
