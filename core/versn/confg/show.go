package confg

import (
	"fmt"
	"path"
	"strings"

	"apricotproxy/core"
)

// Sizes of the page of settings, in characters.
const (
	_cellWidth = 38
	_pageWidth = 3 * _cellWidth
)

// Summary gives one line about a site without fault.
func (s Site) Summary() string {
	c := s.Config
	var out []string
	for _, dataCentre := range c.DataCentres {
		if !dataCentre.InService {
			out = append(out, string(dataCentre.Name))
		}
	}
	service := "all in service"
	if len(out) > 0 {
		service = "out of service: " + strings.Join(out, ", ")
	}
	return fmt.Sprintf("site %s: no fault; %d data centres (%s), %d entry hosts, %d endpoints, %d services, %d workspaces, %d of %d bytes as published",
		c.Site, len(c.DataCentres), service, len(c.Hosts), len(c.Endpoints), len(c.Services), len(c.Workspaces), s.BundleBytes, MaxBundleBytes)
}

// Page gives the whole effective configuration, several settings a line, each
// with the file and line that it comes from:
//
//	[DataCentre waco]
//	  InService = yes (texas.ini:20)        Region = tx-central (texas.ini:5)
//
// The sections [Defaults ...] are left out: their values stand, with their
// origins, in the sections that take them over.
func (s Site) Page() string {
	page := &strings.Builder{}
	page.WriteString(s.Summary() + "\n")
	section := ""
	cells := []string{}
	for _, setting := range s.Settings {
		if setting.Section != section {
			writeCells(page, cells)
			cells = cells[:0]
			section = setting.Section
			page.WriteString("[" + section + "]\n")
		}
		cells = append(cells, setting.cell())
	}
	writeCells(page, cells)
	return page.String()
}

func (s Setting) cell() string {
	value := s.Value
	if value == "" {
		value = "none"
	}
	origin := s.Origin
	origin.File = path.Base(origin.File)
	if s.Origin.File == "" {
		origin = Origin{}
	}
	return fmt.Sprintf("%s = %s (%s)", s.Key, value, origin)
}

// writeCells packs cells into lines, each starting at a column.
func writeCells(page *strings.Builder, cells []string) {
	line := ""
	for _, cell := range cells {
		start := (len(line) + _cellWidth - 1) / _cellWidth * _cellWidth
		if line != "" && start+len(cell) > _pageWidth {
			page.WriteString("  " + strings.TrimRight(line, " ") + "\n")
			line, start = "", 0
		}
		line += strings.Repeat(" ", start-len(line)) + cell + " "
	}
	if line != "" {
		page.WriteString("  " + strings.TrimRight(line, " ") + "\n")
	}
}

// kindText names a service's kind as settings do.
func kindText(kind core.ServiceKind) string {
	if kind == core.ServicePlain {
		return _plain
	}
	return _engine
}
