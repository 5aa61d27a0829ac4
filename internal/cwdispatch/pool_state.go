package cwdispatch

import (
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// poolState is the traffic path's view of one model or plain service.
type poolState struct {
	*cwpolicy.PoolScheduler[*queuedJob]
	sentByDomain     map[string]sentCount
	isQueueScheduled bool
}

// sentCount counts requests sent to a domain since its summary was made.
type sentCount struct {
	summaryUnixNano int64
	requests        int
}

func newPoolState() *poolState {
	return &poolState{
		PoolScheduler: cwpolicy.NewPoolScheduler[*queuedJob](),
		sentByDomain:  make(map[string]sentCount),
	}
}

// queuedJob is a job in the queue. The channel gets exactly one placement unless the
// job is taken out of the queue first.
type queuedJob struct {
	job    *Job
	placed chan placement
}

// placement is where a job goes: to an endpoint, to a domain, or nowhere.
type placement struct {
	choice  cwpolicy.EndpointChoice
	domain  string
	problem *cwanswer.Problem
}

// recordSent counts a request sent to a domain by choice.
func (p *poolState) recordSent(r *cwpolicy.DomainCapacity) {
	c := p.sentByDomain[r.Domain]
	if c.summaryUnixNano != r.ReportedAt.UnixNano() {
		c = sentCount{summaryUnixNano: r.ReportedAt.UnixNano()}
	}
	c.requests++
	p.sentByDomain[r.Domain] = c
}

// withSentCounts returns the summaries with this instance's own sends counted in.
func (p *poolState) withSentCounts(rooms []cwpolicy.DomainCapacity) []cwpolicy.DomainCapacity {
	out := make([]cwpolicy.DomainCapacity, len(rooms))
	for i, r := range rooms {
		if c := p.sentByDomain[r.Domain]; c.summaryUnixNano == r.ReportedAt.UnixNano() {
			r.SentSinceReport = c.requests
		}
		out[i] = r
	}
	return out
}
