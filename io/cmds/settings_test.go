package cmds_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/io/cmds"
)

// TestSettingsFiles starts serve with each settings file of testdata/settings. Each
// case has an error, at the latest an invalid listen address, so serve always returns.
func TestSettingsFiles(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		path := filepath.Join(t.TempDir(), "host.ini")
		if err := os.WriteFile(path, []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		arguments := []string{"serve", "--settings", path}
		if d.HasArg("flag") {
			var flag string
			d.ScanArgs(t, "flag", &flag)
			arguments = append(arguments, "--"+flag)
		}
		var stdout, stderr strings.Builder
		code := cmds.Run(t.Context(), arguments, cmds.Console{Out: &stdout, Err: &stderr})
		return fmt.Sprintf("exit %d\n%s%s", code, &stdout, strings.ReplaceAll(stderr.String(), path, "host.ini"))
	})
}
