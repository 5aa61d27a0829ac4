package cwtrial

import (
	"time"
)

// failedEndpointExclusion is how long a baseline policy excludes an endpoint that failed.
const failedEndpointExclusion = 2 * time.Second

// placeBaseline sends the request to an endpoint immediately. Requests queue in the
// engine, not in the instance.
func (i *instance) placeBaseline(r *request) {
	e := i.chooseEndpoint()
	if e == nil {
		i.recordRefusal()
		return
	}
	i.inFlight[e]++
	i.send(r, i.region, e, attemptObserver{
		onFirstToken: func() {},
		onEnd:        func() { i.inFlight[e]-- },
		onFailure:    func() { i.inFlight[e]--; i.excludedUntil[e] = i.loop.now.Add(failedEndpointExclusion) },
	})
}

func (i *instance) chooseEndpoint() *fakeEndpoint {
	candidates := i.candidates()
	if len(candidates) == 0 {
		return nil
	}
	switch i.policy {
	case RoundRobin:
		i.roundRobinIndex++
		return candidates[i.roundRobinIndex%len(candidates)]
	case LeastInFlight:
		return findLowest(candidates, i.rng.IntN(len(candidates)), func(e *fakeEndpoint) float64 { return float64(i.inFlight[e]) })
	case LeastLoaded:
		return findLowest(candidates, i.rng.IntN(len(candidates)), func(e *fakeEndpoint) float64 {
			r := i.lastReports[e]
			return float64(r.RunningRequests + r.WaitingRequests)
		})
	}
	return candidates[i.rng.IntN(len(candidates))]
}

func (i *instance) candidates() []*fakeEndpoint {
	var list []*fakeEndpoint
	for _, e := range i.endpoints {
		if (e.domain == i.region || i.policy == LeastLoaded) && !i.excludedUntil[e].After(i.loop.now) {
			list = append(list, e)
		}
	}
	return list
}

// findLowest returns the candidate with the lowest value. Of equal candidates it
// takes the first from start on, so that a random start breaks ties at random.
func findLowest(candidates []*fakeEndpoint, start int, value func(*fakeEndpoint) float64) *fakeEndpoint {
	best := candidates[start]
	for n := range candidates {
		e := candidates[(start+n)%len(candidates)]
		if value(e) < value(best) {
			best = e
		}
	}
	return best
}
