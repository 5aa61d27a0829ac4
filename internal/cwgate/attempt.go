package cwgate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
	"github.com/clementinewell/clementinewell/internal/cwstream"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	// endpointResponseMargin is subtracted from the timeout sent to an endpoint, so that
	// its response arrives in time, also one which only states that the request was not
	// run.
	endpointResponseMargin = 10 * time.Millisecond
	// eventBufferBytes is the largest number of bytes read from a stream at once.
	eventBufferBytes = 4 << 10
)

var (
	errStalled            = errors.New("no byte received within the stall timeout")
	errUnexpectedResponse = errors.New("not a plain response of the endpoint")
	errPartialEvent       = errors.New("stream ended within an event")
	errNoEvent            = errors.New("stream ended without an event")
	errUnwanted           = errors.New("endpoint takes no new requests since it was chosen")
	errEndedWithResponse  = errors.New("endpoint can't be reached after a response that has no length")
)

// result is the result of one attempt.
type result struct {
	// done is set if the complete response was sent to the caller.
	done bool
	// notSent is set if no byte of the request was sent, and notRun if the request was
	// certainly not run.
	notSent, notRun bool
	// isBrokenOff is set if the place broke off its response, and hasEndedPlace if an endpoint
	// ended that the request may have ended.
	isBrokenOff, hasEndedPlace bool
	// outcome is what is certain about whether the request was run. mayHaveRun is set if it
	// counts as a run of the request.
	outcome    cwanswer.Outcome
	mayHaveRun bool
	err        error
	// next is an attempt at another place that has begun meanwhile, nil if there is none.
	next *attempt
}

// attempt is one attempt to have a request served, at an endpoint or at an instance of
// another domain.
type attempt struct {
	*Gate
	req       *routedRequest
	decision  cwplacement.Decision
	placement *cwplacement.Placement
	// ctx ends with the attempt, by cancel at the latest.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// address is the address to which the request is sent. exitDomain is the domain of a
	// relayed request; it is empty at an endpoint.
	address, exitDomain string
	stallTimer          *stallTimer
	startedAt           time.Time
	// lastEventID and origin are those of a stream that goes on, when the attempt began.
	lastEventID string
	origin      cwstream.Origin
	// paidAt is when an attempt that began beside an overdue one was counted in the retry budget.
	paidAt time.Time
	// opened receives the opening of an attempt that began beside an overdue one; nil for others.
	opened chan opening
	// skippedResponses is the number of responses to other requests that came in the attempt.
	skippedResponses int
	// isSent is set right before the request is sent.
	isSent bool
	// onSent is called right before the request is sent; it may be nil.
	onSent func()
	// endCheck gets whether the endpoint has ended; nil if that is not checked. hasEndedPlace is
	// what it got, and hasSurvived is set once it is recorded that the request did not end the
	// endpoint.
	endCheck                   <-chan bool
	hasEndedPlace, hasSurvived bool

	// firstEventAt is when the first events of a stream arrived in this attempt. hasEnded is
	// set when the attempt has ended. The gate's mu guards both and the move.
	firstEventAt time.Time
	hasEnded     bool
	move
}

// newAttempt returns an attempt as decided. The error means that it can't be made. The caller holds
// mu.
func (g *Gate) newAttempt(ctx context.Context, routed *routedRequest, d cwplacement.Decision) (*attempt, error) {
	a := &attempt{Gate: g, req: routed, decision: d, placement: d.Placement, startedAt: time.Now(), lastEventID: routed.LastEventID, origin: routed.origin}
	if id := routed.responder.lastEventID; id != "" {
		a.lastEventID = id
	}
	if d.Action == cwplacement.ActionRelay {
		a.exitDomain, a.address = d.Domain, g.exitAddresses[d.Domain]
		if a.address == "" {
			routed.triedPlaces = append(routed.triedPlaces, d.Domain)
			return nil, fmt.Errorf("no usable instance in domain %s", d.Domain)
		}
	} else {
		a.address = d.Placement.Address
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a, nil
}

// runAttempt makes an attempt, or goes on with one that has begun beside an overdue one. ctx is that
// of the request. It drops what has begun at another place when the attempt succeeds nevertheless or
// panics.
func (g *Gate) runAttempt(ctx context.Context, a *attempt) result {
	defer a.cancel(nil)
	a.limitMoves()
	a.stallTimer = newStallTimer(a.Common, func() { a.handleOverdue(ctx) })
	a.stallTimer.reset(max(a.firstByteTimeout()-time.Since(a.startedAt), minOverdueDelay))
	defer a.stallTimer.stop()
	// If the attempt panics, its placement must not stay in use.
	defer a.recordEnd(a.ctx, cwplacement.Abandoned)
	hasNext := false
	defer func() {
		if next := a.end(); !hasNext {
			a.drop(next)
		}
	}()
	r := a.run(a.ctx)
	r.hasEndedPlace = a.awaitEndCheck(r)
	r.next = a.end()
	hasNext = !r.done
	return r
}

// end prevents that an attempt begins at another place, and returns the one that has.
func (a *attempt) end() *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hasEnded = true
	return a.next
}

