package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"

	"apricotproxy/core"
	"apricotproxy/core/versn/check"
	"apricotproxy/core/versn/confg"
)

// _baseName is the name of the file that all sites of a directory share.
const _baseName = "base.ini"

type configCommand struct {
	Check  checkCommand  `cmd:"" help:"Check all sites of a directory, each and against each other."`
	Show   showCommand   `cmd:"" help:"Print a site's whole effective configuration with each value's origin."`
	Diff   diffCommand   `cmd:"" help:"Print the effects of changed files on a site."`
	Bundle bundleCommand `cmd:"" help:"Print the JSON value to publish for a site."`
}

// directory is the path of a directory with base.ini and one overlay per site.
type directory string

func (d directory) read(site core.SiteName) (base, overlay confg.Source, err error) {
	base, err = readSource(filepath.Join(string(d), _baseName))
	if err != nil {
		return base, overlay, err
	}
	overlay, err = readSource(filepath.Join(string(d), string(site)+".ini"))
	return base, overlay, err
}

func (d directory) load(site core.SiteName) (confg.Site, error) {
	base, overlay, err := d.read(site)
	if err != nil {
		return confg.Site{}, err
	}
	loaded, err := confg.ReadSite(base, overlay, site)
	if err != nil {
		return confg.Site{}, fmt.Errorf("reading site %s: %w", site, err)
	}
	return loaded, nil
}

// sites returns the names of the sites with an overlay, sorted.
func (d directory) sites() ([]core.SiteName, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, fmt.Errorf("listing sites: %w", err)
	}
	var sites []core.SiteName
	for _, entry := range entries {
		name, isOverlay := strings.CutSuffix(entry.Name(), ".ini")
		if isOverlay && entry.Name() != _baseName && !entry.IsDir() {
			sites = append(sites, core.SiteName(name))
		}
	}
	sort.Slice(sites, func(i, j int) bool { return sites[i] < sites[j] })
	if len(sites) == 0 {
		return nil, fmt.Errorf("%s has no overlay; add a file such as texas.ini beside %s", string(d), _baseName)
	}
	return sites, nil
}

func readSource(path string) (confg.Source, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return confg.Source{}, fmt.Errorf("reading configuration: %w", err)
	}
	return confg.Source{File: path, Text: string(text)}, nil
}

type checkCommand struct {
	Dir           string `xor:"files" help:"Directory with base.ini and one overlay per site; the current one by default."`
	SiteFile      string `xor:"files" help:"Site's file for routed requests, such as examples/routed/routes.ini, instead of a directory."`
	AllowWarnings bool   `help:"Exit with 0 if there are warnings but no errors."`
}

