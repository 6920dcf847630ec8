package cmds

import (
	"fmt"
	"os"

	"apricotproxy/core/versn/check"
	"apricotproxy/io/entry"
	"apricotproxy/io/local"
)

// readSiteFile reads and checks a site's file for routed requests. The site is nil if there are
// errors.
func readSiteFile(path string) (*local.Site, []check.Finding, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("read the site's file: %w", err)
	}
	site, findings := local.Check(path, text, check.Bounds{HeaderBytes: entry.MaxHeaderBytes})
	return site, findings, nil
}

func (c *Console) printFindings(findings []check.Finding) error {
	for _, f := range findings {
		if err := c.outf("%s\n", f); err != nil {
			return err
		}
	}
	return nil
}

func (c *checkCommand) checkSiteFile(console *Console) error {
	site, findings, err := readSiteFile(c.SiteFile)
	if err != nil {
		return err
	}
	if err := console.printFindings(findings); err != nil {
		return err
	}
	if site != nil {
		if err := console.outf("%s: no error; %d routes, %d services, %d endpoints, %d workspaces\n", c.SiteFile,
			len(site.Source.Routes), len(site.Source.Services), len(site.Endpoints), len(site.Source.Workspaces)); err != nil {
			return err
		}
	}
	return c.verdict(findings)
}

func (c *diffCommand) diffSiteFiles(console *Console) error {
	old, err := console.loadSiteFile(c.Against)
	if err != nil {
		return err
	}
	changed, err := console.loadSiteFile(c.SiteFile)
	if err != nil {
		return err
	}
	return console.printChanges(check.DiffRouted(*old, *changed))
}

// loadSiteFile reads a site's file. If it has errors, it prints them and returns an error.
func (c *Console) loadSiteFile(path string) (*local.Site, error) {
	site, findings, err := readSiteFile(path)
	if err != nil || site != nil {
		return site, err
	}
	if err := c.printFindings(findings); err != nil {
		return nil, err
	}
	return nil, withFaultCode(fmt.Errorf("%s has errors", path))
}
