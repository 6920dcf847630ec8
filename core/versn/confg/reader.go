package confg

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Setting is one effective value of a site and where it comes from.
type Setting struct {
	Section string
	Key     string
	Value   string
	Origin  Origin
}

// reader takes the keys of one section. It keeps each effective value with its
// origin, and reports the keys that nothing asked for.
type reader struct {
	builder *builder
	section *section
	// fallback holds the keys that the section takes over unless it sets them.
	fallback *section
	known    []string
}

// read opens a section; all keys take their defaults when it is absent.
func (b *builder) read(s *section, kind string) *reader {
	if s == nil {
		s = &section{Kind: kind}
	}
	return &reader{builder: b, section: s}
}

// take gives a key's text, or the default's.
func (r *reader) take(key, byDefault string) entry {
	r.known = append(r.known, key)
	e, found := r.section.find(key)
	if !found && r.fallback != nil {
		e, found = r.fallback.find(key)
	}
	if !found {
		e = entry{Key: key, Value: byDefault}
	}
	r.builder.settings = append(r.builder.settings, Setting{
		Section: r.section.title(), Key: key, Value: e.Value, Origin: e.Origin,
	})
	return e
}

// fail reports a value that cannot be used.
func (r *reader) fail(e entry, expected, remedy string) {
	origin := e.Origin
	if origin.File == "" {
		origin = r.section.Origin
	}
	problem := fmt.Sprintf("%s = %s in [%s] cannot be used", e.Key, e.Value, r.section.title())
	r.builder.faults.add(origin, problem, expected, remedy)
}

func (r *reader) text(key, byDefault string) string {
	return r.take(key, byDefault).Value
}

// required takes a key that has no default.
func (r *reader) required(key, expected string) entry {
	e := r.take(key, "")
	if e.Value == "" {
		origin := e.Origin
		if origin.File == "" {
			origin = r.section.Origin
		}
		r.builder.faults.add(origin, fmt.Sprintf("[%s] has no %s", r.section.title(), key), expected, fmt.Sprintf("add a line such as %s = ...", key))
	}
	return e
}

func (r *reader) flag(key string, byDefault bool) bool {
	text := "no"
	if byDefault {
		text = "yes"
	}
	e := r.take(key, text)
	switch e.Value {
	case "yes":
		return true
	case "no":
		return false
	}
	r.fail(e, "yes or no", fmt.Sprintf("write %s = yes or %s = no", key, key))
	return byDefault
}

// integer takes a whole number within bounds.
func (r *reader) integer(key string, byDefault, low, high int64) int64 {
	e := r.take(key, strconv.FormatInt(byDefault, 10))
	value, err := strconv.ParseInt(e.Value, 10, 64)
	if err != nil || value < low || value > high {
		r.fail(e, fmt.Sprintf("a whole number from %d to %d", low, high), fmt.Sprintf("write for instance %s = %d", key, byDefault))
		return byDefault
	}
	return value
}

// number takes a decimal number within bounds.
func (r *reader) number(key string, byDefault, low, high float64) float64 {
	e := r.take(key, formatNumber(byDefault))
	value, err := strconv.ParseFloat(e.Value, 64)
	if err != nil || !(value >= low && value <= high) {
		r.fail(e, fmt.Sprintf("a number from %s to %s", formatNumber(low), formatNumber(high)), fmt.Sprintf("write for instance %s = %s", key, formatNumber(byDefault)))
		return byDefault
	}
	return value
}

// duration takes a length of time with its unit, within bounds.
func (r *reader) duration(key string, byDefault, low, high time.Duration) time.Duration {
	e := r.take(key, formatDuration(byDefault))
	value, err := time.ParseDuration(e.Value)
	if err != nil || value < low || value > high {
		expected := fmt.Sprintf("a time with its unit (ms, s, m, h) from %s to %s", formatDuration(low), formatDuration(high))
		r.fail(e, expected, fmt.Sprintf("write for instance %s = %s", key, formatDuration(byDefault)))
		return byDefault
	}
	return value
}

// expand splits a list and writes its ranges out.
func (r *reader) expand(e entry) []string {
	items, err := splitList(e.Value)
	if err != nil {
		r.fail(e, "entries between commas, each with at most one range such as [1-6]", err.Error())
		return nil
	}
	return items
}

// names takes a list of names, each once.
func (r *reader) names(e entry) []string {
	items := r.expand(e)
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		if !isName(item) {
			r.fail(e, "names of letters, digits, hyphen, dot and underscore", fmt.Sprintf("rename %q", item))
			return nil
		}
		if seen[item] {
			r.fail(e, "each name once", fmt.Sprintf("remove the second %s", item))
			return nil
		}
		seen[item] = true
	}
	return items
}

// close reports the keys that the section does not have.
func (r *reader) close() {
	for _, e := range r.section.Entries {
		if slices.Contains(r.known, e.Key) {
			continue
		}
		remedy := "remove the line"
		if likely := nearest(e.Key, r.known); likely != "" {
			remedy = "write " + likely
		}
		r.builder.faults.add(e.Origin, fmt.Sprintf("[%s] has no key %s", r.section.title(), e.Key), "one of "+strings.Join(r.known, ", "), remedy)
	}
}

// formatDuration drops zero parts: "1m30s", "2m", "250ms".
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func formatNumber(f float64) string {
	return strconv.FormatFloat(f, 'g', -1, 64)
}
