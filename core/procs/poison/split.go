package poison

import "slices"

const (
	// _maxReportBytes bounds the parts of one report. Further losses are reported once fewer are new.
	_maxReportBytes = 64 << 10
	// _maxBlockBytes bounds the parts of a block that is reported. Hosts find larger ones by the losses.
	_maxBlockBytes = 8 << 10
	// _entryBytes is about what a loss, a success or a block takes in a datagram besides its parts, _keyBytes what a part takes
	// besides its key.
	_entryBytes = 64
	_keyBytes   = 2
)

// Split returns the report as several that each take about a number of bytes, so that they fit into a datagram. A loss with
// many parts becomes several of the same request and endpoint, which Merge joins again. A block is not split: it may take 8 KiB, and
// is not in the first of the reports if it takes more than the number of bytes.
func (r Report) Split(bytes int) []Report {
	reports := []Report{{}}
	add := packer[Report]{reports: &reports, left: bytes, limit: bytes}
	for _, b := range r.Blocks {
		add.entry(encodedBytes(b.Parts), func(to *Report) { to.Blocks = append(to.Blocks, b) })
	}
	for _, l := range r.Losses {
		add.parts(l.Parts, func(to *Report, parts []string) {
			part := l
			part.Parts = parts
			to.Losses = append(to.Losses, part)
		})
	}
	for _, s := range r.Successes {
		add.entry(_entryBytes+len(s.Part), func(to *Report) { to.Successes = append(to.Successes, s) })
	}
	return reports
}

// Split returns the report as several, as Report.Split does.
func (r RequestReport) Split(bytes int) []RequestReport {
	reports := []RequestReport{{}}
	add := packer[RequestReport]{reports: &reports, left: bytes, limit: bytes}
	for _, l := range r.Losses {
		add.parts(l.Parts, func(to *RequestReport, parts []string) {
			part := l
			part.Parts = parts
			to.Losses = append(to.Losses, part)
		})
	}
	for _, a := range r.Answers {
		add.entry(_entryBytes, func(to *RequestReport) { to.Answers = append(to.Answers, a) })
	}
	for _, s := range r.Successes {
		add.entry(_entryBytes, func(to *RequestReport) { to.Successes = append(to.Successes, s) })
	}
	for _, s := range r.PartSuccesses {
		add.entry(_entryBytes+len(s.Part), func(to *RequestReport) { to.PartSuccesses = append(to.PartSuccesses, s) })
	}
	return reports
}

// packer adds entries to the last of some reports, and begins another one when that is full.
type packer[R any] struct {
	reports     *[]R
	left, limit int
}

func (p *packer[R]) entry(bytes int, add func(to *R)) {
	isFirst := len(*p.reports) == 1
	if p.left < bytes && (p.left < p.limit || isFirst) {
		*p.reports = append(*p.reports, *new(R))
		p.left = p.limit
	}
	p.left -= bytes
	add(&(*p.reports)[len(*p.reports)-1])
}

// parts adds an entry for as many of the parts as fit into each report. One without parts is added, too.
func (p *packer[R]) parts(parts []string, add func(to *R, parts []string)) {
	for isFirst := true; isFirst || len(parts) > 0; isFirst = false {
		count, bytes := 0, _entryBytes
		for _, part := range parts {
			if bytes+_keyBytes+len(part) > p.limit {
				break
			}
			bytes += _keyBytes + len(part)
			count++
		}
		count = max(count, min(len(parts), 1))
		p.entry(bytes, func(to *R) { add(to, slices.Clip(parts[:count])) })
		parts = parts[count:]
	}
}

// encodedBytes returns about what an entry with the parts takes in a datagram.
func encodedBytes(parts []string) int {
	bytes := _entryBytes
	for _, part := range parts {
		bytes += _keyBytes + len(part)
	}
	return bytes
}

// withinBytes returns the first entries, those that take at most a number of bytes in all.
func withinBytes[T any](entries []T, bytes int, parts func(T) []string) []T {
	for i, e := range entries {
		if bytes -= encodedBytes(parts(e)); bytes < 0 {
			return entries[:i]
		}
	}
	return entries
}
