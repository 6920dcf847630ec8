package local

import (
	"fmt"

	"apricotproxy/core/versn/check"
	"apricotproxy/core/versn/confg"
)

// Check finds what is wrong with the text of a file, in order of line and column: the errors for
// which hosts reject it, or if there are none, the warnings. The site is nil if there are errors.
func Check(name string, text []byte, bounds check.Bounds) (*Site, []check.Finding) {
	lines := newIndex(name, string(text))
	p, err := parse(name, text)
	if err != nil {
		return nil, []check.Finding{lines.invalidText(err)}
	}
	var findings []check.Finding
	for _, e := range p.errs {
		findings = append(findings, check.Finding{Severity: check.Error, Fault: confg.Fault{
			Origin: e.Origin, Problem: e.problem(), Expected: e.Expected, Remedy: e.Remedy,
		}})
	}
	if len(findings) > 0 {
		check.Sort(findings)
		return nil, findings
	}
	findings = append(bounds.Routed(*p.site, lines.locate), lines.warnings(p.ignored)...)
	check.Sort(findings)
	return p.site, findings
}

// invalidText returns the finding for a text that is no INI text.
func (x *index) invalidText(err error) check.Finding {
	fault := confg.Fault{Origin: confg.Origin{File: x.file}, Problem: err.Error(), Expected: "an INI text", Remedy: "correct the line that is quoted"}
	if len(x.broken) > 0 {
		fault.Origin = x.broken[0]
		fault.Problem = "the line is neither a heading nor a key with its value"
		fault.Expected = "[Kind name], Key = value, or a comment"
		fault.Remedy = "add the missing part, or start the line with ; to make it a comment"
	}
	return check.Finding{Severity: check.Error, Fault: fault}
}

// warnings returns the findings about the text itself, and about keys without effect.
func (x *index) warnings(ignored []ignoredKey) []check.Finding {
	var findings []check.Finding
	warn := func(origin confg.Origin, problem, expected, remedy string) {
		findings = append(findings, check.Finding{Severity: check.Warning, Fault: confg.Fault{Origin: origin, Problem: problem, Expected: expected, Remedy: remedy}})
	}
	for _, r := range x.repeated {
		if r.key == "" {
			warn(r.origin, fmt.Sprintf("the section [%s] stands twice: hosts join the two", r.section), fmt.Sprintf("each section once; the first is at %s", r.earlier), "rename it, or join the two sections")
			continue
		}
		warn(r.origin, fmt.Sprintf("the key %s stands twice in [%s]: the last value counts", r.key, r.section), fmt.Sprintf("each key once; an earlier one is at %s", r.earlier), "remove one of the two lines")
	}
	for _, origin := range x.stray {
		warn(origin, "the key stands before the first section and has no effect", "keys below a heading such as [Host]", "move it below its section's heading")
	}
	for _, i := range ignored {
		warn(x.entries[i.sectionKey].key, fmt.Sprintf("%s in [%s] has no effect: %s", i.key, i.section, i.reason), i.expected, i.remedy)
	}
	return findings
}
