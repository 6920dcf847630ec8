package cmds

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
	"gopkg.in/ini.v1"
)

// _serveSection is the section of a host's settings file. Its keys are the
// flags of serve in Pascal case: CallerAddress for --caller-address.
const _serveSection = "Serve"

// loadSettings reads a host's settings file for kong. Flags on the command line
// take precedence over the file.
//
//	[Serve]
//	Site = texas
//	Name = austin-a-host-1
//	Platform = 10.20.0.9:8500
func loadSettings(r io.Reader) (kong.Resolver, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("read the settings file: %w", err)
	}
	file, err := ini.Load(text)
	if err != nil {
		return nil, fmt.Errorf("read the settings file: %w", err)
	}
	for _, section := range file.Sections() {
		if name := section.Name(); name != _serveSection && (name != ini.DefaultSection || len(section.Keys()) > 0) {
			return nil, fmt.Errorf("the settings file has a section or keys in [%s]; expected [%s] alone", name, _serveSection)
		}
	}
	return &settingsResolver{section: file.Section(_serveSection)}, nil
}

// settingsResolver provides the values of a settings file to kong.
type settingsResolver struct {
	section *ini.Section
}

var _ kong.Resolver = (*settingsResolver)(nil)

// Validate rejects keys that are not flags of serve.
func (s *settingsResolver) Validate(app *kong.Application) error {
	known := make(map[string]bool)
	for _, command := range app.Children {
		if command.Name != "serve" {
			continue
		}
		for _, flag := range command.Flags {
			known[pascalCase(flag.Name)] = true
		}
	}
	for _, key := range s.section.Keys() {
		if !known[key.Name()] {
			return fmt.Errorf("the settings file has the unknown key %s; the keys are the flags of serve in Pascal case", key.Name())
		}
	}
	return nil
}

// Resolve returns the value of a flag, or nil if the file has none.
func (s *settingsResolver) Resolve(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
	key := pascalCase(flag.Name)
	if !s.section.HasKey(key) {
		return nil, nil
	}
	return s.section.Key(key).String(), nil
}

// pascalCase converts "caller-address" to "CallerAddress".
func pascalCase(flag string) string {
	var name strings.Builder
	for part := range strings.SplitSeq(flag, "-") {
		name.WriteString(strings.ToUpper(part[:1]) + part[1:])
	}
	return name.String()
}
