package confg

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Setting is one effective value of a site and its origin.
type Setting struct {
	Section string
	Key     string
	Value   string
	Origin  Origin
}

// reader reads the keys of one section. It records each effective value with its
// origin, and reports the keys that the section does not have.
type reader struct {
	builder *builder
	section *section
	// fallback provides the keys that the section does not set; it may be nil.
	fallback  *section
	knownKeys []string // keys that were looked up
}

// newReader returns a reader of a section. A nil section stands for an absent one,
// whose keys all have their defaults.
func (b *builder) newReader(s *section, kind string) *reader {
	if s == nil {
		s = &section{Kind: kind}
	}
	return &reader{builder: b, section: s}
}

// lookup returns the entry of a key from the section, else from the fallback, else
// with the default value.
func (r *reader) lookup(key, defaultValue string) entry {
	r.knownKeys = append(r.knownKeys, key)
	e, found := r.section.find(key)
	if !found && r.fallback != nil {
		e, found = r.fallback.find(key)
	}
	if !found {
		e = entry{Key: key, Value: defaultValue}
	}
	r.builder.settings = append(r.builder.settings, Setting{
		Section: r.section.title(), Key: key, Value: e.Value, Origin: e.Origin,
	})
	return e
}

// reportInvalid adds a fault about a value that cannot be used.
func (r *reader) reportInvalid(e entry, expected, remedy string) {
	origin := e.valueOrigin()
	if origin.File == "" {
		origin = r.section.Origin
	}
	problem := fmt.Sprintf("%s = %s in [%s] cannot be used", e.Key, e.Value, r.section.title())
	r.builder.faults.add(origin, problem, expected, remedy)
}

func (r *reader) text(key, defaultValue string) string {
	return r.lookup(key, defaultValue).Value
}

// required reads a key that has no default and must not be empty.
func (r *reader) required(key, expected string) entry {
	e := r.lookup(key, "")
	if e.Value == "" {
		origin := e.Origin
		if origin.File == "" {
			origin = r.section.Origin
		}
		r.builder.faults.add(origin, fmt.Sprintf("[%s] has no %s", r.section.title(), key), expected, fmt.Sprintf("add a line such as %s = ...", key))
	}
	return e
}

func (r *reader) flag(key string, defaultValue bool) bool {
	text := "no"
	if defaultValue {
		text = "yes"
	}
	e := r.lookup(key, text)
	switch e.Value {
	case "yes":
		return true
	case "no":
		return false
	}
	r.reportInvalid(e, "yes or no", fmt.Sprintf("write %s = yes or %s = no", key, key))
	return defaultValue
}

// integer reads a whole number from low to high.
func (r *reader) integer(key string, defaultValue, low, high int64) int64 {
	e := r.lookup(key, strconv.FormatInt(defaultValue, 10))
	value, err := strconv.ParseInt(e.Value, 10, 64)
	if err != nil || value < low || value > high {
		r.reportInvalid(e, fmt.Sprintf("a whole number from %d to %d", low, high), fmt.Sprintf("write for instance %s = %d", key, defaultValue))
		return defaultValue
	}
	return value
}

// number reads a decimal number from low to high.
func (r *reader) number(key string, defaultValue, low, high float64) float64 {
	e := r.lookup(key, formatNumber(defaultValue))
	value, err := strconv.ParseFloat(e.Value, 64)
	if err != nil || !(value >= low && value <= high) {
		r.reportInvalid(e, fmt.Sprintf("a number from %s to %s", formatNumber(low), formatNumber(high)), fmt.Sprintf("write for instance %s = %s", key, formatNumber(defaultValue)))
		return defaultValue
	}
	return value
}

// duration reads a duration with its unit, from low to high.
func (r *reader) duration(key string, defaultValue, low, high time.Duration) time.Duration {
	e := r.lookup(key, formatDuration(defaultValue))
	value, err := time.ParseDuration(e.Value)
	if err != nil || value < low || value > high {
		expected := fmt.Sprintf("a time with its unit (ms, s, m, h) from %s to %s", formatDuration(low), formatDuration(high))
		r.reportInvalid(e, expected, fmt.Sprintf("write for instance %s = %s", key, formatDuration(defaultValue)))
		return defaultValue
	}
	return value
}

// expand splits a list and expands its ranges.
func (r *reader) expand(e entry) []string {
	items, err := splitList(e.Value)
	if err != nil {
		r.reportInvalid(e, "entries between commas, each with at most one range such as [1-6]", err.Error())
		return nil
	}
	return items
}

// names reads a list of names without duplicates.
func (r *reader) names(e entry) []string {
	items := r.expand(e)
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		if !isName(item) {
			r.reportInvalid(e, "names of letters, digits, hyphen, dot and underscore", fmt.Sprintf("rename %q", item))
			return nil
		}
		if seen[item] {
			r.reportInvalid(e, "each name once", fmt.Sprintf("remove the second %s", item))
			return nil
		}
		seen[item] = true
	}
	return items
}

// reportUnknownKeys adds a fault for each key that was never looked up, and so is
// not one of the section's keys.
func (r *reader) reportUnknownKeys() {
	for _, e := range r.section.Entries {
		if slices.Contains(r.knownKeys, e.Key) {
			continue
		}
		remedy := "remove the line"
		if likely := Nearest(e.Key, r.knownKeys); likely != "" {
			remedy = "write " + likely
		}
		r.builder.faults.add(e.Origin, fmt.Sprintf("[%s] has no key %s", r.section.title(), e.Key), "one of "+strings.Join(r.knownKeys, ", "), remedy)
	}
}

// formatDuration formats a duration without trailing zero units: "1m30s", "2m",
// "250ms".
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
