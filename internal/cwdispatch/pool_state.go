package cwdispatch

import (
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// poolState is the traffic path's view of one model or plain service.
type poolState struct {
	*cwpolicy.PoolScheduler[*waiter]
	sent    map[string]sentCount
	pumping bool
}

// sentCount counts requests sent to a domain since its summary was made.
type sentCount struct {
	summaryAt int64
	n         int
}

func newPoolState() *poolState {
	return &poolState{
		PoolScheduler: cwpolicy.NewPoolScheduler[*waiter](),
		sent:          make(map[string]sentCount),
	}
}

// waiter is a job in the queue. The channel gets exactly one placement unless the
// job is taken out of the queue first.
type waiter struct {
	job   *Job
	ready chan placement
}

// placement is where a job goes: to an endpoint, to a domain, or nowhere.
type placement struct {
	choice  cwpolicy.EndpointChoice
	domain  string
	problem *cwanswer.Problem
}

// noteSent counts a request sent to a domain by choice.
func (p *poolState) noteSent(r *cwpolicy.DomainCapacity) {
	c := p.sent[r.Domain]
	if c.summaryAt != r.ReportedAt.UnixNano() {
		c = sentCount{summaryAt: r.ReportedAt.UnixNano()}
	}
	c.n++
	p.sent[r.Domain] = c
}

// withSent returns the summaries with this instance's own sends counted in.
func (p *poolState) withSent(rooms []cwpolicy.DomainCapacity) []cwpolicy.DomainCapacity {
	out := make([]cwpolicy.DomainCapacity, len(rooms))
	for i, r := range rooms {
		if c := p.sent[r.Domain]; c.summaryAt == r.ReportedAt.UnixNano() {
			r.SentSinceReport = c.n
		}
		out[i] = r
	}
	return out
}
