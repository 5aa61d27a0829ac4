package cwdispatch

import (
	"net/http"
	"slices"

	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	// maxKeptAnswer is the largest answer that is kept for duplicates.
	maxKeptAnswer = 64 << 10
	// maxKeptRuns bounds the answers kept at once.
	maxKeptRuns = 512
)

// ticketRun is a request that runs, or ran, under a ticket. Duplicates wait for
// done and then get the same answer.
type ticketRun struct {
	done    chan struct{}
	status  int
	header  http.Header
	body    []byte
	tooLong bool
	served  Served
	problem *cwanswer.Problem
	outcome cwanswer.Outcome
}

func newTicketRun() *ticketRun {
	return &ticketRun{done: make(chan struct{})}
}

// replay sends the kept answer to a duplicate.
func (t *ticketRun) replay(sink Sink) (*Served, error) {
	if t.problem != nil {
		copied := *t.problem
		copied.Instances = slices.Clone(t.problem.Instances)
		return &t.served, &copied
	}
	if t.tooLong || t.status == 0 {
		return &t.served, answerLost(t.outcome)
	}
	if err := sink.Start(t.status, t.header.Clone(), &t.served); err != nil {
		return &t.served, err
	}
	_, err := sink.Write(t.body)
	return &t.served, err
}

func answerLost(outcome cwanswer.Outcome) *cwanswer.Problem {
	return cwanswer.NewProblem(http.StatusConflict, "already-used", outcome,
		"the ticket was used before and its answer is not kept; look the request up").At("ticket", "")
}

// recorder passes an answer to the first caller and keeps a copy for duplicates.
// A first caller that is gone does not end the run.
type recorder struct {
	live   Sink
	broken bool
	run    *ticketRun
}

// Start is part of Sink.
func (r *recorder) Start(status int, header http.Header, served *Served) error {
	r.run.status, r.run.header = status, header.Clone()
	r.broken = r.live.Start(status, header, served) != nil
	return nil
}

// Write is part of Sink.
func (r *recorder) Write(p []byte) (int, error) {
	if len(r.run.body)+len(p) > maxKeptAnswer {
		r.run.tooLong, r.run.body = true, nil
	}
	if !r.run.tooLong {
		r.run.body = append(r.run.body, p...)
	}
	if !r.broken {
		_, err := r.live.Write(p)
		r.broken = err != nil
	}
	return len(p), nil
}

// Flush is part of Sink.
func (r *recorder) Flush() {
	if !r.broken {
		r.live.Flush()
	}
}
