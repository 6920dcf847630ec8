package front

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/reqst/event"
	"apricotproxy/core/reqst/tries"
	"apricotproxy/io/links"
)

const (
	// _leastTime is the time left below which no further try is made.
	_leastTime = 10 * time.Millisecond
	// _silences is how many times the longest timely pause a stream may be
	// silent before its engine counts as lost.
	_silences = 4
	// _shortestSilence bounds that from below: a retransmission on a lossy link
	// takes some hundred milliseconds.
	_shortestSilence = 500 * time.Millisecond
)

var (
	errTimeout = errors.New("the request's time is over")
	errSlow    = errors.New("the endpoint did not answer in time")
	errHanded  = errors.New("the run was handed over")
)

// exchange carries one request from its caller to endpoints and back.
type exchange struct {
	front    *Front
	writer   http.ResponseWriter
	control  *http.ResponseController
	incoming *http.Request
	request  *request
	tries    *tries.Tries

	// used names the endpoints that failed this request.
	used []string
	// refused names those that had no room for a copy.
	refused []string
	// leaving is when the endpoint of the present try was seen to leave.
	leaving time.Time
	// homeless is true once no engine had room for a copy that was needed.
	homeless bool
	// run is the try under way, backup the copy of its memory elsewhere.
	run    *place.Run
	backup backup

	position  event.Position
	splitter  event.Splitter
	events    int
	delivered bool
	// continued is true once the stream went on elsewhere.
	continued bool
	// began is when the present try's first event came; zero before.
	began time.Time
	// lastEvent is when an event was last delivered.
	lastEvent time.Time
	// resumed is false from a break of the stream to the next event.
	resumed bool
}

func newExchange(f *Front, w http.ResponseWriter, r *http.Request, req *request) *exchange {
	return &exchange{
		front: f, writer: w, control: http.NewResponseController(w), incoming: r, request: req,
		tries: tries.New(req.Route, f.config.Switches.Tries),
	}
}

// ended is how one try ended.
type ended struct {
	// done is true when the caller has its answer.
	done   bool
	result tries.Result
	// failure is the endpoint's own answer to a request that failed there.
	failure *whole
	health  place.Outcome
	err     error
}

func (e *exchange) desk() *Desk { return e.front.config.Desk }

// serve makes tries until the request has its answer.
func (e *exchange) serve(ctx context.Context) {
	defer e.backup.drop(e.desk())
	e.desk().first(e.request.Service)
	step := tries.Again
	for {
		end := e.step(ctx, step)
		if end.done || e.incoming.Context().Err() != nil {
			return
		}
		if ctx.Err() != nil {
			e.timeout()
			return
		}
		next := e.tries.Next(end.result, e.situation())
		e.log("A try ended.", "Result", end.result.String(), "Cause", text(end.err), "Next", next.String())
		switch next {
		case tries.Relay:
			e.relay(end.failure)
			return
		case tries.Refuse:
			e.answer(http.StatusServiceUnavailable, "no endpoint took the request", _retryAfter)
			return
		case tries.Fail:
			e.answer(http.StatusBadGateway, "the endpoint was lost; the request may have run", 0)
			return
		case tries.Cut:
			e.cut("the generation was lost")
		default:
			step = next
		}
	}
}

func (e *exchange) situation() tries.Situation {
	return tries.Situation{
		Delivered:  e.delivered,
		HasCopy:    e.backupStands(),
		SpendRetry: func() bool { return e.desk().again(e.request.Service) },
		TimeLeft:   time.Until(e.request.Deadline) > _leastTime,
	}
}

// step places the request and makes one try.
func (e *exchange) step(ctx context.Context, step tries.Step) ended {
	from := ""
	if step == tries.Continue {
		var id string
		id, from = e.backup.source()
		e.backup.drop(e.desk())
		run, ok := e.desk().take(id, &e.request.RoutedRequest)
		if !ok {
			return ended{result: tries.NotSent, err: errors.New("the endpoint with the copy takes no work")}
		}
		e.run = run
	} else if end := e.place(ctx); end != nil {
		return *end
	}
	e.continued = e.continued || step != tries.Again
	e.resumed = !e.delivered
	e.leaving, e.homeless, e.refused = time.Time{}, false, nil
	e.began = time.Time{}
	end := e.try(ctx, from)
	if !end.done && !e.backupStands() {
		e.backup.drop(e.desk()) // it was to come from this try
	}
	e.front.counters.tried(end.result.String())
	if !end.done {
		e.used = append(e.used, e.run.Endpoint.ID)
	}
	e.desk().end(e.run, end.health)
	return end
}

