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

// TestSettingsFiles starts serve with each settings file of testdata/settings.
// No file names an address that can be listened on, so that none serves.
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
		var out, problems strings.Builder
		code := cmds.Run(t.Context(), arguments, cmds.Console{Out: &out, Err: &problems})
		return fmt.Sprintf("exit %d\n%s%s", code, &out, strings.ReplaceAll(problems.String(), path, "host.ini"))
	})
}
