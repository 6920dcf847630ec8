package cmds

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
)

// settingsText returns the text of a settings file with a time that tells it apart.
func settingsText(graceS int) []byte {
	return fmt.Appendf(nil, "nodeName = \"n\"\nzone = \"z\"\nportRange = [7200, 7201]\n[listen]\nfront = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n"+
		"control = \"127.0.0.1:3\"\n[provider]\naddress = \"127.0.0.1:4\"\n[bounds]\ngraceS = %d\n", graceS)
}

// Settings that change between the host's start and the first look at the file are applied.
func TestSettingsThatChangeDuringTheStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, settingsText(9), 0o600); err != nil {
		t.Fatal(err)
	}
	reloaded := make(chan core.EntrySettings, 1)
	hangups := make(chan os.Signal, 1)
	hangups <- os.Interrupt // any signal on the channel makes it look at once
	go watchSettings(t.Context(), path, settingsText(8), func(s core.EntrySettings) { reloaded <- s }, logr.Discard(), hangups)
	select {
	case s := <-reloaded:
		if s.Bounds.StopGrace != 9*time.Second {
			t.Errorf("the host may take %v to stop, want the 9 s of the file", s.Bounds.StopGrace)
		}
	case <-time.After(5 * time.Second):
		t.Error("the change was not applied")
	}
}

func TestRoutineLines(t *testing.T) {
	for message, want := range map[string]bool{
		"A try begins.": true, "The first event arrived.": true, "A stream is complete.": true, "Answered.": true,
		"A try ended.": false, "A stream was cut.": false, "A request was answered with an error.": false,
		"A request is cut off by the end of a stop.": false, "This host is stopping.": false, "": false,
	} {
		var line bytes.Buffer
		(&RouteCommand{}).logger(&line).WithName("front").Info(message, "Path", `/"msg":"Answered."`)
		if got := isRoutine(line.Bytes()); got != want {
			t.Errorf("%q: routine %v, want %v", message, got, want)
		}
	}
	if isRoutine(droppedNotice(3)) {
		t.Error("the notice of dropped lines is routine")
	}
}
