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
	// maxAnswerBytes bounds an answer that is read to its end before it goes out.
	maxAnswerBytes = 16 << 20
	// returnMargin is left for the answer of an endpoint to travel back: one which says
	// at the last moment that the request has not run is worth more than none. Exits get
	// no such margin, since a measured round trip may be far too long.
	returnMargin = 10 * time.Millisecond
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
	// next is the place of the next attempt, if this one was given up for it.
	next *cwplacement.Decision
}

// attempt is one try of a job.
type attempt struct {
	*Gate
	job    *job
	ticket *cwplacement.Placement
	// peer is where the request goes, and exit its domain if that is an instance.
	peer, exit string
	stall      *stall

	// over is set once the attempt has ended, and next once it is given up for another
	// place; mu guards both.
	over bool
	next *cwplacement.Decision
}

func (g *Gate) attempt(ctx context.Context, j *job, d cwplacement.Decision) result {
	a := &attempt{Gate: g, job: j, ticket: d.Placement}
	if d.Action == cwplacement.ActionRelay {
		a.exit = d.Domain
		g.mu.Lock()
		a.peer = g.exits[d.Domain]
		g.mu.Unlock()
		if a.peer == "" {
			j.tried = append(j.tried, d.Domain)
			return result{notSent: true, notRun: true, err: fmt.Errorf("no instance of %s is in reach", d.Domain)}
		}
	} else {
		a.peer = d.Placement.Endpoint.Address
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	again := a.mayFollow()
	a.stall = newStall(func() { a.overdue(again, cancel) })
	a.stall.progress(a.patience(d))
	defer a.stall.stop()
	r := a.run(ctx)
	a.mu.Lock()
	a.over, r.next = true, a.next
	a.mu.Unlock()
	if r.done {
		a.drop(r.next)
	}
	return r
}

// patience is how long the attempt may go without a first byte.
func (a *attempt) patience(d cwplacement.Decision) time.Duration {
	first := d.RemoteFirstByte
	if d.Placement != nil {
		first = d.Placement.PredictedFirstByte
	}
	return max(a.job.route.FirstByteTarget, stallFactor*first)
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
		at.Left = max(at.Left-returnMargin, 0)
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
func (a *attempt) end(ctx context.Context, end cwplacement.Outcome) {
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

// avoid keeps the job away from what failed it.
func (a *attempt) avoid() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.job.tried = append(a.job.tried, a.place())
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
	a.ticket.OnFirstByte(time.Now())
}
