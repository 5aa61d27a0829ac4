package cwdispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwevent"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

var (
	errIdleTimeout       = errors.New("no byte received within the idle timeout")
	errConnectionStalled = errors.New("connection stalled while the endpoint responds on other connections")
	errProbeFailed       = errors.New("endpoint stalled and does not respond to a probe")
	errStreamIncomplete  = errors.New("event stream ended without its final event")
	errTicketUnusable    = errors.New("the ticket may not be used any more")
	errPanicked          = errors.New("attempt panicked")
	errRegionNotAllowed  = errors.New("the configuration no longer allows this place")
)

// endpointAttempt is one attempt to serve a job at an endpoint.
type endpointAttempt struct {
	*Dispatcher
	job         *Job
	choice      cwpolicy.EndpointChoice
	sink        *trackingSink
	result      *ServeResult
	attemptID   string
	startedAt   time.Time
	firstByteAt time.Time
	splitter    *cwevent.Splitter
	progress    *progressMonitor
	cancel      context.CancelCauseFunc
	resp        *http.Response
	// eventStream is the current response if it is an event stream of an engine. It is
	// atomic because handleStall reads it in another goroutine.
	eventStream atomic.Pointer[http.Response]
}

func (d *Dispatcher) callEndpoint(ctx context.Context, job *Job, choice cwpolicy.EndpointChoice, sink *trackingSink, result *ServeResult) attemptResult {
	a := &endpointAttempt{
		Dispatcher: d, job: job, choice: choice, sink: sink, result: result,
		attemptID: NewID(), startedAt: time.Now(),
	}
	result.Endpoint = choice.Endpoint.Address
	// If the attempt panics, its slot must not stay in use.
	r := attemptResult{outcome: cwanswer.Unknown, err: errPanicked}
	defer func() { a.finish(ctx, r) }()
	r = a.run(ctx)
	return r
}

// finish reports the result of the attempt to the routing policy, and an unreachable
// endpoint to the control state. It then places queued requests in the free slot.
func (a *endpointAttempt) finish(ctx context.Context, r attemptResult) {
	now := time.Now()
	e := a.choice.Endpoint
	failed := r.isEndpointFault && ctx.Err() == nil
	if failed && r.isUnreachable {
		defer a.control.TryPost(cwcontrol.EndpointFailed{Address: e.Address})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.firstByteAt.IsZero() {
		e.OnEnd(a.choice.UncachedTokens, 0, now)
	} else {
		e.OnEnd(0, now.Sub(a.startedAt), now)
	}
	if failed {
		e.OnFailure(now, a.rng.Float64())
	} else if r.err == nil {
		e.OnSuccess(now)
	}
	a.processQueue(a.poolFor(a.job.Service.Pool()), now)
}

func (a *endpointAttempt) run(ctx context.Context) attemptResult {
	if err := a.checkAllowed(); err != nil {
		return attemptResult{outcome: cwanswer.NotRun, err: err}
	}
	body, err := a.job.Body.Open()
	if err != nil {
		return attemptResult{outcome: cwanswer.NotRun, err: err}
	}
	ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	a.progress = newProgressMonitor(a.Common, a.Settings.ProbeAfter, a.Settings.IdleTimeout,
		func() { a.handleStall(ctx) }, func() { a.cancel(errIdleTimeout) })
	a.progress.start()
	defer a.progress.stop()
	tracker := &cwnet.SendTracker{}
	resp, err := a.endpoints.Do(ctx, a.buildRequest(body), tracker)
	if err != nil {
		return a.handleSendError(ctx, err, tracker)
	}
	a.progress.recordProgress()
	a.recordLoad(resp.Header)
	if refusal := parseRefusal(resp, a.choice.Endpoint.Address); refusal != nil {
		return attemptResult{outcome: refusal.Outcome, err: refusal, isRetryable: true}
	}
	if a.job.IsRepeatable && isRetryableStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		err := fmt.Errorf("endpoint %s responded with status %d", a.choice.Endpoint.Address, resp.StatusCode)
		return attemptResult{outcome: cwanswer.Unknown, err: err, isRetryable: true, isEndpointFault: true}
	}
	a.resp = resp
	defer func() { _ = a.resp.Body.Close() }()
	return a.deliver(ctx)
}

