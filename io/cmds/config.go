package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"apricotproxy/core"
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
	Dir string `default:"." help:"Directory with base.ini and one overlay per site."`
}

// Run prints each fault with its location, the expected value and a remedy, or a
// summary of each site if there are none.
func (c *checkCommand) Run(console *Console) error {
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
	for _, site := range loaded {
		if err := console.outf("%s\n", site.Summary()); err != nil {
			return err
		}
	}
	return nil
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
	Old  string `arg:"" help:"Directory with the files in force."`
	New  string `arg:"" help:"Directory with the changed files."`
	Site string `required:"" help:"Site to compare, such as texas."`
}

// Run prints one line per change.
func (c *diffCommand) Run(console *Console) error {
	old, err := console.loadSite(c.Old, c.Site)
	if err != nil {
		return err
	}
	changed, err := console.loadSite(c.New, c.Site)
	if err != nil {
		return err
	}
	changes := confg.Diff(old.Config, changed.Config)
	if len(changes) == 0 {
		return console.outf("changes nothing\n")
	}
	for _, change := range changes {
		if err := console.outf("%s\n", change); err != nil {
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
