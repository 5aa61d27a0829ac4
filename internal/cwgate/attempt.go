package cwgate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	// maxResponseBytes bounds an answer that is read to its end before it goes out.
	maxResponseBytes = 16 << 20
	// endpointResponseMargin is left for the answer of an endpoint to travel back: one which says
	// at the last moment that the request has not run is worth more than none. Exits get
	// no such margin, since a measured round trip may be far too long.
	endpointResponseMargin = 10 * time.Millisecond
	// eventBufferBytes holds what arrives of a stream at once.
	eventBufferBytes = 4 << 10
)

var (
	errStalled            = errors.New("no byte came for longer than the endpoint should need")
	errUnexpectedResponse = errors.New("the answer is not the endpoint's plain answer")
	errPartialEvent       = errors.New("the stream ended within an event")
	errNoEvent            = errors.New("the stream ended without an event")
	errResponseTooLarge   = errors.New("the answer is too large")
)

// result is what one attempt came to.
type result struct {
	// done is set once the whole answer went to the caller.
	done bool
	// notSent is set if no byte of the request left, and notRun if it certainly did
	// not run.
	notSent, notRun bool
	err             error
	// next is the place of the next attempt, if this one was given up for it.
	next *cwplacement.Decision
}

// attempt is one try of a job.
type attempt struct {
	*Gate
	req    *routedRequest
	ticket *cwplacement.Placement
	// address is where the request goes, and exit its domain if that is an instance.
	address, exitDomain string
	stallTimer          *stallTimer

	// ended is set once the attempt has ended, and next once it is given up for another
	// place; mu guards both.
	ended bool
	next  *cwplacement.Decision
}

func (g *Gate) runAttempt(ctx context.Context, j *routedRequest, d cwplacement.Decision) result {
	a := &attempt{Gate: g, req: j, ticket: d.Placement}
	if d.Action == cwplacement.ActionRelay {
		a.exitDomain = d.Domain
		g.mu.Lock()
		a.address = g.exitAddresses[d.Domain]
		g.mu.Unlock()
		if a.address == "" {
			j.triedPlaces = append(j.triedPlaces, d.Domain)
			return result{notSent: true, notRun: true, err: fmt.Errorf("no instance of %s is in reach", d.Domain)}
		}
	} else {
		a.address = d.Placement.Endpoint.Address
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	again := a.mayRetryElsewhere()
	a.stallTimer = newStallTimer(func() { a.handleOverdue(again, cancel) })
	a.stallTimer.reset(a.firstByteTimeout(d))
	defer a.stallTimer.stop()
	r := a.run(ctx)
	a.mu.Lock()
	a.ended, r.next = true, a.next
	a.mu.Unlock()
	if r.done {
		a.releasePlacement(r.next)
	}
	return r
}

// firstByteTimeout is how long the attempt may go without a first byte.
func (a *attempt) firstByteTimeout(d cwplacement.Decision) time.Duration {
	first := d.RemoteFirstByte
	if d.Placement != nil {
		first = d.Placement.PredictedFirstByte
	}
	return max(a.req.route.FirstByteTarget, firstByteTimeoutFactor*first)
}

// firstByteTimeoutFactor is how far beyond its prediction a first byte may be before the
// attempt counts as stalled.
const firstByteTimeoutFactor = 3

func (a *attempt) run(ctx context.Context) result {
	answer, err := a.conns.Do(ctx, a.buildCall())
	if err != nil {
		return a.handleCallError(ctx, err)
	}
	defer answer.Close()
	head := a.codec.DecodeHead(answer.Response)
	switch {
	case head.NotRun || a.exitDomain != "" && !head.Signed && isPeerRefusal(answer.StatusCode):
		return a.handleRejection(ctx, answer)
	case !head.Signed || head.Encoded:
		a.req.possibleRuns++
		return a.failUnknown(ctx, fmt.Errorf("answer %d of %s: %w", answer.StatusCode, a.address, errUnexpectedResponse))
	case answer.StatusCode >= http.StatusMultipleChoices:
		a.req.possibleRuns++
		return a.handleErrorResponse(ctx, answer)
	}
	a.req.possibleRuns++
	if a.req.route.Kind == cwroute.Stream && isEventStream(answer.Header) {
		return a.forwardStream(ctx, answer)
	}
	return a.forwardBuffered(ctx, answer)
}

// isPeerRefusal reports whether another instance says with the status of an answer
// of its own that the request has not run. It may have an older configuration.
func isPeerRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

func (a *attempt) buildCall() *cwconn.Call {
	j := a.req
	at := &AttemptParams{
		Timeout:        time.Until(j.deadline),
		EnginePriority: a.enginePriority(),
		LastEventID:    j.LastEventID,
		ContentLength:  len(j.body),
	}
	if j.responder.lastEventID != "" {
		at.LastEventID = j.responder.lastEventID
	}
	c := &cwconn.Call{Address: a.address, Method: j.Method, Body: j.body}
	if a.exitDomain != "" {
		at.Relayed, at.Elapsed = true, j.Elapsed+time.Since(j.Arrived)
	} else {
		at.Endpoint = a.ticket.Endpoint.ID
		at.Timeout = max(at.Timeout-endpointResponseMargin, 0)
		c.MaxConns = a.maxConns()
	}
	c.Head = a.codec.EncodeHead(j.Request, at)
	c.MatchesResponse = func(status int, field func(string) string) bool {
		return a.codec.MatchesResponse(j.Request, status, field)
	}
	return c
}

// maxConns is this instance's share of the connections to one endpoint.
func (a *attempt) maxConns() int {
	s := a.control.Snapshot()
	service := a.state.View().Config.Services[a.req.service]
	if service.MaxConns == 0 {
		return 0
	}
	sharers := 1
	for i := range s.Members {
		if s.Members[i].Region == a.site.Region {
			sharers++
		}
	}
	return max(service.MaxConns/sharers, 1)
}

// enginePriorities are the ranks at an engine by band, with room for others between.
var enginePriorities = map[cwplacement.Band]int{cwplacement.Urgent: 3, cwplacement.Normal: 5, cwplacement.Late: 8}

// enginePriority orders requests at an engine.
func (a *attempt) enginePriority() int {
	if a.ticket == nil {
		return enginePriorities[cwplacement.Normal]
	}
	return enginePriorities[a.ticket.Band]
}

// recordEnd tells the policy how the attempt went.
func (a *attempt) recordEnd(ctx context.Context, end cwplacement.Outcome) {
	if a.ticket == nil {
		return
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errStalled) {
		end = cwplacement.Abandoned
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ticket.OnEnd(end, time.Now())
}

// excludePlace keeps the job away from what failed it.
func (a *attempt) excludePlace() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.req.triedPlaces = append(a.req.triedPlaces, a.placeName())
}

// forwardBuffered passes an answer on once all of it is here: one that is cut can then still
// be tried elsewhere.
func (a *attempt) forwardBuffered(ctx context.Context, answer *cwconn.Response) result {
	body, err := a.readBody(answer)
	if err != nil {
		return a.failUnknown(ctx, err)
	}
	if a.req.responder.hasBegun {
		return a.failUnknown(ctx, errUnexpectedResponse)
	}
	a.recordResponse()
	a.req.mergeOutcome(cwanswer.Ran)
	a.recordEnd(ctx, cwplacement.Served)
	if err := a.req.responder.writeBuffered(&bufferedResponse{status: answer.StatusCode, header: answer.Header, body: body}); err != nil {
		return result{err: err}
	}
	return result{done: true}
}

func (a *attempt) recordResponse() {
	if a.ticket == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ticket.OnFirstByte(time.Now())
}
