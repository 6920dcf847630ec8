package rig

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// _command is that of the deploy file.
var _command = []string{"target/apricotproxy", "route"}

// HostSettings describe an entry host.
type HostSettings struct {
	Folder   string
	Store    *Store
	Zone     string
	MemoryMB int
}

// Host is an entry host, which runs as a process of its own.
type Host struct {
	Name     string
	Front    string
	settings HostSettings
	ip       string
	ready    string
	core     int

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	starts  int
}

// Fleet is a number of entry hosts of the same ports, each on a loopback address of its own.
type Fleet struct{ Hosts []*Host }

// NewFleet makes the hosts and their settings files. Zones names the zone of each.
func NewFleet(settings HostSettings, zones []string) (*Fleet, error) {
	ports, err := freePorts(5, len(zones))
	if err != nil {
		return nil, err
	}
	f := &Fleet{}
	var seeds []string
	for i := range zones {
		if i < 3 {
			seeds = append(seeds, strconv.Quote(net.JoinHostPort(hostIP(i), strconv.Itoa(ports[2]))))
		}
	}
	for i, zone := range zones {
		own := settings
		own.Zone = zone
		h := &Host{Name: fmt.Sprintf("edge-%s-%d", zone, i), settings: own, ip: hostIP(i), core: i}
		h.Front, h.ready = net.JoinHostPort(h.ip, strconv.Itoa(ports[0])), net.JoinHostPort(h.ip, strconv.Itoa(ports[1]))
		if err := os.WriteFile(h.file(), []byte(h.text(ports, seeds, zones)), 0o600); err != nil {
			return nil, fmt.Errorf("write the settings of %s: %w", h.Name, err)
		}
		f.Hosts = append(f.Hosts, h)
	}
	return f, nil
}

func hostIP(i int) string { return fmt.Sprintf("127.0.58.%d", i+1) }

// freePorts returns ports that are free on the addresses of all hosts.
func freePorts(count, hosts int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < count && tries < 200; tries++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(hostIP(0), "0"))
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		_, text, _ := net.SplitHostPort(listener.Addr().String())
		port, _ := strconv.Atoi(text)
		isFree := true
		for i := 1; i < hosts && isFree; i++ {
			other, err := net.Listen("tcp", net.JoinHostPort(hostIP(i), text))
			if isFree = err == nil; isFree {
				_ = other.Close()
			}
		}
		_ = listener.Close()
		if isFree {
			ports = append(ports, port)
		}
	}
	if len(ports) < count {
		return nil, errors.New("find free ports: there are too few")
	}
	return ports, nil
}

func (h *Host) file() string { return filepath.Join(h.settings.Folder, h.Name+".toml") }

func (h *Host) text(ports []int, seeds, zones []string) string {
	var all strings.Builder
	seen := make(map[string]bool)
	for _, zone := range zones {
		if !seen[zone] {
			fmt.Fprintf(&all, "%s = \"tx-central\"\n", zone)
		}
		seen[zone] = true
	}
	return fmt.Sprintf(`nodeName = "%s"
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "%s"
zone = "%s"
region = "tx-central"
portRange = [%d,%d]
seeds = [%s]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "virtual_ip"
beatIntervalMs = %d
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]
[zones]
%s[listen]
front = "%s"
ready = "%s"
control = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
revokeStrict = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 58
coldOverage = 1.5
coldSlack = 5
evacuateMs = 5000
recoverS = 12
passMs = 120
reuseWindowS = 6
[provider]
address = "%s"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`, h.Name, h.ip, h.settings.Zone, ports[3], ports[4], strings.Join(seeds, ","), BeatInterval.Milliseconds(), all.String(), h.Front, h.ready, h.ip, ports[2],
		h.settings.MemoryMB, h.settings.Store.Address)
}

// Start starts the process.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(h.settings.Folder, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", h.Name, err)
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(_command[0], _command[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), _names.Settings + "=" + h.file()}
	process.Stdout, process.Stderr = log, log
	if err := onOneCore(h.core, process.Start); err != nil {
		return fmt.Errorf("start %s: %w", h.Name, err)
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	h.process, h.ended = process, ended
	h.starts++
	return nil
}

// Kill kills the process and waits for its end.
func (h *Host) Kill() { h.Signal(syscall.SIGKILL, true) }

// Signal sends a signal to the process, and waits for its end if wait is true.
func (h *Host) Signal(signal syscall.Signal, wait bool) {
	h.mu.Lock()
	process, ended := h.process, h.ended
	h.mu.Unlock()
	if process == nil {
		return
	}
	select {
	case <-ended: // the ID may belong to another process by now
		return
	default:
	}
	_ = process.Process.Signal(signal)
	if wait {
		<-ended
	}
}

// Lives reports whether the process runs.
func (h *Host) Lives() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return false
	}
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// Memory returns the memory of the process in bytes: without the pages of its files, which the
// kernel may drop.
func (h *Host) Memory() int64 {
	h.mu.Lock()
	process := h.process
	h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "RssAnon:")
	kilobytes := int64(0)
	_, _ = fmt.Sscan(rest, &kilobytes)
	return kilobytes << 10
}

// IsReady asks the host whether it is ready, as the platform does.
func (h *Host) IsReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + h.ready + "/-/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// AwaitReady waits until all hosts are ready.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range f.Hosts {
			if h.IsReady() {
				ready++
			}
		}
		if ready == len(f.Hosts) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d hosts are ready after %v", ready, len(f.Hosts), limit)
		}
	}
}

// Start starts all hosts.
func (f *Fleet) Start() error {
	for _, h := range f.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Kill kills all hosts.
func (f *Fleet) Kill() {
	for _, h := range f.Hosts {
		h.Kill()
	}
}
