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
	errIdleTimeout       = errors.New("no byte came for the idle time")
	errConnectionStalled = errors.New("the connection went silent while the endpoint answers on others")
	errProbeFailed       = errors.New("the endpoint went silent and does not answer a probe")
	errStreamIncomplete  = errors.New("the stream ended without its end mark")
	errTicketUnusable    = errors.New("the ticket may not be used any more")
	errRegionNotAllowed  = errors.New("the configuration no longer allows this place")
)

// endpointAttempt is one attempt at an endpoint.
type endpointAttempt struct {
	*Dispatcher
	job         *Job
	choice      cwpolicy.EndpointChoice
	sink        *trackingSink
	result      *ServeResult
	attemptID   string
	startedAt   time.Time
	firstByteAt time.Time
	tracker     *cwevent.Splitter
	progress    *progressMonitor
	cancel      context.CancelCauseFunc
	resp        *http.Response
	// eventStream is the answer of a stream of events, for the probe, which runs in
	// another goroutine.
	eventStream atomic.Pointer[http.Response]
}

func (d *Dispatcher) callEndpoint(ctx context.Context, job *Job, choice cwpolicy.EndpointChoice, out *trackingSink, served *ServeResult) attemptResult {
	c := &endpointAttempt{
		Dispatcher: d, job: job, choice: choice, sink: out, result: served,
		attemptID: NewID(), startedAt: time.Now(),
	}
	served.Endpoint = choice.Endpoint.Address
	r := c.run(ctx)
	c.finish(ctx, r)
	return r
}

// finish tells the policy how the attempt went.
func (c *endpointAttempt) finish(ctx context.Context, r attemptResult) {
	now := time.Now()
	e := c.choice.Endpoint
	failed := r.isEndpointFault && ctx.Err() == nil
	c.mu.Lock()
	if c.firstByteAt.IsZero() {
		e.OnEnd(c.choice.UncachedTokens, 0, now)
	} else {
		e.OnEnd(0, now.Sub(c.startedAt), now)
	}
	if failed {
		e.OnFailure(now, c.rng.Float64())
	} else if r.err == nil {
		e.OnSuccess(now)
	}
	c.processQueue(c.poolFor(c.job.Service.Pool()), now)
	c.mu.Unlock()
	if failed && r.isUnreachable {
		c.control.TryPost(cwcontrol.EndpointFailed{Address: e.Address})
	}
}

func (c *endpointAttempt) run(ctx context.Context) attemptResult {
	if err := c.checkAllowed(); err != nil {
		return attemptResult{outcome: cwanswer.NotRun, err: err}
	}
	body, err := c.job.Body.Open()
	if err != nil {
		return attemptResult{outcome: cwanswer.NotRun, err: err}
	}
	ctx, c.cancel = context.WithCancelCause(ctx)
	defer c.cancel(nil)
	c.progress = newProgressMonitor(c.Settings.ProbeAfter, c.Settings.IdleTimeout,
		func() { c.handleStall(ctx) }, func() { c.cancel(errIdleTimeout) })
	c.progress.start()
	defer c.progress.stop()
	watch := &cwnet.SendTracker{}
	resp, err := c.endpoints.Do(ctx, c.buildRequest(body), watch)
	if err != nil {
		return c.handleSendError(ctx, err, watch)
	}
	c.progress.recordProgress()
	c.recordLoad(resp.Header)
	if refused := parseRefusal(resp, c.choice.Endpoint.Address); refused != nil {
		return attemptResult{outcome: refused.Outcome, err: refused, isRetryable: true}
	}
	if c.job.IsRepeatable && isRetryableStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		err := fmt.Errorf("endpoint %s answered %d", c.choice.Endpoint.Address, resp.StatusCode)
		return attemptResult{outcome: cwanswer.Unknown, err: err, isRetryable: true, isEndpointFault: true}
	}
	c.resp = resp
	defer func() { _ = c.resp.Body.Close() }()
	return c.deliver(ctx)
}

// checkAllowed checks place and ticket right before the first byte goes out, against
// the configuration of this moment.
func (c *endpointAttempt) checkAllowed() error {
	s := c.control.Snapshot()
	service := s.Config.Service(c.job.Service.Name)
	account := s.Config.AccountByKeyHash(c.job.Account.KeySHA256)
	if service == nil || account == nil || !cwpolicy.NewAllowedRegions(service.Places, account.Home).Contains(c.Settings.Region) {
		return cwanswer.NewProblem(http.StatusMisdirectedRequest, "other-place", cwanswer.NotRun, errRegionNotAllowed.Error()).
			WithOrigin("dispatch", c.choice.Endpoint.Address)
	}
	if !c.job.OwnsTicket {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tickets.MayDispatch(c.job.TicketID, time.Now()) {
		return cwanswer.NewProblem(http.StatusConflict, "ticket-over", cwanswer.NotRun, errTicketUnusable.Error()).
			WithOrigin("dispatch", c.choice.Endpoint.Address)
	}
	return nil
}

func (c *endpointAttempt) buildRequest(body io.Reader) *cwendpoint.Request {
	h := c.job.Header
	if h == nil || c.result.Attempts > 1 {
		// The attempt before may still read its header while it is torn down.
		h = cloneHeader(h)
	}
	h.Set(cwendpoint.AttemptHeader, c.attemptID)
	h.Set(cwendpoint.PriorityHeader, string(c.job.Service.Class))
	if c.job.Ticket != "" {
		h.Set(cwanswer.HeaderTicket, c.job.Ticket)
		h.Set(cwendpoint.TicketTTLHeader, strconv.FormatInt(time.Until(c.job.TicketExpiry).Milliseconds(), 10))
	}
	return &cwendpoint.Request{
		Address: c.choice.Endpoint.Address,
		Method:  c.job.Method,
		Path:    c.job.Path,
		Query:   c.job.Query,
		Header:  h,
		Body:    body,
		Length:  c.job.Body.Length(),
	}
}

func (c *endpointAttempt) handleSendError(ctx context.Context, err error, watch *cwnet.SendTracker) attemptResult {
	r := attemptResult{outcome: cwanswer.Unknown, err: err, isRetryable: true, isEndpointFault: true}
	if watch.HasSentNothing() {
		r.outcome, r.isUnreachable = cwanswer.NotRun, true
	}
	if cause := context.Cause(ctx); cause != nil {
		r.err = fmt.Errorf("%w: %w", cause, err)
	}
	if errors.Is(r.err, errConnectionStalled) {
		r.isEndpointFault = false
	}
	c.cancelAtEngine()
	return r
}

// parseRefusal returns the problem of an endpoint that proves that it did not run
// the request.
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

func (c *endpointAttempt) recordLoad(h http.Header) {
	if load, ok := cwendpoint.LoadFromResponse(h); ok {
		report := load.EndpointReport(c.choice.Endpoint.Address, time.Now())
		report.Partial = true
		c.control.TryPost(cwcontrol.EndpointReported{EndpointReport: report})
	}
}
