// Package cmds holds the command line.
package cmds

import (
	"fmt"

	"github.com/alecthomas/kong"
)

type commandLine struct {
	Version versionCommand `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	_, err := fmt.Println("apricotproxy development")
	return err
}

// Main parses the command line and runs the command.
func Main() {
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("apricotproxy"), kong.Description("Serves generations of unknown length on crowded engines."))
	parsed.FatalIfErrorf(parsed.Run())
}
