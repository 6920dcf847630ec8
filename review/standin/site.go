package main

import (
	_ "embed" // for the data files
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"text/template"
	"time"

	"apricotproxy/core"
	"apricotproxy/platform"
)

//go:embed names.json
var _namesText []byte

//go:embed settings.toml
var _settingsText string

//go:embed config.json
var _configText []byte

// names holds the platform's names that the stand-ins use beside those of package platform.
var names struct{ RangePath, WatchPath, ConfigKey, EntryPrefix, ColdHeader string }

// entry is one machine of the system with its process.
type entry struct {
	name, ip, zone string
	command        *exec.Cmd
	ended          chan struct{}
}

// site is the store, the workers and the machines of one run.
type site struct {
	program, folder string
	headers         core.HeaderNames
	paths           core.CallPaths
	base            string // the first three octets of the run's addresses
	store           *store
	storeAddress    string
	workers         []*worker
	entries         []*entry
	begun           time.Time
	// coldStart is how long workers are cold after their start.
	coldStart time.Duration

	mu     sync.Mutex
	record *os.File
}

// _zones are the zones of the machines and workers, by turns.
var _zones = []string{"austin-a", "austin-b", "sanmarcos"}

// newSite starts the store with the configuration.
func newSite(program, folder, recordPath string) (*site, error) {
	if err := json.Unmarshal(_namesText, &names); err != nil {
		return nil, fmt.Errorf("decode the names: %w", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	s := &site{program: program, folder: folder, headers: platform.Headers(), paths: platform.Paths(), record: record, begun: time.Now()}
	var listener net.Listener
	for try := range 200 {
		n := os.Getpid() + try
		s.base = fmt.Sprintf("127.%d.%d", 1+n%250, 1+n/250%250)
		if s.isFree() {
			if listener, err = net.Listen("tcp", s.base+".250:8742"); err == nil {
				break
			}
		}
	}
	if listener == nil {
		return nil, fmt.Errorf("no free addresses: %w", err)
	}
	s.storeAddress = listener.Addr().String()
	s.store = newStore(listener)
	s.store.put(names.ConfigKey, json.RawMessage(_configText))
	return s, nil
}

// isFree reports whether the machines' ports are free.
func (s *site) isFree() bool {
	for _, port := range []string{"8740", "8748", "8749"} {
		listener, err := net.Listen("tcp", s.base+".1:"+port)
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// note writes a line to the record.
func (s *site) note(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, values...))
}

// addWorkers starts workers of a service with version v1.
func (s *site) addWorkers(service string, count, slots int, serve func(w http.ResponseWriter, c *call)) error {
	for range count {
		n := len(s.workers)
		k := &worker{site: s, id: fmt.Sprintf("i-%04d", n+1), service: service, zone: _zones[n%len(_zones)], slots: slots, serve: serve}
		k.address = fmt.Sprintf("%s.%d:8080", s.base, 100+n)
		s.workers = append(s.workers, k)
		if err := k.start("v1"); err != nil {
			return err
		}
	}
	return nil
}

// addEntries starts machines of the system and waits until all are ready.
func (s *site) addEntries(count int) error {
	for n := range count {
		s.entries = append(s.entries, &entry{name: fmt.Sprintf("edge-%d", n+1), ip: fmt.Sprintf("%s.%d", s.base, n+1), zone: _zones[n%len(_zones)]})
	}
	for _, e := range s.entries {
		if err := s.startEntry(e); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range s.entries {
		for !s.isReady(e) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // contactMs: all machines are in touch
	s.note("all machines are in touch")
	return nil
}

func (s *site) isReady(e *entry) bool {
	client := &http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + e.ip + ":8749" + s.paths.Ready)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startEntry starts a machine's process with the command of the deploy file.
func (s *site) startEntry(e *entry) error {
	path := filepath.Join(s.folder, e.name+".toml")
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create the settings: %w", err)
	}
	seeds := make([]string, 0, 3)
	for _, other := range s.entries[:min(3, len(s.entries))] {
		seeds = append(seeds, other.ip)
	}
	err = template.Must(template.New("settings").Parse(_settingsText)).Execute(file, map[string]any{
		"Name": e.name, "IP": e.ip, "Zone": e.zone, "Seeds": seeds, "Store": s.storeAddress,
	})
	if err != nil {
		return fmt.Errorf("write the settings: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("write the settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(s.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("create the log: %w", err)
	}
	e.command = exec.Command(s.program, "route")
	e.command.Env = []string{platform.SettingsVariable + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + s.folder}
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", e.name, err)
	}
	e.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}(e.command, e.ended)
	s.note("%s starts at %s in %s", e.name, e.ip, e.zone)
	return nil
}

// close ends all processes.
func (s *site) close() {
	for _, e := range s.entries {
		if e.command != nil {
			_ = e.command.Process.Kill()
			<-e.ended
		}
	}
	for _, k := range s.workers {
		k.crash()
	}
	_ = s.record.Close()
}
