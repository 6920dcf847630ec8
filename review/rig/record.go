package rig

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is a case's record of what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	begunAt time.Time
}

// NewRecord creates the record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &Record{file: file, begunAt: time.Now()}, nil
}

// Printf adds a line with the time since the beginning.
func (r *Record) Printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begunAt).Seconds(), fmt.Sprintf(format, values...))
}

// Conclude adds a line and prints it.
func (r *Record) Conclude(format string, values ...any) {
	r.Printf(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Close closes the record.
func (r *Record) Close() { _ = r.file.Close() }

// _processes are those that the case has started.
var _processes struct {
	mu  sync.Mutex
	all []*Host
}

func register(h *Host) {
	_processes.mu.Lock()
	defer _processes.mu.Unlock()
	_processes.all = append(_processes.all, h)
}

// endOnSignal ends all processes and the case when it is told to stop.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		_processes.mu.Lock()
		for _, h := range _processes.all {
			h.Kill()
		}
		os.Exit(NotRun)
	}()
}

// HasTrouble reports whether the case is to be run with its disruption.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }
