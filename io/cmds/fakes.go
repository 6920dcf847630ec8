package cmds

import (
	"context"
	"errors"
	"fmt"

	"apricotproxy/fakes/site"
)

// FakesCommand runs the demo's fake platform and back ends without entry hosts, which
// then run in their own processes.
type FakesCommand struct {
	Hosts int `default:"3" help:"Number of entry hosts in the site's configuration."`
}

// Run starts a fake platform, four fake engines and a fake plain service on
// loopback, prints a command line for each entry host, and serves until it is
// interrupted.
func (c *FakesCommand) Run(ctx context.Context, console *Console) (err error) {
	fakes, err := site.Start(c.Hosts)
	if err != nil {
		return fmt.Errorf("start the fakes: %w", err)
	}
	defer func() { err = errors.Join(err, fakes.Close()) }()
	for i, ports := range fakes.Hosts {
		_, err := fmt.Fprintf(console.Out,
			"apricotproxy serve --site %s --name %s --platform %s --caller-address %s --peer-address %s --operator-address ''\n",
			site.Name, site.HostName(i), fakes.PlatformAddress, ports.Caller, ports.Peer)
		if err != nil {
			return fmt.Errorf("print a command line: %w", err)
		}
	}
	<-ctx.Done()
	return nil
}
