package cwdispatch

import (
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// poolState is the dispatcher's state for the endpoints of one model or plain service.
type poolState struct {
	*cwpolicy.PoolScheduler[*queuedJob]
	sentByDomain     map[string]sentCount
	isQueueScheduled bool
}

// sentCount is the number of requests sent to a domain since its latest capacity
// report, which reportUnixNano identifies.
type sentCount struct {
	reportUnixNano int64
	requests       int
}

func newPoolState() *poolState {
	return &poolState{
		PoolScheduler: cwpolicy.NewPoolScheduler[*queuedJob](),
		sentByDomain:  make(map[string]sentCount),
	}
}

// queuedJob is a job in the queue. The channel receives exactly one placement unless
// the job is removed from the queue first.
type queuedJob struct {
	job    *Job
	placed chan placement
}

// placement is where a job is sent: to an endpoint, to a domain, or nowhere because
// of a problem.
type placement struct {
	choice  cwpolicy.EndpointChoice
	domain  string
	problem *cwanswer.Problem
}

// recordSent counts a request that is forwarded to the domain.
func (p *poolState) recordSent(capacity *cwpolicy.DomainCapacity) {
	count := p.sentByDomain[capacity.Domain]
	if count.reportUnixNano != capacity.ReportedAt.UnixNano() {
		count = sentCount{reportUnixNano: capacity.ReportedAt.UnixNano()}
	}
	count.requests++
	p.sentByDomain[capacity.Domain] = count
}

// withSentCounts returns the capacities with the requests that this instance has
// sent since each report.
func (p *poolState) withSentCounts(capacities []cwpolicy.DomainCapacity) []cwpolicy.DomainCapacity {
	out := make([]cwpolicy.DomainCapacity, len(capacities))
	for i, capacity := range capacities {
		if count := p.sentByDomain[capacity.Domain]; count.reportUnixNano == capacity.ReportedAt.UnixNano() {
			capacity.SentSinceReport = count.requests
		}
		out[i] = capacity
	}
	return out
}
