package cwdispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	copyBytes = 32 << 10
	// eventBytes is enough for some events. A stream holds its buffer while it
	// waits for the next token, so this is memory for each open stream.
	eventBytes = 2 << 10
)

var copyBuffers = sync.Pool{New: func() any { return make([]byte, copyBytes) }}

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
	choice    cwpolicy.Choice
	out       *delivery
	served    *Served
	attemptID string
	start     time.Time
	firstAt   time.Time
	tracker   *eventTracker
	quiet     *silence
	cancel    context.CancelCauseFunc
	resp      *http.Response
}

func (d *Dispatcher) callEndpoint(ctx context.Context, job *Job, choice cwpolicy.Choice, out *delivery, served *Served) result {
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
		e.OnEnd(c.choice.Uncached, 0, now)
	} else {
		e.OnEnd(0, now.Sub(c.start), now)
	}
	if failed {
		e.OnFailure(now, c.rng.Float64())
	} else if r.err == nil {
		e.OnSuccess(now)
	}
	c.pump(c.pool(poolName(c.job)), now)
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
	defer func() { c.quiet.stop() }()
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
	if service == nil || account == nil || !cwpolicy.NewPlaces(service.Places, account.Home).Allows(c.Settings.Region) {
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

// deliver passes the answer on. A stream that breaks is resumed where the engine
// supports that.
func (c *endpointCall) deliver(ctx context.Context) result {
	events := strings.HasPrefix(c.resp.Header.Get("Content-Type"), "text/event-stream")
	engine := c.job.Service.Kind == cwservice.Engine
	if events && engine {
		c.tracker = &eventTracker{}
	}
	for resumed := 0; ; resumed++ {
		err := c.copyBody(events)
		if err == nil && c.tracker != nil && !c.tracker.done {
			err = errNoEndMark
		}
		if err == nil {
			return result{outcome: cwanswer.Ran}
		}
		if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errSilent) {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		if c.tracker == nil || !c.job.Service.Resume || resumed >= maxResumes || !c.resume(ctx) {
			c.cancelAtEngine()
			return result{outcome: cwanswer.Unknown, err: err, elsewhere: true, blame: true}
		}
	}
}

const maxResumes = 3

// resume opens the stream again behind the last whole event.
func (c *endpointCall) resume(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	resp, err := c.endpoints.Resume(ctx, c.choice.Endpoint.Address, c.attemptID, c.tracker.lastID)
	if err != nil {
		c.Log.Sugar().Warnw("stream not resumed", "request", c.job.RequestID, "error", err)
		return false
	}
	c.Metrics.Counter("streams_resumed").Inc(1)
	_ = c.resp.Body.Close()
	c.resp = resp
	c.tracker.restart()
	c.quiet.progress()
	return true
}

func (c *endpointCall) copyBody(flush bool) error {
	var buf []byte
	if c.tracker != nil {
		buf = make([]byte, eventBytes)
	} else {
		buf = copyBuffers.Get().([]byte)
		defer copyBuffers.Put(buf)
	}
	flush = flush || c.resp.ContentLength < 0
	for {
		n, err := c.resp.Body.Read(buf)
		if n > 0 {
			c.quiet.progress()
			if err := c.pass(buf[:n], flush); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return c.passRest()
		}
		if err != nil {
			return fmt.Errorf("read answer of %s: %w", c.choice.Endpoint.Address, err)
		}
	}
}

func (c *endpointCall) pass(p []byte, flush bool) error {
	if c.tracker != nil {
		p = c.tracker.push(p)
	}
	if len(p) == 0 {
		return nil
	}
	if err := c.begin(); err != nil {
		return err
	}
	if _, err := c.out.Write(p); err != nil {
		return fmt.Errorf("pass answer on: %w", err)
	}
	if flush {
		c.out.Flush()
	}
	return nil
}

// passRest ends the body. An answer without a body begins here.
func (c *endpointCall) passRest() error {
	if c.tracker != nil {
		if rest := c.tracker.rest(); len(rest) > 0 && !c.tracker.done {
			return errNoEndMark
		}
		return nil
	}
	return c.begin()
}

// begin sends status and header before the first byte of the body, so that an
// attempt that fails earlier can still be made elsewhere.
func (c *endpointCall) begin() error {
	if c.out.started {
		return nil
	}
	now := time.Now()
	c.firstAt = now
	c.served.FirstByte = now.Sub(c.job.Arrived)
	c.served.Status = c.resp.StatusCode
	c.mu.Lock()
	c.choice.Endpoint.OnFirstToken(&c.choice, now.Sub(c.start), now)
	c.mu.Unlock()
	header := answerHeader(c.resp.Header)
	if c.tracker != nil {
		// With a length, a stream without its end mark would look whole.
		header.Del("Content-Length")
	}
	return c.out.Start(c.resp.StatusCode, header, c.served)
}

// onSilent runs when no byte came for a while. It finds out on a new connection
// whether the endpoint or only this connection is gone.
func (c *endpointCall) onSilent(ctx context.Context) {
	path := c.job.Service.Health
	if path == "" {
		path = cwendpoint.LoadPath
	}
	err := c.endpoints.Probe(ctx, c.choice.Endpoint.Address, path)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		c.Metrics.Counter("probes_failed").Inc(1)
		c.cancel(errProbe)
		return
	}
	// The endpoint lives. A stream that can be resumed moves to a new connection
	// at no risk; a repeatable request that waits far beyond its prediction goes
	// elsewhere; anything else may just be slow and keeps its connection.
	if c.tracker != nil && c.job.Service.Resume {
		_ = c.resp.Body.Close()
		return
	}
	slow := time.Since(c.start) > slowFactor*c.choice.FirstToken
	if c.job.Repeatable && !c.out.started && slow {
		c.cancel(errSilent)
	}
}

// slowFactor is how far beyond its prediction a first byte may be before its
// connection is taken for silent.
const slowFactor = 3

// cancelAtEngine stops an attempt that nobody waits for. Engines that resume
// streams would go on with it.
func (c *endpointCall) cancelAtEngine() {
	if !c.job.Service.Resume || c.job.Service.Kind != cwservice.Engine {
		return
	}
	go func() {
		if err := c.endpoints.Cancel(context.Background(), c.choice.Endpoint.Address, c.attemptID); err != nil {
			c.Log.Sugar().Debugw("attempt not cancelled", "request", c.job.RequestID, "error", err)
		}
	}()
}
