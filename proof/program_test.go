package proof_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/fakes/addrs"
)

// The whole program is run as operators run it, by scripts under
// testdata/program:
//
//	run          one command line; prints its exit code and output, with
//	             lines=x only the lines that begin with x, _ for a blank
//	fakes        starts fakes and entry hosts in processes of their own
//	load host=n  starts a load against one host, in the background
//	stop host=n  sends SIGTERM to a host and prints its exit code
//	wait         waits for the load and prints how many answers were cut,
//	             lost or broken; requests that reached no listener count for
//	             nothing, since the load goes on after the host has stopped
//	run host=n   as run, with $CALLER and $OPERATOR as that host's addresses
//
// Nothing depends on how long anything takes.

// entry is one entry host in a process of its own.
type entry struct {
	command  *exec.Cmd
	caller   string
	operator string
}

// program holds what a script has started.
type program struct {
	t       *testing.T
	binary  string
	entries []*entry
	load    *exec.Cmd
	result  bytes.Buffer
}

func TestProgram(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "apricotproxy")
	if out, err := exec.Command("go", "build", "-o", binary, "apricotproxy/cmd/apricotproxy").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	datadriven.Walk(t, "testdata/program", func(t *testing.T, path string) {
		p := &program{t: t, binary: binary}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return p.do(t, d) })
	})
}

func (p *program) do(t *testing.T, d *datadriven.TestData) string {
	host := 1
	if d.HasArg("host") {
		d.ScanArgs(t, "host", &host)
	}
	switch d.Cmd {
	case "run":
		lines := ""
		if d.HasArg("lines") {
			d.ScanArgs(t, "lines", &lines)
		}
		return p.run(d.Input, host, strings.ReplaceAll(lines, "_", " "))
	case "fakes":
		return p.fakes()
	case "load":
		return p.startLoad(d.Input, host)
	case "stop":
		e := p.entries[host-1]
		if err := e.command.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		return exitLine(e.command.Wait())
	case "wait":
		return p.wait()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	}
}

// exitLine gives "exit 0".
func exitLine(err error) string {
	var exit *exec.ExitError
	switch {
	case err == nil:
		return "exit 0\n"
	case errors.As(err, &exit):
		return fmt.Sprintf("exit %d\n", exit.ExitCode())
	default:
		return err.Error() + "\n"
	}
}

func (p *program) arguments(line string, host int) []string {
	if len(p.entries) >= host {
		line = strings.ReplaceAll(line, "$CALLER", p.entries[host-1].caller)
		line = strings.ReplaceAll(line, "$OPERATOR", p.entries[host-1].operator)
	}
	return strings.Fields(line)
}

// _changing is what differs from run to run: ports, times, lives, tokens.
var _changing = regexp.MustCompile(
	`\b127\.0\.0\.1:\d+|\b\d{4}-\d\d-\d\d[T ][0-9:.]+Z?|@\d{16,}|\b\d{16,}\b|(\bw[0-9a-f]{4}\b ?)+|\b\d+ tokens`)

func (p *program) run(line string, host int, begin string) string {
	out, err := exec.Command(p.binary, p.arguments(line, host)...).CombinedOutput()
	text := _changing.ReplaceAllString(string(out), "*")
	// Blank lines would end the expected output.
	text = regexp.MustCompile(`\n\s*\n+`).ReplaceAllString(text, "\n")
	result := exitLine(err)
	for _, l := range strings.SplitAfter(strings.TrimLeft(text, "\n"), "\n") {
		if strings.HasPrefix(l, begin) {
			result += l
		}
	}
	return result
}

// start starts the binary; it is killed at the end of the test.
func (p *program) start(arguments []string) (*exec.Cmd, io.Reader) {
	command := exec.Command(p.binary, arguments...)
	out, err := command.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = command.Process.Kill() })
	return command, out
}

// fakes starts the back ends and the hosts whose command lines they print, and
// waits until each host is ready.
func (p *program) fakes() string {
	_, out := p.start([]string{"fakes"})
	lines := bufio.NewScanner(out)
	for len(p.entries) < 3 && lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) > 2 && fields[0] == "apricotproxy" {
			p.entries = append(p.entries, p.startHost(fields[1:]))
		}
	}
	for _, e := range p.entries {
		// Not ready hosts answer too, with Ready: false.
		for !p.ready(e) {
			if err := e.command.Process.Signal(syscall.Signal(0)); err != nil {
				return "a host has ended: " + err.Error() + "\n"
			}
		}
	}
	return fmt.Sprintf("%d hosts\n", len(p.entries))
}

// ready tells whether a host says that it is ready.
func (p *program) ready(e *entry) bool {
	out, err := exec.Command(p.binary, "status", "--json", "--address", e.operator).Output()
	return err == nil && bytes.Contains(bytes.ReplaceAll(out, []byte(" "), nil), []byte(`"Ready":true`))
}

func (p *program) startHost(arguments []string) *entry {
	e := &entry{operator: addrs.Next()}
	for i, argument := range arguments {
		switch argument {
		case "--caller-address":
			e.caller = arguments[i+1]
		case "--operator-address":
			arguments[i+1] = e.operator
		}
	}
	var out io.Reader
	e.command, out = p.start(append(arguments, "--log-format", "json"))
	go func() { _, _ = io.Copy(io.Discard, out) }()
	return e
}

// startLoad starts a load and returns when it has printed something.
func (p *program) startLoad(line string, host int) string {
	p.load = exec.Command(p.binary, p.arguments(line, host)...)
	p.load.Stdout = &p.result
	progress, err := p.load.StderrPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := p.load.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = p.load.Process.Kill() })
	if _, err := bufio.NewReader(progress).ReadByte(); err != nil {
		return "the load told nothing: " + err.Error() + "\n"
	}
	go func() { _, _ = io.Copy(io.Discard, progress) }()
	return "started\n"
}

// wait reads the load's table, whose columns are Kind, Sent, Done, NotRun,
// Interrupted, Unknown and Broken.
func (p *program) wait() string {
	if err := p.load.Wait(); err != nil && p.load.ProcessState.ExitCode() != 1 {
		return err.Error() + "\n"
	}
	result := ""
	for _, line := range strings.Split(p.result.String(), "\n") {
		const columns = 12
		if fields := strings.Fields(line); len(fields) == columns {
			result += fmt.Sprintf("%s: %s %s %s\n", fields[0], fields[4], fields[5], fields[6])
		}
	}
	return result
}
