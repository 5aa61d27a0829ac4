package cwgate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwevent"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	// maxAnswerBytes bounds an answer that is read to its end before it goes out.
	maxAnswerBytes = 16 << 20
	// eventBufferBytes holds what arrives of a stream at once.
	eventBufferBytes = 4 << 10
)

var (
	errStalled   = errors.New("no byte came for longer than the endpoint should need")
	errForeign   = errors.New("the answer is not the endpoint's plain answer")
	errPartial   = errors.New("the stream ended within an event")
	errNoEvent   = errors.New("the stream ended without an event")
	errOversized = errors.New("the answer is too large")
)

// result is what one attempt came to.
type result struct {
	// done is set once the whole answer went to the caller.
	done bool
	// notSent is set if no byte of the request left, and notRun if it certainly did
	// not run.
	notSent, notRun bool
	err             error
}

// attempt is one try of a job.
type attempt struct {
	*Gate
	job    *job
	ticket *cwplacement.Ticket
	// peer is where the request goes, and exit its domain if that is an instance.
	peer, exit string
	stall      *stall
}

func (g *Gate) attempt(ctx context.Context, j *job, d cwplacement.Decision) result {
	a := &attempt{Gate: g, job: j, ticket: d.Ticket}
	if d.Verdict == cwplacement.Relay {
		a.exit = d.Domain
		g.mu.Lock()
		a.peer = g.exit(d.Domain, time.Now())
		g.mu.Unlock()
		if a.peer == "" {
			j.tried = append(j.tried, d.Domain)
			return result{notSent: true, notRun: true, err: fmt.Errorf("no instance of %s is in reach", d.Domain)}
		}
	} else {
		a.peer = d.Ticket.Endpoint.Address
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.stall = newStall(a.patience(d), cancel)
	defer a.stall.stop()
	return a.run(ctx)
}

// patience is how long the attempt may go without a byte before another one is
// made; 0 if there can't be another.
func (a *attempt) patience(d cwplacement.Decision) time.Duration {
	j := a.job
	if j.Relayed || !j.route.Idempotent() || j.runs+1 >= max(j.route.MaxAttempts, 1) || a.exit != "" {
		return 0
	}
	expected := j.route.Target
	if d.Ticket != nil {
		expected = max(expected, stallFactor*d.Ticket.First)
	}
	return expected
}

// stallFactor is how far beyond its prediction a first byte may be before the
// attempt counts as stalled.
const stallFactor = 3

func (a *attempt) run(ctx context.Context) result {
	answer, err := a.conns.Do(ctx, a.call())
	if err != nil {
		return a.sendFailed(ctx, err)
	}
	defer answer.Close()
	head := a.codec.Read(answer.Response)
	switch {
	case head.NotRun || a.exit != "" && !head.Signed && refusedByPeer(answer.StatusCode):
		return a.rejected(ctx, answer)
	case !head.Signed || head.Encoded:
		a.job.runs++
		return a.broken(ctx, fmt.Errorf("answer %d of %s: %w", answer.StatusCode, a.peer, errForeign))
	case answer.StatusCode >= http.StatusMultipleChoices:
		a.job.runs++
		return a.failure(ctx, answer)
	}
	a.job.runs++
	if a.job.route.Kind == cwroute.Stream && isEventStream(answer.Header) {
		return a.stream(ctx, answer)
	}
	return a.whole(ctx, answer)
}

// refusedByPeer reports whether another instance says with the status of an answer
// of its own that the request has not run. It may have an older configuration.
func refusedByPeer(status int) bool {
	return status == http.StatusServiceUnavailable || status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

func (a *attempt) call() *cwconn.Call {
	j := a.job
	at := &Attempt{
		Left:       time.Until(j.deadline),
		Rank:       a.rank(),
		AfterEvent: j.LastEventID,
		Length:     len(j.body),
	}
	if j.out.lastEvent != "" {
		at.AfterEvent = j.out.lastEvent
	}
	c := &cwconn.Call{Address: a.peer, Method: j.Method, Body: j.body}
	if a.exit != "" {
		at.Relayed, at.Elapsed = true, j.Elapsed+time.Since(j.Arrived)
	} else {
		at.Endpoint = a.ticket.Endpoint.ID
		c.MaxConns = a.maxConns()
	}
	c.Head = a.codec.Head(j.Request, at)
	c.Own = func(status int, field func(string) string) bool { return a.codec.Owns(j.Request, status, field) }
	return c
}

// maxConns is this instance's share of the connections to one endpoint.
func (a *attempt) maxConns() int {
	s := a.control.Snapshot()
	service := a.state.View().Config.Services[a.job.service]
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

// engineRanks are the ranks at an engine by band, with room for others between.
var engineRanks = map[cwplacement.Band]int{cwplacement.Urgent: 3, cwplacement.Normal: 5, cwplacement.Late: 8}

// rank orders requests at an engine.
func (a *attempt) rank() int {
	if a.ticket == nil {
		return engineRanks[cwplacement.Normal]
	}
	return engineRanks[a.ticket.Band]
}

// end tells the policy how the attempt went.
func (a *attempt) end(ctx context.Context, end cwplacement.End) {
	if a.ticket == nil {
		return
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errStalled) {
		end = cwplacement.Abandoned
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ticket.Ended(end, time.Now())
}

// avoid keeps the job away from what failed it.
func (a *attempt) avoid() {
	name := a.exit
	if a.ticket != nil {
		name = a.ticket.Endpoint.ID
	}
	a.job.tried = append(a.job.tried, name)
}

func (a *attempt) sendFailed(ctx context.Context, err error) result {
	var failed *cwconn.SendError
	errors.As(err, &failed)
	a.avoid()
	if !failed.Sent {
		end := cwplacement.Unreachable
		if errors.Is(err, cwconn.ErrNoConnection) {
			end = cwplacement.Rejected
		}
		a.end(ctx, end)
		if a.exit != "" && ctx.Err() == nil {
			a.noteExitFailed()
		}
		a.job.note(cwanswer.NotRun)
		return result{notSent: true, notRun: true, err: err}
	}
	a.job.runs++
	a.job.note(cwanswer.Unknown)
	a.verify(ctx)
	a.end(ctx, cwplacement.Failed)
	return result{err: err}
}

// verify finds out whether an endpoint that broke off an answer is still there. Its
// other connections are dropped: what cut one of them may have cut them all.
func (a *attempt) verify(ctx context.Context) {
	cause := context.Cause(ctx)
	if a.ticket == nil || cause != nil && !errors.Is(cause, errStalled) {
		return
	}
	a.conns.CloseIdle(a.peer)
	endpoint, address, most := a.ticket.Endpoint, a.peer, a.maxConns()
	go func() {
		err := a.conns.Warm(context.WithoutCancel(ctx), address, most)
		if err == nil || errors.Is(err, cwconn.ErrNoConnection) {
			return
		}
		a.Log.Warn("endpoint lost", zap.String("endpoint", endpoint.ID), zap.Error(err))
		a.mu.Lock()
		defer a.mu.Unlock()
		endpoint.Lost(time.Now())
	}()
}

// rejected handles an answer which says that the request has not run.
func (a *attempt) rejected(ctx context.Context, answer *cwconn.Answer) result {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxSkipBytes))
	a.avoid()
	a.job.note(cwanswer.NotRun)
	a.end(ctx, cwplacement.Rejected)
	return result{notRun: true, err: fmt.Errorf("%s rejected the request with %d", a.peer, answer.StatusCode)}
}

// maxSkipBytes bounds the body of a rejection, which nobody reads.
const maxSkipBytes = 64 << 10

// broken handles an attempt that may have run and brought no answer.
func (a *attempt) broken(ctx context.Context, err error) result {
	a.avoid()
	a.job.note(cwanswer.Unknown)
	a.end(ctx, cwplacement.Failed)
	return result{err: err}
}

// failure keeps an endpoint's own failure, to be passed on if no other try is made.
func (a *attempt) failure(ctx context.Context, answer *cwconn.Answer) result {
	body, err := a.readWhole(answer)
	if err != nil {
		return a.broken(ctx, err)
	}
	a.avoid()
	a.job.note(cwanswer.Ran)
	a.end(ctx, cwplacement.Failed)
	a.job.failure = &wholeAnswer{status: answer.StatusCode, header: answer.Header, body: body}
	return result{err: fmt.Errorf("%s answered %d", a.peer, answer.StatusCode)}
}

func (a *attempt) readWhole(answer *cwconn.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", a.peer, err)
	}
	if len(body) > maxAnswerBytes {
		return nil, errOversized
	}
	return body, nil
}

// whole passes an answer on once all of it is here: one that is cut can then still
// be tried elsewhere.
func (a *attempt) whole(ctx context.Context, answer *cwconn.Answer) result {
	body, err := a.readWhole(answer)
	if err != nil {
		return a.broken(ctx, err)
	}
	if a.job.out.begun {
		return a.broken(ctx, errForeign)
	}
	a.answered()
	a.job.note(cwanswer.Ran)
	a.end(ctx, cwplacement.Served)
	if err := a.job.out.whole(&wholeAnswer{status: answer.StatusCode, header: answer.Header, body: body}); err != nil {
		return result{err: err}
	}
	return result{done: true}
}

func (a *attempt) answered() {
	if a.ticket == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ticket.Answered(time.Now())
}

// stream passes whole events on as they arrive. Nothing goes out before the first
// one, so that an attempt which fails earlier leaves the answer open.
func (a *attempt) stream(ctx context.Context, answer *cwconn.Answer) result {
	j := a.job
	tracker := &cwevent.Tracker{LastID: j.out.lastEvent}
	var hop cwevent.HopReader
	buf := make([]byte, eventBufferBytes)
	for {
		n, err := answer.Read(buf)
		events := tracker.Push(buf[:n])
		if a.exit != "" {
			var gap error
			if events, gap = hop.Strip(events); gap != nil {
				return a.broken(ctx, fmt.Errorf("read stream of %s: %w", a.peer, gap))
			}
		}
		if len(events) > 0 {
			a.eventArrived()
			j.out.begin(answer.StatusCode, answer.Header)
			if err := j.out.events(events); err != nil {
				a.end(ctx, cwplacement.Abandoned)
				return result{err: fmt.Errorf("pass events on: %w", err)}
			}
			j.out.lastEvent = tracker.LastID
		}
		if errors.Is(err, io.EOF) {
			if a.exit != "" && !hop.Ended() {
				return a.broken(ctx, fmt.Errorf("read stream of %s: %w", a.peer, cwevent.ErrGap))
			}
			return a.streamEnded(ctx, tracker)
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = fmt.Errorf("%w: %w", cause, err)
			}
			a.verify(ctx)
			return a.broken(ctx, fmt.Errorf("read stream of %s: %w", a.peer, err))
		}
	}
}