// minOverdueDelay is the shortest time after which an attempt that goes on counts as overdue.
const minOverdueDelay = time.Millisecond

// firstByteTimeout returns how long the attempt waits for the first byte, or for the whole
// of a buffered response, before it is overdue.
func (a *attempt) firstByteTimeout() time.Duration {
	predicted := a.decision.RemoteFirstByte
	if a.placement != nil {
		predicted = a.placement.PredictedFirstByte
	}
	return max(a.req.route.FirstByteTarget, firstByteTimeoutFactor*predicted)
}

// firstByteTimeoutFactor is the multiple of the predicted time to the first byte after
// which an attempt is overdue.
const firstByteTimeoutFactor = 3

// run sends the request, unless that has been done, and handles the response or the error.
func (a *attempt) run(ctx context.Context) result {
	var o opening
	if a.opened == nil {
		o = a.open(ctx)
	} else {
		o = a.awaitOpening()
	}
	if o.failure != nil {
		return *o.failure
	}
	defer o.response.Close()
	if o.response.StatusCode >= http.StatusMultipleChoices {
		return a.handleErrorResponse(ctx, o.response)
	}
	if a.isOtherOrigin(o.head) {
		return a.failUnknown(ctx, fmt.Errorf("response from %s: %w", a.address, errOtherOrigin))
	}
	if a.isStream(o.response) {
		return a.forwardStream(ctx, &o)
	}
	return a.forwardBuffered(ctx, o.response)
}

func (a *attempt) isStream(response *cwconn.Response) bool {
	return a.req.route.Kind == cwroute.Stream && isEventStream(response.Header)
}

// recordResponse records that the endpoint of the attempt has responded.
func (a *attempt) recordResponse() {
	if a.placement == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordReached(time.Now())
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// buildCall returns the call of the attempt.
func (a *attempt) buildCall() *cwconn.Call {
	routed := a.req
	call := &cwconn.Call{Address: a.address, Method: routed.Method, Body: routed.body}
	if a.exitDomain == "" {
		call.ID = routed.ID
		call.MaxConns = a.maxConns(routed.service)
		call.Admit, call.KeepsPending = a.checkWanted, true
		if !routed.route.IsIdempotent() {
			call.NeedsNamedResponses = true
			call.Check = a.codec.BuildCheck(routed.Request, a.placement.EndpointID, a.healthPath(routed.service))
		}
	}
	call.EncodeHead = func() []byte {
		a.isSent = true
		routed.responder.sends.recordSent()
		if a.onSent != nil {
			a.onSent()
		}
		return a.codec.EncodeHead(routed.Request, a.buildParams())
	}
	call.OnSkip = a.recordSkipped
	call.MatchResponse = func(status int, field func(string) string) cwconn.Match {
		return a.codec.MatchResponse(routed.Request, status, field)
	}
	return call
}

// buildParams returns the parameters of the attempt if it is sent now.
func (a *attempt) buildParams() *AttemptParams {
	routed := a.req
	params := &AttemptParams{
		Timeout:        max(time.Until(routed.deadline), 0),
		EnginePriority: a.enginePriority(),
		LastEventID:    a.lastEventID,
		ContentLength:  len(routed.body),
	}
	if a.exitDomain != "" {
		params.IsRelayed, params.Elapsed = true, routed.Elapsed+time.Since(routed.ArrivedAt)
		params.Origin = a.origin
		params.TriedEndpoints = a.triedEndpoints()
		params.RelayedAccount = routed.relayedAccount()
		params.Timeout -= a.relayMargin(params.Timeout)
	} else {
		params.Endpoint = a.placement.EndpointID
		params.Account = routed.accountName()
		params.Timeout = max(params.Timeout-endpointResponseMargin, 0)
	}
	return params
}

// triedEndpoints returns the endpoints to which the request was sent already.
func (a *attempt) triedEndpoints() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.req.triedEndpoints)
}

