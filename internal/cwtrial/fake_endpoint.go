package cwtrial

import (
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// fakeEndpoint is an engine: a queue for slots, prompts read one at a time, and a
// prefix cache of a few entries.
type fakeEndpoint struct {
	loop     *eventLoop
	address  string
	domain   int
	slots    int
	speed    float64 // prompt tokens per second
	interval time.Duration
	cacheMax int

	cache        []int
	waiting      []*task
	running      int
	promptFree   time.Time
	waitingToken int
	down         bool
	epoch        int
	busySeconds  float64
	inWork       map[*task]bool
}

// task is one request at an endpoint.
type task struct {
	req     *request
	tokens  int
	onFirst func()
	onEnd   func(ok bool)
}

func (e *fakeEndpoint) submit(t *task) {
	t.tokens = e.uncached(t.req)
	e.waitingToken += t.tokens
	e.waiting = append(e.waiting, t)
	e.fill()
}

func (e *fakeEndpoint) uncached(r *request) int {
	for _, p := range e.cache {
		if p == r.prefix {
			return r.tokens - r.shared
		}
	}
	return r.tokens
}

func (e *fakeEndpoint) remember(prefix int) {
	for i, p := range e.cache {
		if p == prefix {
			e.cache = append(e.cache[:i], e.cache[i+1:]...)
			break
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.cacheMax {
		e.cache = e.cache[1:]
	}
}

func (e *fakeEndpoint) fill() {
	for e.running < e.slots && len(e.waiting) > 0 {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		e.inWork[t] = true
		e.begin(t)
	}
}

func (e *fakeEndpoint) begin(t *task) {
	begin := e.loop.now
	if e.promptFree.After(begin) {
		begin = e.promptFree
	}
	reading := time.Duration(float64(t.tokens) / e.speed * float64(time.Second))
	e.promptFree = begin.Add(reading)
	e.remember(t.req.prefix)
	writing := time.Duration(t.req.output) * e.interval
	e.busySeconds += reading.Seconds() + writing.Seconds()/float64(e.slots)
	epoch := e.epoch
	e.loop.after(e.promptFree.Sub(e.loop.now)+e.interval, func() {
		if e.epoch != epoch {
			return
		}
		e.waitingToken -= t.tokens
		t.onFirst()
	})
	e.loop.after(e.promptFree.Sub(e.loop.now)+writing, func() {
		if e.epoch != epoch {
			return
		}
		e.running--
		delete(e.inWork, t)
		t.onEnd(true)
		e.fill()
	})
}

// crash loses everything at the endpoint; those who wait for it see that at once.
func (e *fakeEndpoint) crash() {
	lost := e.waiting
	for t := range e.inWork {
		lost = append(lost, t)
	}
	slices.SortFunc(lost, func(a, b *task) int { return a.req.arrived.Compare(b.req.arrived) })
	clear(e.inWork)
	e.down, e.waiting, e.running, e.waitingToken, e.cache = true, nil, 0, 0, nil
	e.epoch++
	e.promptFree = e.loop.now
	for _, t := range lost {
		t.onEnd(false)
	}
}

func (e *fakeEndpoint) report() cwpolicy.LoadReport {
	return cwpolicy.LoadReport{
		ReportedAt: e.loop.now, RunningRequests: e.running, WaitingRequests: len(e.waiting), WaitingTokens: e.waitingToken, Slots: e.slots,
	}
}
