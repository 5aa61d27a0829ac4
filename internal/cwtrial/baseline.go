package cwtrial

import (
	"time"
)

// badTime is how long a baseline leaves out an endpoint that failed.
const badTime = 2 * time.Second

// placeBaseline sends the request to an endpoint at once; the engine queues it.
func (i *instance) placeBaseline(r *request) {
	e := i.choose()
	if e == nil {
		i.refuse()
		return
	}
	i.own[e]++
	i.send(r, i.region, e, observer{
		first:  func() {},
		ended:  func() { i.own[e]-- },
		failed: func() { i.own[e]--; i.bad[e] = i.loop.now.Add(badTime) },
	})
}

func (i *instance) choose() *fakeEndpoint {
	candidates := i.candidates()
	if len(candidates) == 0 {
		return nil
	}
	switch i.policy {
	case RoundRobin:
		i.next++
		return candidates[i.next%len(candidates)]
	case LeastInFlight:
		return lowest(candidates, i.rng.IntN(len(candidates)), func(e *fakeEndpoint) float64 { return float64(i.own[e]) })
	case LeastLoaded:
		return lowest(candidates, i.rng.IntN(len(candidates)), func(e *fakeEndpoint) float64 {
			r := i.seen[e]
			return float64(r.RunningRequests + r.WaitingRequests)
		})
	}
	return candidates[i.rng.IntN(len(candidates))]
}

func (i *instance) candidates() []*fakeEndpoint {
	var list []*fakeEndpoint
	for _, e := range i.endpoints {
		if (e.domain == i.region || i.policy == LeastLoaded) && !i.bad[e].After(i.loop.now) {
			list = append(list, e)
		}
	}
	return list
}

// lowest returns the candidate with the lowest value, ties by a random start.
func lowest(candidates []*fakeEndpoint, start int, value func(*fakeEndpoint) float64) *fakeEndpoint {
	best := candidates[start]
	for n := range candidates {
		e := candidates[(start+n)%len(candidates)]
		if value(e) < value(best) {
			best = e
		}
	}
	return best
}