// maxRelayMarginShare is the largest part of a relayed request's time that is kept for the
// way to the exit and back.
const maxRelayMarginShare = 0.1

// relayMargin returns the part of the remaining time that a relayed request may spend between
// the instances, from the measured time of an exchange. Without it the exit's response at its
// deadline, which may state that the request was not run, would arrive after this instance
// has given up. A stream gets none, since an overestimate would cut it off.
func (a *attempt) relayMargin(timeout time.Duration) time.Duration {
	if a.req.route.Kind == cwroute.Stream {
		return 0
	}
	limit := time.Duration(maxRelayMarginShare * float64(timeout))
	for _, r := range a.control.Snapshot().Capacities[a.req.service] {
		if r.Domain == a.exitDomain {
			return min(r.RoundTrip, limit)
		}
	}
	return 0
}

// enginePriorities are the priorities at an engine by band. There are gaps, so that other
// values can be inserted.
var enginePriorities = map[cwplacement.Band]int{cwplacement.UrgentLight: 2, cwplacement.Urgent: 3, cwplacement.NormalLight: 4, cwplacement.Normal: 5, cwplacement.Late: 8}

// enginePriority returns the priority of the request at an engine.
func (a *attempt) enginePriority() int {
	if a.placement == nil {
		return enginePriorities[cwplacement.Normal]
	}
	return enginePriorities[a.placement.Band]
}

// recordEnd records the outcome of the attempt in the placement. An attempt that ended
// with ctx counts as abandoned, unless it was cancelled because it was overdue.
func (a *attempt) recordEnd(ctx context.Context, outcome cwplacement.Outcome) {
	if a.placement == nil {
		return
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errStalled) {
		outcome = cwplacement.Abandoned
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.placement.OnEnd(outcome, time.Now())
	if outcome == cwplacement.Unreachable || outcome == cwplacement.Unanswered {
		a.recordUnreached(a.placement.EndpointID, a.startedAt, time.Now())
		a.startRedialing(a.placement.Endpoint, a.req.service)
	}
}

// excludePlace excludes the place of the attempt from further attempts of the request.
func (a *attempt) excludePlace() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.placement != nil {
		a.req.addTriedEndpoints(a.placement.EndpointID)
		return
	}
	a.req.triedPlaces = append(a.req.triedPlaces, a.exitDomain)
}

// forwardBuffered reads the response to its end before it forwards it, so that the request
// can be retried after a truncated response.
func (a *attempt) forwardBuffered(ctx context.Context, response *cwconn.Response) result {
	body, err := a.readBody(response)
	if err != nil {
		return a.failBroken(ctx, err)
	}
	defer body.Release()
	if !response.IsDelimited() && !a.outlivesResponse(ctx) {
		return a.failUnknown(ctx, errEndedWithResponse)
	}
	if a.hasRelayMarkers(response) {
		if err := body.Replace(a.address, a.stripRelayMarkers); err != nil {
			return a.failUnknown(ctx, err)
		}
	}
	if a.req.responder.hasBegun {
		return a.failUnknown(ctx, errUnexpectedResponse)
	}
	if !a.retainResponse() {
		return a.failUnknown(ctx, errStalled)
	}
	a.recordFirstByte()
	a.recordEnd(ctx, cwplacement.Served)
	a.recordSurvival()
	r := result{outcome: cwanswer.Ran, mayHaveRun: true}
	r.err = a.req.responder.writeBuffered(&bufferedResponse{status: response.StatusCode, header: response.Header, body: body})
	r.done = r.err == nil
	return r
}

// recordFirstByte records the first byte of a buffered response in the placement. It is
// called after the whole response has been read.
func (a *attempt) recordFirstByte() {
	if a.placement == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.placement.OnFirstByte(time.Now())
}

// healthPath returns the path of the health checks of the service's endpoints.
func (g *Gate) healthPath(service string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.pools[service]; p != nil {
		return p.Service.HealthPath
	}
	return ""
}