// loadChanged has other hosts told of a generation's load.
func (e *exchange) loadChanged() {
	if e.request.Prompt.Tokens > 0 {
		e.front.config.LoadChanged()
	}
}

// place waits for a run; it gives the end when there is none.
func (e *exchange) place(ctx context.Context) *ended {
	request := &e.request.RoutedRequest
	until := request.Arrived.Add(request.Route.Goal)
	if now := time.Now(); e.delivered || until.Before(now) {
		until = now.Add(request.Route.GapGoal)
	}
	if request.Deadline.Before(until) {
		until = request.Deadline
	}
	run, verdict := e.desk().place(ctx, &place.Spec{Request: *request, Exclude: e.used}, until)
	if verdict == place.Placed {
		e.run = run
		e.loadChanged()
		return nil
	}
	if ctx.Err() != nil {
		return &ended{}
	}
	e.log("No endpoint has room.", "Verdict", int(verdict), "Waited", time.Since(request.Arrived).Milliseconds())
	switch {
	case e.delivered:
		e.cut("no endpoint has room to go on")
	case e.tries.MayHaveRun():
		e.answer(http.StatusBadGateway, "the endpoint was lost; the request may have run", 0)
	default:
		e.answer(http.StatusServiceUnavailable, "no endpoint has room", e.whenRoom())
	}
	return &ended{done: true}
}

// whenRoom is when a caller does well to ask again that found no room for as long as its
// answer would have been on time: coming back at once only adds to the load. Chance
// spreads callers that were refused together.
func (e *exchange) whenRoom() time.Duration {
	goal := e.request.Route.Goal
	return max(goal+time.Duration(rand.Float64()*float64(goal)), _retryAfter)
}

// try sends the request to the endpoint of the run and passes the answer on.
// from names the copy that the run goes on from, if any.
func (e *exchange) try(ctx context.Context, from string) ended {
	endpoint := e.run.Endpoint
	e.chooseBackup()
	trying, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	slow := time.AfterFunc(time.Until(e.firstBy()), func() { cancel(errSlow) })
	defer slow.Stop()
	e.log("A try begins.", "Endpoint", endpoint.ID, "Address", endpoint.Address, "From", from, "Backup", e.backup.endpoint().ID,
		"Prompt", e.request.Prompt.Tokens, "Expected", e.request.Prompt.Expected, "MaxOutput", e.request.Prompt.MaxOutput,
		"Runs", e.run.PriorLoad.Runs, "Tokens", e.run.PriorLoad.Tokens, "Prefill", e.run.PriorLoad.Prefill)
	answer, err := e.front.config.Links.Do(trying, endpoint.RoutedEndpoint, e.outgoing(from))
	var failed *links.Error
	if errors.As(err, &failed) && failed.Stage == links.StageDial {
		return ended{result: tries.NotSent, health: e.blame(ctx, unreached(err)), err: err}
	}
	e.tries.Sent(from != "")
	if err != nil {
		return ended{result: e.lost(), health: e.blame(ctx, unanswered(err)), err: err}
	}
	defer answer.Close()
	defer e.keepBackup(trying, cancel)()
	end := e.receive(ctx, answer, slow)
	if cause := context.Cause(trying); end.err != nil && cause != nil {
		end.err, end.health = cause, e.blame(ctx, unanswered(cause))
	}
	return end
}

// blame is what a failed try says of the endpoint: nothing when it was the
// caller who left or the time that ran out.
func (e *exchange) blame(ctx context.Context, outcome place.Outcome) place.Outcome {
	if ctx.Err() != nil {
		return 0
	}
	return outcome
}

func unreached(err error) place.Outcome {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return place.Gone
	}
	return place.Unreachable
}

func unanswered(err error) place.Outcome {
	switch {
	case errors.Is(err, errSlow):
		return place.Unreachable
	case errors.Is(err, errHanded):
		return 0
	}
	return place.Bad
}

func (e *exchange) lost() tries.Result {
	if e.delivered {
		return tries.Broken
	}
	return tries.Lost
}

