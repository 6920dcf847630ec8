package cmds

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the module's version and the revision from which it was built.
func (versionCommand) Run(console *Console) error {
	version, revision := "development", ""
	if info, known := debug.ReadBuildInfo(); known {
		if info.Main.Version != "" && info.Main.Version != "(devel)" {
			version = info.Main.Version
		}
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = " " + setting.Value
			}
		}
	}
	if _, err := fmt.Fprintf(console.Out, "apricotproxy %s%s\n", version, revision); err != nil {
		return fmt.Errorf("printing the version: %w", err)
	}
	return nil
}