func (a *attempt) streamEnded(ctx context.Context, tracker *cwevent.Tracker) result {
	switch {
	case len(tracker.Rest()) > 0:
		return a.broken(ctx, errPartial)
	case !a.job.out.begun:
		return a.broken(ctx, errNoEvent)
	}
	a.job.note(cwanswer.Ran)
	a.end(ctx, cwplacement.Served)
	if err := a.job.out.end(); err != nil {
		return result{err: err}
	}
	return result{done: true}
}

func (a *attempt) eventArrived() {
	now := time.Now()
	a.stall.progress(a.eventPatience())
	if a.ticket == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ticket.Event(now)
}

const (
	// pauseFactor is the multiple of the expected pause between two events after
	// which a stream counts as stalled.
	pauseFactor = 3
	// minEventPatience leaves room for a batch that reads in a long prompt.
	minEventPatience = 1200 * time.Millisecond
)

// eventPatience is how long a stream may go without an event before it goes on
// elsewhere; 0 if it can't.
func (a *attempt) eventPatience() time.Duration {
	if a.job.Relayed || !a.job.route.Resumable || a.job.runs >= a.job.route.MaxAttempts || a.exit != "" {
		return 0
	}
	return max(pauseFactor*a.job.route.MaxPause, minEventPatience)
}
