package cwtrial

import (
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// fakeEndpoint is an engine: a queue for slots, prompts read one at a time, and a
// prefix cache of a few entries.
type fakeEndpoint struct {
	loop                  *eventLoop
	address               string
	domain                int
	slots                 int
	promptTokensPerSecond float64 // prompt tokens per second
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

// task is one request at an endpoint.
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
	begin := e.loop.now
	if e.promptsDoneAt.After(begin) {
		begin = e.promptsDoneAt
	}
	reading := time.Duration(float64(t.uncachedTokens) / e.promptTokensPerSecond * float64(time.Second))
	e.promptsDoneAt = begin.Add(reading)
	e.cachePrefix(t.req.prefixID)
	writing := time.Duration(t.req.outputTokens) * e.tokenInterval
	e.acceleratorSeconds += reading.Seconds() + writing.Seconds()/float64(e.slots)
	epoch := e.crashCount
	e.loop.schedule(e.promptsDoneAt.Sub(e.loop.now)+e.tokenInterval, func() {
		if e.crashCount != epoch {
			return
		}
		e.waitingTokens -= t.uncachedTokens
		t.onFirstToken()
	})
	e.loop.schedule(e.promptsDoneAt.Sub(e.loop.now)+writing, func() {
		if e.crashCount != epoch {
			return
		}
		e.runningRequests--
		delete(e.runningTasks, t)
		t.onEnd(true)
		e.startWaiting()
	})
}

// crash loses everything at the endpoint; those who wait for it see that at once.
func (e *fakeEndpoint) crash() {
	lost := e.waiting
	for t := range e.runningTasks {
		lost = append(lost, t)
	}
	slices.SortFunc(lost, func(a, b *task) int { return a.req.arrivedAt.Compare(b.req.arrivedAt) })
	clear(e.runningTasks)
	e.isDown, e.waiting, e.runningRequests, e.waitingTokens, e.cachedPrefixes = true, nil, 0, 0, nil
	e.crashCount++
	e.promptsDoneAt = e.loop.now
	for _, t := range lost {
		t.onEnd(false)
	}
}

func (e *fakeEndpoint) loadReport() cwpolicy.LoadReport {
	return cwpolicy.LoadReport{
		ReportedAt: e.loop.now, RunningRequests: e.runningRequests, WaitingRequests: len(e.waiting), WaitingTokens: e.waitingTokens, Slots: e.slots,
	}
}
