package cwdispatch

import (
	"net/http"
	"slices"

	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	// maxKeptResponseBytes is the largest response body that is kept for duplicates.
	maxKeptResponseBytes = 64 << 10
	// maxKeptTicketRuns is the number of runs above which the oldest one is evicted, if
	// it has ended.
	maxKeptTicketRuns = 512
)

// ticketRun is a request with a ticket that is running or has run. Duplicates wait
// for done and then get the same response.
type ticketRun struct {
	done   chan struct{}
	status int
	header http.Header
	body   []byte
	// isResponseLost is set if the response was truncated or is too large to keep.
	isResponseLost bool
	result         ServeResult
	problem        *cwanswer.Problem
	outcome        cwanswer.Outcome
}

func newTicketRun() *ticketRun {
	return &ticketRun{done: make(chan struct{})}
}

// replay sends the kept response to a duplicate. It returns the problem of the run if
// the run failed, and another problem if the response is not kept.
func (r *ticketRun) replay(sink Sink) (*ServeResult, error) {
	if r.problem != nil {
		problem := *r.problem
		problem.Instances = slices.Clone(r.problem.Instances)
		return &r.result, &problem
	}
	if r.isResponseLost || r.status == 0 {
		return &r.result, responseLostProblem(r.outcome)
	}
	if err := sink.Start(r.status, r.header.Clone(), &r.result); err != nil {
		return &r.result, err
	}
	_, err := sink.Write(r.body)
	return &r.result, err
}

func responseLostProblem(outcome cwanswer.Outcome) *cwanswer.Problem {
	return cwanswer.NewProblem(http.StatusConflict, "already-used", outcome,
		"the ticket was used before and its answer is not kept; look the request up").WithOrigin("ticket", "")
}

// recordingSink writes a response to the first caller and keeps a copy for
// duplicates. The run continues if the first caller disconnects.
type recordingSink struct {
	caller          Sink
	hasCallerFailed bool
	run             *ticketRun
}

// Start implements Sink.
func (r *recordingSink) Start(status int, header http.Header, result *ServeResult) error {
	r.run.status, r.run.header = status, header.Clone()
	r.hasCallerFailed = r.caller.Start(status, header, result) != nil
	return nil
}

// Write implements Sink.
func (r *recordingSink) Write(p []byte) (int, error) {
	if len(r.run.body)+len(p) > maxKeptResponseBytes {
		r.run.isResponseLost, r.run.body = true, nil
	}
	if !r.run.isResponseLost {
		r.run.body = append(r.run.body, p...)
	}
	if !r.hasCallerFailed {
		_, err := r.caller.Write(p)
		r.hasCallerFailed = err != nil
	}
	return len(p), nil
}

// Flush implements Sink.
func (r *recordingSink) Flush() {
	if !r.hasCallerFailed {
		r.caller.Flush()
	}
}
