package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/reqst/tries"
	"apricotproxy/io/links"
)

// offer is a request that was sent to a further endpoint while its silent one is still waited for.
// Its result may be read once done is closed.
type offer struct {
	cancel context.CancelFunc
	done   chan struct{}
	sentAt time.Time
	answer *links.Answer
	err    error
}

// isOffered reports whether the request was sent to the place that was taken.
func (p *prepared) isOffered() bool { return p != nil && p.offer != nil }

// sendOffer sends the request to the endpoint of a run. It is independent of the current try, since
// it outlasts it if the endpoint accepts the request.
func (e *exchange) sendOffer(run *place.Run) *offer {
	ctx, cancel := context.WithDeadlineCause(e.incoming.Context(), e.request.Deadline, errTimeout)
	o := &offer{cancel: cancel, done: make(chan struct{}), sentAt: time.Now()}
	request := e.outgoing(run, "")
	request.Silence = nil // it belongs to the goroutine of the current try
	e.tries.Offered()
	go func() {
		defer close(o.done)
		o.answer, o.err = e.front.config.Links.Do(ctx, run.Endpoint.RoutedEndpoint, request)
	}()
	return o
}

// drop ends the exchange.
func (o *offer) drop() {
	o.cancel()
	go func() {
		<-o.done
		if o.answer != nil {
			o.answer.Close()
		}
	}()
}

// release ends the exchange and keeps the connection if the rest of the answer comes.
func (o *offer) release(e *exchange) {
	go func() {
		defer o.cancel()
		if o.answer != nil {
			o.answer.Close()
		}
	}()
}

// await waits for the head of the answer. The exchange ends with ctx from then on.
func (o *offer) await(ctx context.Context) (*links.Answer, error) {
	context.AfterFunc(ctx, o.cancel)
	<-o.done
	if o.err != nil && ctx.Err() != nil {
		return nil, &links.Error{Stage: links.StageSent, Err: context.Cause(ctx)}
	}
	return o.answer, o.err
}

// isAccepted reports whether the endpoint of the place that was taken has accepted the request, which
// is sent there first. A silent endpoint may go on until then. One that stopped the run will not, and
// a run that continues from a copy has been stopped.
func (e *exchange) isAccepted() bool {
	p := e.prepared
	if p.step == tries.Continue || !e.stop.stoppedAt.IsZero() {
		return true
	}
	if p.offer == nil {
		p.offer = e.sendOffer(p.run)
		e.recordSilence()
	}
	select {
	case <-p.offer.done:
	default:
		return false
	}
	outcome, declined := e.offerDeclined(p.offer)
	if !declined {
		return true
	}
	e.log("A silent endpoint is kept; another one did not take the request.", "Endpoint", e.run.Endpoint.ID, "Declined", p.run.Endpoint.ID, "Cause", errorText(p.offer.err))
	e.tries.Withdrawn()
	e.offersDeclined++
	p.offer.release(e)
	e.placer().end(p.run, outcome)
	e.prepared = nil
	return false
}

// offerDeclined reports whether an endpoint did not take a request, with the outcome to record for it.
func (e *exchange) offerDeclined(o *offer) (outcome place.Outcome, declined bool) {
	var failed *links.Error
	switch {
	case errors.As(o.err, &failed) && failed.Stage == links.StageDial:
		return dialOutcome(o.err), true
	case o.err != nil:
		return 0, false
	case o.answer.StatusCode == http.StatusMisdirectedRequest:
		return place.Gone, true
	case o.answer.Header.Get(e.front.config.Names.NotRun) != "":
		return 0, true
	default:
		return 0, false
	}
}

// resultOfOffer is offerDeclined for an exchange that may not have ended.
func (e *exchange) resultOfOffer(o *offer) (outcome place.Outcome, declined bool) {
	if !isClosed(o.done) {
		return 0, false
	}
	return e.offerDeclined(o)
}

// recordSilence records for the endpoint of the current try that it is silent, once.
func (e *exchange) recordSilence() {
	if !e.silenceRecorded {
		e.silenceRecorded = true
		e.placer().Update(func(p *place.Placer) { p.RecordOutcome(time.Now(), e.run, place.Silent) })
	}
}

// hasGoneOn records that a silent endpoint has gone on. Nothing is sent elsewhere any more. The place
// there is kept while the endpoint may stop the run because it was asked to.
func (e *exchange) hasGoneOn() {
	e.offersDeclined = 0
	if e.stop.pending == nil {
		e.dropPrepared()
		return
	}
	e.prepared.dropOffer()
}

// dropOffer ends the exchange with the endpoint of the place that was taken.
func (p *prepared) dropOffer() {
	if p.isOffered() {
		p.offer.drop()
		p.offer = nil
	}
}

// dropOffer ends the exchange with the endpoint of the current run if no try has taken it over.
func (e *exchange) dropOffer() {
	if e.offered != nil {
		e.offered.drop()
		e.offered = nil
	}
}

// send sends the request to the endpoint of the run, unless that was done before the try, and waits
// for the head of the answer.
func (e *exchange) send(ctx context.Context, endpoint core.RoutedEndpoint, from string) (*links.Answer, error) {
	o := e.offered
	if o == nil {
		e.sentAt = time.Now()
		return e.front.config.Links.Do(ctx, endpoint, e.outgoing(e.run, from))
	}
	e.offered = nil
	e.sentAt = o.sentAt
	answer, err := o.await(ctx)
	if answer != nil {
		answer.Watch(e.silence)
	}
	return answer, err
}