// Run prints each finding with its location, the expected value and a remedy, and a
// summary of each site if there are no errors.
func (c *checkCommand) Run(console *Console) error {
	if c.SiteFile != "" {
		return c.checkSiteFile(console)
	}
	if c.Dir == "" {
		c.Dir = "."
	}
	sites, err := directory(c.Dir).sites()
	if err != nil {
		return err
	}
	var loaded []confg.Site
	faultySites := 0
	for _, site := range sites {
		config, err := directory(c.Dir).load(site)
		if isFault(err) {
			faultySites++
			if err := console.printFaults(err); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		loaded = append(loaded, config)
	}
	if faultySites > 0 {
		return withFaultCode(fmt.Errorf("%d of %d sites have faults", faultySites, len(sites)))
	}
	if err := confg.CheckSites(loaded); err != nil {
		if err := console.printFaults(err); err != nil {
			return err
		}
		return withFaultCode(errors.New("the sites contradict each other"))
	}
	var findings []check.Finding
	for _, site := range loaded {
		for _, f := range check.Site(site) {
			if !slices.Contains(findings, f) { // two sites share what is in base.ini
				findings = append(findings, f)
			}
		}
	}
	if err := console.printFindings(findings); err != nil {
		return err
	}
	for _, site := range loaded {
		if err := console.outf("%s\n", site.Summary()); err != nil {
			return err
		}
	}
	return c.verdict(findings)
}

// verdict returns an error if findings are to be reported by the exit code.
func (c *checkCommand) verdict(findings []check.Finding) error {
	errs, warnings := check.Count(findings)
	switch {
	case errs > 0:
		return withFaultCode(fmt.Errorf("errors found: %d", errs))
	case warnings > 0 && !c.AllowWarnings:
		return withFaultCode(fmt.Errorf("warnings found: %d; hosts would use the files as they are", warnings))
	default:
		return nil
	}
}

func isFault(err error) bool {
	var faults *confg.FaultsError
	return errors.As(err, &faults)
}

func (c *Console) printFaults(err error) error {
	var faults *confg.FaultsError
	if errors.As(err, &faults) {
		return c.outf("%s", faults.Details())
	}
	return err
}

// outf writes a result to Out.
func (c *Console) outf(format string, arguments ...any) error {
	if _, err := fmt.Fprintf(c.Out, format, arguments...); err != nil {
		return fmt.Errorf("writing the result: %w", err)
	}
	return nil
}

// loadSite loads a site. If it has faults, it prints them and returns an error.
func (c *Console) loadSite(dir, site string) (confg.Site, error) {
	loaded, err := directory(dir).load(core.SiteName(site))
	if !isFault(err) {
		return loaded, err
	}
	if err := c.printFaults(err); err != nil {
		return confg.Site{}, err
	}
	return confg.Site{}, withFaultCode(fmt.Errorf("site %s in %s has faults", site, dir))
}

type showCommand struct {
	Dir  string `default:"." help:"Directory with base.ini and one overlay per site."`
	Site string `required:"" help:"Site to show, such as texas."`
}

// Run prints the listing of the site's configuration.
func (c *showCommand) Run(console *Console) error {
	site, err := console.loadSite(c.Dir, c.Site)
	if err != nil {
		return err
	}
	return console.outf("%s", site.Listing())
}

type diffCommand struct {
	Old  string `arg:"" optional:"" help:"Directory with the files in force."`
	New  string `arg:"" optional:"" help:"Directory with the changed files."`
	Site string `help:"Site to compare, such as texas."`

	SiteFile string `help:"Changed site's file for routed requests, instead of directories."`
	Against  string `help:"Site's file in force, to compare the changed one with."`
}

// Validate reports arguments that do not belong together.
func (c *diffCommand) Validate() error {
	directories, files := c.Old != "" || c.New != "" || c.Site != "", c.SiteFile != "" || c.Against != ""
	switch {
	case directories && files:
		return errors.New("directories and site files cannot be compared; give either OLD NEW --site or --site-file --against")
	case files && (c.SiteFile == "" || c.Against == ""):
		return errors.New("missing flags: give both --site-file=NEW and --against=OLD")
	case !files && (c.Old == "" || c.New == "" || c.Site == ""):
		return errors.New("missing arguments: give OLD NEW --site=SITE, or --site-file=NEW --against=OLD")
	default:
		return nil
	}
}

// Run prints one line per change.
func (c *diffCommand) Run(console *Console) error {
	if c.SiteFile != "" {
		return c.diffSiteFiles(console)
	}
	old, err := console.loadSite(c.Old, c.Site)
	if err != nil {
		return err
	}
	changed, err := console.loadSite(c.New, c.Site)
	if err != nil {
		return err
	}
	return console.printChanges(confg.Diff(old.Config, changed.Config))
}

func (c *Console) printChanges(changes []confg.Change) error {
	if len(changes) == 0 {
		return c.outf("changes nothing\n")
	}
	for _, change := range changes {
		if err := c.outf("%s\n", change); err != nil {
			return err
		}
	}
	return nil
}

type bundleCommand struct {
	Dir      string `default:"." help:"Directory with base.ini and one overlay per site."`
	Site     string `required:"" help:"Site to bundle, such as texas."`
	Revision uint64 `required:"" help:"Revision number, above the one in force."`
}

// Run prints the JSON value of the key apricotproxy/<site>. If the files have
// faults, it prints these instead.
func (c *bundleCommand) Run(console *Console) error {
	if _, err := console.loadSite(c.Dir, c.Site); err != nil {
		return err
	}
	base, overlay, err := directory(c.Dir).read(core.SiteName(c.Site))
	if err != nil {
		return err
	}
	bundle := core.Bundle{Revision: core.Revision(c.Revision), Base: base.Text, Overlay: overlay.Text}
	encoded, err := json.Marshal(bundle)
	if err != nil {
		return fmt.Errorf("encoding the bundle: %w", err)
	}
	return console.outf("%s\n", encoded)
}
