package cwdispatch

import (
	"net/http"
	"slices"

	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	// maxKeptResponseBytes is the largest answer that is kept for duplicates.
	maxKeptResponseBytes = 64 << 10
	// maxKeptTicketRuns bounds the answers kept at once.
	maxKeptTicketRuns = 512
)

// ticketRun is a request that runs, or ran, under a ticket. Duplicates wait for
// done and then get the same answer.
type ticketRun struct {
	done           chan struct{}
	status         int
	header         http.Header
	body           []byte
	isResponseLost bool
	result         ServeResult
	problem        *cwanswer.Problem
	outcome        cwanswer.Outcome
}

func newTicketRun() *ticketRun {
	return &ticketRun{done: make(chan struct{})}
}

// replay sends the kept answer to a duplicate.
func (t *ticketRun) replay(sink Sink) (*ServeResult, error) {
	if t.problem != nil {
		copied := *t.problem
		copied.Instances = slices.Clone(t.problem.Instances)
		return &t.result, &copied
	}
	if t.isResponseLost || t.status == 0 {
		return &t.result, responseLostProblem(t.outcome)
	}
	if err := sink.Start(t.status, t.header.Clone(), &t.result); err != nil {
		return &t.result, err
	}
	_, err := sink.Write(t.body)
	return &t.result, err
}

func responseLostProblem(outcome cwanswer.Outcome) *cwanswer.Problem {
	return cwanswer.NewProblem(http.StatusConflict, "already-used", outcome,
		"the ticket was used before and its answer is not kept; look the request up").WithOrigin("ticket", "")
}

// recordingSink passes an answer to the first caller and keeps a copy for duplicates.
// A first caller that is gone does not end the run.
type recordingSink struct {
	caller          Sink
	hasCallerFailed bool
	run             *ticketRun
}

// Start is part of Sink.
func (r *recordingSink) Start(status int, header http.Header, served *ServeResult) error {
	r.run.status, r.run.header = status, header.Clone()
	r.hasCallerFailed = r.caller.Start(status, header, served) != nil
	return nil
}

// Write is part of Sink.
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

// Flush is part of Sink.
func (r *recordingSink) Flush() {
	if !r.hasCallerFailed {
		r.caller.Flush()
	}
}