// checkAllowed checks the region and the ticket right before the first byte is
// sent, against the current configuration.
func (a *endpointAttempt) checkAllowed() error {
	s := a.control.Snapshot()
	service := s.Config.Service(a.job.Service.Name)
	account := s.Config.AccountByKeyHash(a.job.Account.KeySHA256)
	if service == nil || account == nil || !cwpolicy.NewAllowedRegions(service.Places, account.Home).Contains(a.Settings.Region) {
		return cwanswer.NewProblem(http.StatusMisdirectedRequest, "other-place", cwanswer.NotRun, errRegionNotAllowed.Error()).
			WithOrigin("dispatch", a.choice.Endpoint.Address)
	}
	if !a.job.OwnsTicket {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.tickets.MayDispatch(a.job.TicketID, time.Now()) {
		return cwanswer.NewProblem(http.StatusConflict, "ticket-over", cwanswer.NotRun, errTicketUnusable.Error()).
			WithOrigin("dispatch", a.choice.Endpoint.Address)
	}
	return nil
}

func (a *endpointAttempt) buildRequest(body io.Reader) *cwendpoint.Request {
	h := a.job.Header
	if h == nil || a.result.Attempts > 1 {
		// The transport may still be reading the header for the previous attempt, which
		// is being cancelled.
		h = cloneHeader(h)
	}
	h.Set(cwendpoint.AttemptHeader, a.attemptID)
	h.Set(cwendpoint.PriorityHeader, string(a.job.Service.Class))
	if a.job.Ticket != "" {
		h.Set(cwanswer.HeaderTicket, a.job.Ticket)
		h.Set(cwendpoint.TicketTTLHeader, strconv.FormatInt(time.Until(a.job.TicketExpiry).Milliseconds(), 10))
	}
	return &cwendpoint.Request{
		Address: a.choice.Endpoint.Address,
		Method:  a.job.Method,
		Path:    a.job.Path,
		Query:   a.job.Query,
		Header:  h,
		Body:    body,
		Length:  a.job.Body.Length(),
	}
}

func (a *endpointAttempt) handleSendError(ctx context.Context, err error, tracker *cwnet.SendTracker) attemptResult {
	r := attemptResult{outcome: cwanswer.Unknown, err: err, isRetryable: true, isEndpointFault: true}
	if tracker.HasSentNothing() {
		r.outcome, r.isUnreachable = cwanswer.NotRun, true
	}
	if cause := context.Cause(ctx); cause != nil {
		r.err = fmt.Errorf("%w: %w", cause, err)
	}
	if errors.Is(r.err, errConnectionStalled) {
		r.isEndpointFault = false
	}
	a.cancelOnEngine()
	return r
}

// parseRefusal returns a problem if the endpoint states that it did not run the
// request, and closes the response body then. Otherwise it returns nil.
func parseRefusal(resp *http.Response, address string) *cwanswer.Problem {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(cwanswer.HeaderOutcome) != string(cwanswer.NotRun) {
		return nil
	}
	_ = resp.Body.Close()
	return cwanswer.NewProblem(http.StatusServiceUnavailable, "endpoint-refused", cwanswer.NotRun, "the endpoint refused the request").
		WithOrigin("dispatch", address)
}

func isRetryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func (a *endpointAttempt) recordLoad(h http.Header) {
	if load, ok := cwendpoint.LoadFromResponse(h); ok {
		report := load.EndpointReport(a.choice.Endpoint.Address, time.Now())
		report.IsPartial = true
		a.control.TryPost(cwcontrol.EndpointReported{EndpointReport: report})
	}
}