// firstBy is when the first event or the answer must have come for this try not
// to count as lost.
func (e *exchange) firstBy() time.Time {
	route := e.request.Route
	now := time.Now()
	limit := e.request.Deadline
	var patience time.Duration
	switch {
	case e.continued && route.Resumable:
		patience = e.silence()
	case e.tries.MayRunAgain():
		patience = route.Goal
	}
	if patience > 0 && now.Add(patience).Before(limit) {
		return now.Add(patience)
	}
	return limit
}

// silence is how long a stream that can go on elsewhere may be silent.
func (e *exchange) silence() time.Duration {
	return max(_silences*e.request.Route.GapGoal, _shortestSilence)
}

// canGoOn tells whether a stream could go on elsewhere if it broke now.
func (e *exchange) canGoOn() bool { return e.backupStands() || e.request.Route.Resumable }

// outgoing is the request as the endpoint gets it.
func (e *exchange) outgoing(from string) *links.Request {
	names := e.front.config.Names
	header := passedOn(e.incoming.Header, names)
	header.Set(names.RequestID, e.request.ID)
	header.Set(names.Deadline, strconv.FormatInt(max(time.Until(e.request.Deadline).Milliseconds(), 1), 10))
	header.Set(names.ExpectedEndpoint, e.run.Endpoint.ID)
	if e.request.Workspace != "" {
		header.Set(names.Workspace, string(e.request.Workspace))
	}
	if address := e.backup.endpoint().Address; address != "" {
		header.Set(names.Backup, address)
	}
	if from != "" {
		header.Set(names.ContinueFrom, from)
	}
	if e.position.Started() && e.delivered {
		header.Set(names.LastEventID, strconv.Itoa(e.position.Last()))
	}
	return &links.Request{
		Method:   e.incoming.Method,
		Target:   e.incoming.RequestURI,
		HostName: e.incoming.Host,
		Header:   header,
		Body:     e.request.body,
		Own:      e.own,
		RequireFresh:  e.request.Route.Kind != core.RouteIdempotent,

		MaxConnections: e.run.MaxConnections,
	}
}

// own tells whether an answer belongs to this request.
func (e *exchange) own(res *http.Response) bool {
	if e.front.config.Switches.AnyAnswer {
		return true
	}
	names := e.front.config.Names
	echo := res.Header.Get(names.RequestID)
	if echo == "" {
		return res.StatusCode == http.StatusMisdirectedRequest || res.Header.Get(names.NotRun) != ""
	}
	return echo == e.request.ID
}

// receive sorts an answer and passes it on if it is the caller's.
func (e *exchange) receive(ctx context.Context, answer *links.Answer, slow *time.Timer) ended {
	names := e.front.config.Names
	status := answer.StatusCode
	switch {
	case status == http.StatusMisdirectedRequest:
		e.skip(answer)
		return ended{result: tries.Refused, health: place.Gone, err: errors.New("another endpoint has the address")}
	case answer.Header.Get(names.NotRun) != "":
		e.skip(answer)
		return ended{result: tries.Refused, err: errors.New("the endpoint refused with status " + strconv.Itoa(status))}
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		if answer.Header.Get(names.Seal) == "" || answer.Header.Get("Content-Encoding") != "" {
			return ended{result: e.lost(), health: place.Bad, err: errors.New("the answer is not the endpoint's")}
		}
		if e.request.Route.Kind == core.RouteStreaming {
			return e.stream(ctx, answer, slow)
		}
	}
	if e.delivered {
		return ended{result: tries.Broken, health: place.Bad, err: errors.New("the endpoint answered with status " + strconv.Itoa(status))}
	}
	body, err := readWhole(answer)
	if err != nil {
		return ended{result: e.lost(), health: e.blame(ctx, place.Bad), err: err}
	}
	if status < http.StatusInternalServerError && !saysNotRun(status) {
		e.relay(body)
		return ended{done: true, health: place.Good}
	}
	return ended{result: tries.Failed, failure: body, health: place.Bad, err: errors.New("the endpoint failed with status " + strconv.Itoa(status))}
}

// skip reads a refusal to its end, so that its connection can be used again.
func (e *exchange) skip(answer *links.Answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, _skipBytes)); err != nil {
		e.log("A refusal could not be read.", "Cause", err.Error())
	}
}

const _skipBytes = 16 << 10

func (e *exchange) log(message string, values ...any) {
	e.front.log.Info(message, append([]any{"Request", e.request.ID}, values...)...)
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
