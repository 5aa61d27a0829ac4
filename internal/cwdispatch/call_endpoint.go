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
	errIdle      = errors.New("no byte came for the idle time")
	errSilent    = errors.New("the connection went silent while the endpoint answers on others")
	errProbe     = errors.New("the endpoint went silent and does not answer a probe")
	errNoEndMark = errors.New("the stream ended without its end mark")
	errTicket    = errors.New("the ticket may not be used any more")
	errPlace     = errors.New("the configuration no longer allows this place")
)

// endpointCall is one attempt at an endpoint.
type endpointCall struct {
	*Dispatcher
	job       *Job
	choice    cwpolicy.EndpointChoice
	out       *delivery
	served    *Served
	attemptID string
	start     time.Time
	firstAt   time.Time
	tracker   *cwevent.Splitter
	quiet     *silence
	cancel    context.CancelCauseFunc
	resp      *http.Response
	// followed is the answer of a stream of events, for the probe, which runs in
	// another goroutine.
	followed atomic.Pointer[http.Response]
}

func (d *Dispatcher) callEndpoint(ctx context.Context, job *Job, choice cwpolicy.EndpointChoice, out *delivery, served *Served) result {
	c := &endpointCall{
		Dispatcher: d, job: job, choice: choice, out: out, served: served,
		attemptID: NewID(), start: time.Now(),
	}
	served.Endpoint = choice.Endpoint.Address
	r := c.run(ctx)
	c.finish(ctx, r)
	return r
}

// finish tells the policy how the attempt went.
func (c *endpointCall) finish(ctx context.Context, r result) {
	now := time.Now()
	e := c.choice.Endpoint
	failed := r.blame && ctx.Err() == nil
	c.mu.Lock()
	if c.firstAt.IsZero() {
		e.OnEnd(c.choice.UncachedTokens, 0, now)
	} else {
		e.OnEnd(0, now.Sub(c.start), now)
	}
	if failed {
		e.OnFailure(now, c.rng.Float64())
	} else if r.err == nil {
		e.OnSuccess(now)
	}
	c.pump(c.pool(c.job.Service.Pool()), now)
	c.mu.Unlock()
	if failed && r.unreachable {
		c.control.Offer(cwcontrol.EndpointFailed{Address: e.Address})
	}
}

func (c *endpointCall) run(ctx context.Context) result {
	if err := c.allowed(); err != nil {
		return result{outcome: cwanswer.NotRun, err: err}
	}
	body, err := c.job.Body.Open()
	if err != nil {
		return result{outcome: cwanswer.NotRun, err: err}
	}
	ctx, c.cancel = context.WithCancelCause(ctx)
	defer c.cancel(nil)
	c.quiet = newSilence(c.Settings.ProbeAfter, c.Settings.IdleTimeout,
		func() { c.onSilent(ctx) }, func() { c.cancel(errIdle) })
	c.quiet.begin()
	defer c.quiet.stop()
	watch := &cwnet.SendWatch{}
	resp, err := c.endpoints.Do(ctx, c.request(body), watch)
	if err != nil {
		return c.sendFailed(ctx, err, watch)
	}
	c.quiet.progress()
	c.noteLoad(resp.Header)
	if refused := refusalOf(resp, c.choice.Endpoint.Address); refused != nil {
		return result{outcome: refused.Outcome, err: refused, elsewhere: true}
	}
	if c.job.Repeatable && retryableStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		err := fmt.Errorf("endpoint %s answered %d", c.choice.Endpoint.Address, resp.StatusCode)
		return result{outcome: cwanswer.Unknown, err: err, elsewhere: true, blame: true}
	}
	c.resp = resp
	defer func() { _ = c.resp.Body.Close() }()
	return c.deliver(ctx)
}

// allowed checks place and ticket right before the first byte goes out, against
// the configuration of this moment.
func (c *endpointCall) allowed() error {
	s := c.control.Snapshot()
	service := s.Config.Service(c.job.Service.Name)
	account := s.Config.AccountByKeyHash(c.job.Account.KeySHA256)
	if service == nil || account == nil || !cwpolicy.NewAllowedRegions(service.Places, account.Home).Contains(c.Settings.Region) {
		return cwanswer.NewProblem(http.StatusMisdirectedRequest, "other-place", cwanswer.NotRun, errPlace.Error()).
			At("dispatch", c.choice.Endpoint.Address)
	}
	if !c.job.OwnsTicket {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.book.MayDispatch(c.job.TicketID, time.Now()) {
		return cwanswer.NewProblem(http.StatusConflict, "ticket-over", cwanswer.NotRun, errTicket.Error()).
			At("dispatch", c.choice.Endpoint.Address)
	}
	return nil
}

func (c *endpointCall) request(body io.Reader) *cwendpoint.Request {
	h := c.job.Header
	if h == nil || c.served.Attempts > 1 {
		// The attempt before may still read its header while it is torn down.
		h = cloneHeader(h)
	}
	h.Set(cwendpoint.AttemptHeader, c.attemptID)
	h.Set(cwendpoint.PriorityHeader, string(c.job.Service.Class))
	if c.job.Ticket != "" {
		h.Set(cwanswer.HeaderTicket, c.job.Ticket)
		h.Set(cwendpoint.ExpiryHeader, strconv.FormatInt(time.Until(c.job.TicketExpiry).Milliseconds(), 10))
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

func (c *endpointCall) sendFailed(ctx context.Context, err error, watch *cwnet.SendWatch) result {
	r := result{outcome: cwanswer.Unknown, err: err, elsewhere: true, blame: true}
	if watch.NothingSent() {
		r.outcome, r.unreachable = cwanswer.NotRun, true
	}
	if cause := context.Cause(ctx); cause != nil {
		r.err = fmt.Errorf("%w: %w", cause, err)
	}
	if errors.Is(r.err, errSilent) {
		r.blame = false
	}
	c.cancelAtEngine()
	return r
}

// refusalOf returns the problem of an endpoint that proves that it did not run
// the request.
func refusalOf(resp *http.Response, address string) *cwanswer.Problem {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(cwanswer.HeaderOutcome) != string(cwanswer.NotRun) {
		return nil
	}
	_ = resp.Body.Close()
	return cwanswer.NewProblem(http.StatusServiceUnavailable, "endpoint-refused", cwanswer.NotRun, "the endpoint refused the request").
		At("dispatch", address)
}

func retryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func (c *endpointCall) noteLoad(h http.Header) {
	if load, ok := cwendpoint.LoadOfAnswer(h); ok {
		report := load.Report(c.choice.Endpoint.Address, time.Now())
		report.Short = true
		c.control.Offer(cwcontrol.EndpointHeard{EndpointReport: report})
	}
}
