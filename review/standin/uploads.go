package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Many users come at once, each with a body of the greatest length that the configuration allows.
// The platform kills a process whose memory is over memoryMb, and restarts it.
const (
	_uploadCallers = 26
	_uploadWaves   = 3
	_uploadTime    = 3 * time.Second
	_uploadBytes   = 4194304
	_usualBytes    = 17000
	_memoryMb      = 134
	_restartDelay  = time.Second
	_faultMachines = 2
	_faultEnds     = 3
)

// anonymousMb returns the memory of a machine's process that no file backs.
func anonymousMb(e *entry) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

// watchMemory kills the process of a machine when it uses too much memory, and starts it again.
// It returns how often it did so.
func (s *site) watchMemory(e *entry, done <-chan struct{}) (ends, most int) {
	for {
		select {
		case <-done:
			return ends, most
		case <-time.After(5 * time.Millisecond):
		}
		used := anonymousMb(e)
		most = max(most, used)
		if used <= _memoryMb {
			continue
		}
		ends++
		s.note("%s uses %d MB and is killed", e.name, used)
		_ = e.command.Process.Kill()
		<-e.ended
		time.Sleep(_restartDelay)
		if err := s.startEntry(e); err != nil {
			s.note("%v", err)
			return ends, most
		}
	}
}

func runUploads(s *site, trouble bool) (verdict, error) {
	serve := func(w http.ResponseWriter, c *call) {
		s.note("worker %s runs %s, %d bytes", c.worker.id, c.id, len(c.body))
		if !c.stream(w, 3, 20*time.Millisecond, func(int) bool { return true }) {
			panic(http.ErrAbortHandler)
		}
	}
	if err := s.addWorkers("scribe", 4, 24, serve); err != nil {
		return verdict{}, err
	}
	if err := s.addEntries(3); err != nil {
		return verdict{}, err
	}
	size := _usualBytes
	if trouble {
		size = _uploadBytes
	}
	body := strings.Repeat("x", size)
	targets := s.entries[:_faultMachines]
	done := make(chan struct{})
	ends, most := make([]int, len(targets)), make([]int, len(targets))
	var watchers, group sync.WaitGroup
	for i, e := range targets {
		watchers.Go(func() { ends[i], most[i] = s.watchMemory(e, done) })
	}
	var mu sync.Mutex
	sent, answered := 0, 0
	for range _uploadWaves {
		for n := range _uploadCallers * len(targets) {
			group.Go(func() {
				a := s.send(targets[n%len(targets)], &request{
					method: http.MethodPost, path: fmt.Sprintf("/draft/%d", n), body: body, deadline: 39 * time.Second, pace: _uploadTime,
					prompt: fmt.Sprintf("aa01:100,%x:100", 0xb000+n), tokens: 200,
				})
				mu.Lock()
				defer mu.Unlock()
				sent++
				if a.whole {
					answered++
				}
			})
		}
		group.Wait()
		time.Sleep(6 * time.Second)
	}
	close(done)
	watchers.Wait()
	over := 0
	for _, n := range ends {
		if n >= _faultEnds {
			over++
		}
	}
	return verdict{broken: over >= _faultMachines, text: fmt.Sprintf("%d drafts of %d bytes, %d answered; processes ended for their memory %v times, the most was %v MB of %d", sent, size, answered, ends, most, _memoryMb)}, nil
}
