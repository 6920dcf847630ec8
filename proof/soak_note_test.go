package proof_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"apricotproxy/fakes/routed"
)

// The engines of the soak. Their streams may not run twice, and have copies at other engines. An
// engine falls silent in some of them, and goes on with a run when its connection closes.

const (
	_soakEngines    = 3
	_soakNoteEvents = 24
	_soakNotePause  = 60 * time.Millisecond
	// _soakNoteSilentAt is the event before which an engine may fall silent; copies are made by then.
	_soakNoteSilentAt = 20
	// _soakSilentNotes is one in how many notes meet silence.
	_soakSilentNotes = 3
	// The users' bound for how long two engines may work on a stream at a time.
	_soakOverlap = 400 * time.Millisecond
)

// soakNote is one run of a note at an engine.
type soakNote struct {
	begun, end time.Time
	stop       sync.Once
	stopped    chan struct{}
}

// soakNotes holds the runs of all notes, by request ID. It is safe for concurrent use.
type soakNotes struct {
	mu   sync.Mutex
	runs map[string][]*soakNote
}

// begin records a run.
func (n *soakNotes) begin(id string) *soakNote {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.runs == nil {
		n.runs = make(map[string][]*soakNote)
	}
	run := &soakNote{begun: time.Now(), stopped: make(chan struct{})}
	n.runs[id] = append(n.runs[id], run)
	return run
}

func (n *soakNotes) end(run *soakNote) {
	n.mu.Lock()
	defer n.mu.Unlock()
	run.end = time.Now()
}

// last returns the latest run of a note; nil if there is none.
func (n *soakNotes) last(id string) *soakNote {
	n.mu.Lock()
	defer n.mu.Unlock()
	runs := n.runs[id]
	if len(runs) == 0 {
		return nil
	}
	return runs[len(runs)-1]
}

// check returns a description of each note that ran at two engines at a time, and how many went on
// at another one.
func (n *soakNotes) check() (violations []string, wentOn int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, runs := range n.runs {
		for i, run := range runs[1:] {
			wentOn++
			before := runs[i].end
			if before.IsZero() || before.After(run.begun.Add(_soakOverlap)) {
				violations = append(violations, fmt.Sprintf("%s went on at another engine while the one before still worked on it", id))
			}
		}
	}
	return violations, wentOn
}

// startEngines starts the engines, which stay to the end.
func (r *soakRun) startEngines() error {
	for i := range _soakEngines {
		e := &soakEndpoint{name: fmt.Sprint("n", i), build: "v0"}
		engine, err := routed.Start(r.answerNote)
		if err != nil {
			return fmt.Errorf("start an engine: %w", err)
		}
		e.Endpoint = engine
		r.engines = append(r.engines, e)
	}
	return nil
}

// answerNote answers a request at an engine. IDs are note-HOST-NUMBER.
func (r *soakRun) answerNote(c *routed.Call) bool {
	if c.URL.Path == "/v1/moves" {
		return r.answerMove(c)
	}
	id := c.Header.Get("Request-Id")
	var host, number int
	if _, err := fmt.Sscanf(id, "note-%d-%d", &host, &number); err != nil {
		c.Answer(http.StatusOK, "")
		return true
	}
	run := r.notes.begin(id)
	defer r.notes.end(run)
	c.BeginStream("Request-Id: "+id, "Endpoint-Seal: s")
	first := 0
	if last := c.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	for n := first; n < _soakNoteEvents; n++ {
		pause := _soakNotePause
		if n == _soakNoteSilentAt && first == 0 && number%_soakSilentNotes == 0 {
			pause = time.Second + time.Duration(number%4)*500*time.Millisecond
		}
		select {
		case <-run.stopped:
			return false
		case <-time.After(pause):
		}
		c.Chunk(soakEvent("v0", c.URL.Path, n))
	}
	c.EndStream()
	return true
}

// answerMove answers a request to copy a run's memory: by the request's number the run is stopped,
// there is said to be none, or the answer is an error.
func (r *soakRun) answerMove(c *routed.Call) bool {
	var move struct {
		ID   string
		Last bool
	}
	if err := json.Unmarshal([]byte(c.BodyText), &move); err != nil {
		r.violate("an engine got the move %q", c.BodyText)
	}
	var host, number int
	_, _ = fmt.Sscanf(move.ID, "note-%d-%d", &host, &number)
	run := r.notes.last(move.ID)
	switch way := number / _soakSilentNotes % 4; {
	case run == nil || way == 0:
		c.Answer(http.StatusNotFound, "")
	case way == 1:
		c.Answer(http.StatusInternalServerError, "")
	default:
		if move.Last {
			run.stop.Do(func() { close(run.stopped) })
		}
		c.Answer(http.StatusOK, `{"handle":"`+move.ID+`","created":1}`)
	}
	return true
}

// sendNotes sends one note after the other to a host until the run ends.
func (r *soakRun) sendNotes(host int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := host; r.deadline.Err() == nil; n++ {
		path := fmt.Sprintf("/note/%d-%d", host, n)
		res := r.send(client, host, fmt.Sprintf("note-%d-%d", host, n), path, "Deadline-Ms: 6000", "Tokens: 100,100")
		if res == nil {
			continue
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK && err == nil && string(body) != soakNoteText(path) {
			r.violate("note %s got %q", path, body)
		}
		if res.StatusCode != http.StatusOK {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// soakNoteText returns a whole note.
func soakNoteText(path string) string {
	text := ""
	for n := range _soakNoteEvents {
		text += soakEvent("v0", path, n)
	}
	return text
}
