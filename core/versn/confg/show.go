package confg

import (
	"fmt"
	"path"
	"strings"

	"apricotproxy/core"
)

// Widths in the listing of settings, in characters.
const (
	_cellWidth = 38
	_lineWidth = 3 * _cellWidth
)

// Summary returns a one-line summary of the site.
func (s Site) Summary() string {
	c := s.Config
	var outOfService []string
	for _, dataCentre := range c.DataCentres {
		if !dataCentre.InService {
			outOfService = append(outOfService, string(dataCentre.Name))
		}
	}
	service := "all in service"
	if len(outOfService) > 0 {
		service = "out of service: " + strings.Join(outOfService, ", ")
	}
	return fmt.Sprintf("site %s: no fault; %d data centres (%s), %d entry hosts, %d endpoints, %d services, %d workspaces, %d of %d bytes as published",
		c.Site, len(c.DataCentres), service, len(c.Hosts), len(c.Endpoints), len(c.Services), len(c.Workspaces), s.BundleBytes, MaxBundleBytes)
}

// Listing returns the whole effective configuration, with several settings per line,
// each with its origin:
//
//	[DataCentre waco]
//	  InService = yes (texas.ini:20)        Region = tx-central (texas.ini:5)
//
// The sections [Defaults ...] are left out. Their values are listed, with their
// origins, in the sections that inherit them.
func (s Site) Listing() string {
	listing := &strings.Builder{}
	listing.WriteString(s.Summary() + "\n")
	section := ""
	cells := []string{}
	for _, setting := range s.Settings {
		if setting.Section != section {
			writeCells(listing, cells)
			cells = cells[:0]
			section = setting.Section
			listing.WriteString("[" + section + "]\n")
		}
		cells = append(cells, setting.cell())
	}
	writeCells(listing, cells)
	return listing.String()
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

// writeCells writes cells into lines of at most _lineWidth characters. Each cell
// starts at a multiple of _cellWidth.
func writeCells(listing *strings.Builder, cells []string) {
	line := ""
	for _, cell := range cells {
		start := (len(line) + _cellWidth - 1) / _cellWidth * _cellWidth
		if line != "" && start+len(cell) > _lineWidth {
			listing.WriteString("  " + strings.TrimRight(line, " ") + "\n")
			line, start = "", 0
		}
		line += strings.Repeat(" ", start-len(line)) + cell + " "
	}
	if line != "" {
		listing.WriteString("  " + strings.TrimRight(line, " ") + "\n")
	}
}

// kindName returns a service's kind as it is written in settings.
func kindName(kind core.ServiceKind) string {
	if kind == core.ServicePlain {
		return _plain
	}
	return _engine
}
