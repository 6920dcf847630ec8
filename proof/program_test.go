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
	"time"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/fakes/addrs"
)

// The tests of the program build it and run it as operators do. Scripts under
// testdata/program hold the commands:
//
//	run          runs one command line and prints its exit code and output; with
//	             lines=x it prints only the lines that begin with x, where _
//	             stands for a space
//	run host=n   the same; $CALLER and $OPERATOR are replaced by the host's
//	             addresses
//	fakes        starts the fakes and three entry hosts, each in its own process
//	load host=n  starts a load against one host in the background
//	hangup host=n  sends SIGHUP to a host, and prints whether it still answers
//	stop host=n  sends SIGTERM to a host and prints its exit code
//	wait         waits for the load to end and prints how many requests ended as
//	             Interrupted, Unknown or Broken; requests that were not sent because
//	             no host was listening do not count, since the load continues after
//	             the host has stopped
//
// The results do not depend on timing.

// _hangupTime is how long a process that SIGHUP ends may take to do so.
const _hangupTime = 200 * time.Millisecond

// hostProcess is one entry host in its own process.
type hostProcess struct {
	command  *exec.Cmd
	caller   string
	operator string
}

// program holds the processes that a script has started.
type program struct {
	t      *testing.T
	binary string
	hosts  []*hostProcess
	load   *exec.Cmd
	result bytes.Buffer
}

func TestProgram(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "apricotproxy")
	// The scripts expect the version of a build without version control.
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "apricotproxy/cmd/apricotproxy").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	datadriven.Walk(t, "testdata/program", func(t *testing.T, path string) {
		p := &program{t: t, binary: binary}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return p.execute(t, d) })
	})
}

func (p *program) execute(t *testing.T, d *datadriven.TestData) string {
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
	case "hangup":
		e := p.hosts[host-1]
		if err := e.command.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(_hangupTime)
		return fmt.Sprintf("ready %t\n", p.ready(e))
	case "stop":
		e := p.hosts[host-1]
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

// exitLine returns a line such as "exit 0" for the result of a command.
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
	if len(p.hosts) >= host {
		line = strings.ReplaceAll(line, "$CALLER", p.hosts[host-1].caller)
		line = strings.ReplaceAll(line, "$OPERATOR", p.hosts[host-1].operator)
	}
	return strings.Fields(line)
}

// _volatile matches output that differs between runs: ports, times, incarnations,
// tokens.
var _volatile = regexp.MustCompile(
	`\b127\.0\.0\.1:\d+|\b\d{4}-\d\d-\d\d[T ][0-9:.]+Z?|@\d{16,}|\b\d{16,}\b|(\bw[0-9a-f]{4}\b ?)+|\b\d+ tokens`)

func (p *program) run(line string, host int, prefix string) string {
	out, err := exec.Command(p.binary, p.arguments(line, host)...).CombinedOutput()
	text := _volatile.ReplaceAllString(string(out), "*")
	// A blank line would end the expected output in the script.
	text = regexp.MustCompile(`\n\s*\n+`).ReplaceAllString(text, "\n")
	result := exitLine(err)
	for _, l := range strings.SplitAfter(strings.TrimLeft(text, "\n"), "\n") {
		if strings.HasPrefix(l, prefix) {
			result += l
		}
	}
	return result
}

// start starts the binary and kills it at the end of the test. It returns the
// standard output.
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

// fakes starts the fakes and the entry hosts whose command lines the fakes print. It
// waits until all hosts are ready.
func (p *program) fakes() string {
	_, out := p.start([]string{"fakes"})
	lines := bufio.NewScanner(out)
	for len(p.hosts) < 3 && lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) > 2 && fields[0] == "apricotproxy" {
			p.hosts = append(p.hosts, p.startHost(fields[1:]))
		}
	}
	for _, e := range p.hosts {
		// A host that is not ready answers too, with Ready: false.
		for !p.ready(e) {
			if err := e.command.Process.Signal(syscall.Signal(0)); err != nil {
				return "a host has exited: " + err.Error() + "\n"
			}
		}
	}
	return fmt.Sprintf("%d hosts\n", len(p.hosts))
}

// ready reports whether a host's status says that it is ready.
func (p *program) ready(e *hostProcess) bool {
	out, err := exec.Command(p.binary, "status", "--json", "--address", e.operator).Output()
	return err == nil && bytes.Contains(bytes.ReplaceAll(out, []byte(" "), nil), []byte(`"Ready":true`))
}

func (p *program) startHost(arguments []string) *hostProcess {
	e := &hostProcess{operator: addrs.Next()}
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

// startLoad starts a load and returns once the load has printed something.
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
		return "the load printed nothing: " + err.Error() + "\n"
	}
	go func() { _, _ = io.Copy(io.Discard, progress) }()
	return "started\n"
}

// wait waits for the load and reads its table. The first of its 12 columns are Kind,
// Sent, Done, NotRun, Interrupted, Unknown and Broken.
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
