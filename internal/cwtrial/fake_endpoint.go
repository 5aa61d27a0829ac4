package cwtrial

import (
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// fakeEndpoint models an engine: a queue of requests that wait for a slot, prompt
// processing one request at a time, and a small LRU cache of prompt prefixes.
type fakeEndpoint struct {
	loop                  *eventLoop
	address               string
	domain                int
	slots                 int
	promptTokensPerSecond float64
	tokenInterval         time.Duration
	maxCachedPrefixes     int

	cachedPrefixes     []int
	waiting            []*task
	runningRequests    int
	promptsDoneAt      time.Time
	waitingTokens      int
	isDown             bool
	crashCount         int
	acceleratorSeconds float64
	runningTasks       map[*task]bool
}

// task is one request that is queued or running at an endpoint.
type task struct {
	req            *request
	uncachedTokens int
	onFirstToken   func()
	onEnd          func(ok bool)
}

func (e *fakeEndpoint) submit(t *task) {
	t.uncachedTokens = e.countUncachedTokens(t.req)
	e.waitingTokens += t.uncachedTokens
	e.waiting = append(e.waiting, t)
	e.startWaiting()
}

func (e *fakeEndpoint) countUncachedTokens(r *request) int {
	for _, p := range e.cachedPrefixes {
		if p == r.prefixID {
			return r.promptTokens - r.sharedTokens
		}
	}
	return r.promptTokens
}

func (e *fakeEndpoint) cachePrefix(prefix int) {
	for i, p := range e.cachedPrefixes {
		if p == prefix {
			e.cachedPrefixes = append(e.cachedPrefixes[:i], e.cachedPrefixes[i+1:]...)
			break
		}
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > e.maxCachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
}

func (e *fakeEndpoint) startWaiting() {
	for e.runningRequests < e.slots && len(e.waiting) > 0 {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.runningRequests++
		e.runningTasks[t] = true
		e.startTask(t)
	}
}

func (e *fakeEndpoint) startTask(t *task) {
	startAt := e.loop.now
	if e.promptsDoneAt.After(startAt) {
		startAt = e.promptsDoneAt
	}
	promptTime := time.Duration(float64(t.uncachedTokens) / e.promptTokensPerSecond * float64(time.Second))
	e.promptsDoneAt = startAt.Add(promptTime)
	e.cachePrefix(t.req.prefixID)
	outputTime := time.Duration(t.req.outputTokens) * e.tokenInterval
	e.acceleratorSeconds += promptTime.Seconds() + outputTime.Seconds()/float64(e.slots)
	crashesAtStart := e.crashCount
	e.loop.schedule(e.promptsDoneAt.Sub(e.loop.now)+e.tokenInterval, func() {
		if e.crashCount != crashesAtStart {
			return
		}
		e.waitingTokens -= t.uncachedTokens
		t.onFirstToken()
	})
	e.loop.schedule(e.promptsDoneAt.Sub(e.loop.now)+outputTime, func() {
		if e.crashCount != crashesAtStart {
			return
		}
		e.runningRequests--
		delete(e.runningTasks, t)
		t.onEnd(true)
		e.startWaiting()
	})
}

// crash fails all requests at the endpoint and empties its prefix cache. The senders
// see the failures immediately.
func (e *fakeEndpoint) crash() {
	failed := e.waiting
	for t := range e.runningTasks {
		failed = append(failed, t)
	}
	slices.SortFunc(failed, func(a, b *task) int { return a.req.arrivedAt.Compare(b.req.arrivedAt) })
	clear(e.runningTasks)
	e.isDown, e.waiting, e.runningRequests, e.waitingTokens, e.cachedPrefixes = true, nil, 0, 0, nil
	e.crashCount++
	e.promptsDoneAt = e.loop.now
	for _, t := range failed {
		t.onEnd(false)
	}
}

func (e *fakeEndpoint) loadReport() cwpolicy.LoadReport {
	return cwpolicy.LoadReport{
		ReportedAt: e.loop.now, RunningRequests: e.runningRequests, WaitingRequests: len(e.waiting), WaitingTokens: e.waitingTokens, Slots: e.slots,
	}
}
