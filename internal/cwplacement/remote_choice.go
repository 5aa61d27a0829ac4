package cwplacement

import "github.com/clementinewell/clementinewell/internal/cwpolicy"

// similarCostShare is the share by which the cost in another domain may exceed the lowest one for
// the domains to count as similar. Summaries of capacity are rough and some seconds old.
const similarCostShare = 0.2

// remoteChoice chooses between the domains to which a request may be relayed. All instances of a
// region see the same summaries: if each took the domain with the lowest cost, their requests would
// meet there. So requests are divided between the domains of similar cost in proportion to how
// fast these process prompts.
type remoteChoice struct {
	candidates []candidate
}

func (c *remoteChoice) add(candidate candidate) {
	c.candidates = append(c.candidates, candidate)
}

// pick returns the candidate for a random number in [0,1); empty if there is none.
func (c *remoteChoice) pick(random float64) candidate {
	if len(c.candidates) == 0 {
		return candidate{}
	}
	lowest := c.candidates[0].cost
	for i := range c.candidates {
		lowest = min(lowest, c.candidates[i].cost)
	}
	total := 0.0
	similar := c.candidates[:0]
	for _, remote := range c.candidates {
		if remote.cost <= lowest*(1+similarCostShare) {
			similar = append(similar, remote)
			total += processingSpeed(remote.remoteCapacity)
		}
	}
	remaining := random * total
	for _, remote := range similar {
		if remaining -= processingSpeed(remote.remoteCapacity); remaining < 0 {
			return remote
		}
	}
	return similar[len(similar)-1]
}

// processingSpeed returns the speed of all endpoints of a domain together: in tokens per second, or
// their number if they process no prompts.
func processingSpeed(r *cwpolicy.DomainCapacity) float64 {
	if r.SecondsPerToken <= 0 {
		return float64(r.Endpoints)
	}
	return float64(r.Endpoints) / r.SecondsPerToken
}
