package cwplacement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// kind is a kind of request of a play.
type kind struct {
	name string
	// shared and own are the tokens of the shared and of the own part of the prompt, and output those
	// of the answer. There are sharedPrompts different shared parts.
	shared, own, output, sharedPrompts int
	// target is that of the first byte, and abandonAfter when callers give up without one.
	target, abandonAfter time.Duration
	// ends is the longest time that callers leave for the whole answer.
	ends time.Duration
	// retries is how often callers come back.
	retries int
}

var (
	longKind  = kind{name: "long", shared: 6300, own: 2890, output: 50, sharedPrompts: 4, target: 2 * time.Second, abandonAfter: 6 * time.Second, ends: 6 * time.Second, retries: 1}
	shortKind = kind{name: "short", shared: 198, own: 628, output: 290, sharedPrompts: 4, target: 800 * time.Millisecond, abandonAfter: 4800 * time.Millisecond, ends: 15 * time.Second, retries: 1}
)

// caller is a caller with one request, which returns when it is told after a refusal.
type caller struct {
	kind     *kind
	priority int
	rs       cwplacement.Requirements
	sentAt   time.Time
	// askedAt is the time of its latest attempt, and patience the time that it states at first.
	askedAt  time.Time
	patience time.Duration
	firstAt  time.Time
	attempts int
	returnAt time.Time
}

// tally counts the callers of one kind and rank by their result. Refusals are counted each; lost are
// the callers that gave up after their last refusal.
type tally struct {
	callers, onTime, late, failed, refusals, lost int
	// returns and returnsRefused count the attempts after the first.
	returns, returnsRefused, firsts, firstsRefused int
}

func (t *tally) onTimeShare() float64 {
	return share(t.onTime, t.callers)
}

func (t *tally) add(o *tally) {
	t.callers, t.onTime, t.late, t.failed = t.callers+o.callers, t.onTime+o.onTime, t.late+o.late, t.failed+o.failed
	t.firsts, t.firstsRefused = t.firsts+o.firsts, t.firstsRefused+o.firstsRefused
	t.refusals, t.lost = t.refusals+o.refusals, t.lost+o.lost
	t.returns, t.returnsRefused = t.returns+o.returns, t.returnsRefused+o.returnsRefused
}

func share(n, all int) float64 {
	return float64(n) / float64(max(all, 1))
}

// play runs a load of callers on batch engines in virtual time.
type play struct {
	emulator
	batch   map[string]*batchEngine
	service cwroute.Service
	callers []*caller
	nextID  uint64
	tallies map[string]*tally
	// preempted, expiredInQueue, cut, rejected and unreachable count requests at engines.
	preempted, expiredInQueue, cut, rejected, unreachable int
	// overtaken counts callers that came back and were refused where a new one would have been taken.
	overtaken int
	// hopeless counts requests that were sent although they were predicted to end too late.
	hopeless int
	reasons  map[string]int
}

func newPlay(seed uint64) *play {
	const instances, engines = 20, 20
	p := &play{emulator: emulator{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, seed)), exchangeInterval: defaultExchangeInterval, heardShare: 1}}
	p.batch, p.tallies, p.reasons = make(map[string]*batchEngine), make(map[string]*tally), make(map[string]int)
	p.service = cwroute.Service{Name: "m", Engine: &cwroute.Engine{Slots: 48, MemoryTokens: 303_434, EventTokens: batchEventTokens}}
	for range instances {
		p.instances = append(p.instances, cwplacement.NewPool(p.service, "a", rand.New(rand.NewPCG(3, uint64(len(p.instances))))))
	}
	for i := range engines {
		p.startEngine(engineID(i), 0.6+0.5*float64(i%3)/2)
	}
	return p
}

func engineID(i int) string {
	return fmt.Sprintf("engine-%d", i)
}

func (p *play) startEngine(id string, speed float64) {
	p.batch[id] = &batchEngine{slots: 48, memoryTokens: 303_434, room: 64, speed: speed, nextStepAt: p.now, cache: make(map[uint64]bool)}
	for _, pool := range p.instances {
		pool.Register(cwroute.Endpoint{ID: id, Service: "m", Domain: "a", Slots: 48}, "north", true, p.now, p.now)
	}
}

func (p *play) tallyOf(c *caller) *tally {
	key := fmt.Sprint(c.kind.name, c.priority)
	if p.tallies[key] == nil {
		p.tallies[key] = &tally{}
	}
	return p.tallies[key]
}

// arrive lets a new caller of the kind arrive.
func (p *play) arrive(k *kind, priority int) {
	c := p.newCaller(k, priority)
	p.tallyOf(c).callers++
	p.ask(c)
}

func (p *play) newCaller(k *kind, priority int) *caller {
	p.nextID++
	c := &caller{kind: k, priority: priority, sentAt: p.now, patience: time.Duration((0.85 + 0.15*p.rng.Float64()) * float64(k.ends))}
	shared := uint64(k.shared)*100 + p.rng.Uint64N(uint64(k.sharedPrompts))
	c.rs = cwplacement.Requirements{
		PromptTokens: k.shared + k.own, OutputTokens: k.output, FirstByteTarget: k.target, MaxEventGap: 600 * time.Millisecond,
		PromptParts: []cwplacement.PromptPart{{ID: shared, Tokens: k.shared}, {ID: 1<<40 + p.nextID, Tokens: k.own}},
	}
	return c
}

// ask sends the request of a caller to an instance.
func (p *play) ask(c *caller) {
	waited := p.now.Sub(c.sentAt)
	c.askedAt = p.now
	rs := c.rs
	rs.Elapsed, rs.FirstByteTimeout, rs.ResponseTimeout = 0, c.kind.abandonAfter, c.patience-waited
	rs.FirstByteTimeout = min(rs.FirstByteTimeout, rs.ResponseTimeout)
	req := &cwplacement.Request{Requirements: rs, Priority: c.priority, IsLocalAllowed: true, WasTried: never, WasDomainTried: never}
	if c.attempts > 0 {
		p.tallyOf(c).returns++
	}
	c.attempts++
	if c.attempts == 1 {
		p.tallyOf(c).firsts++
	}
	var tried []string
	req.WasTried = func(id string) bool { return slices.Contains(tried, id) }
	pool := p.instances[p.rng.IntN(len(p.instances))]
	for range 2 {
		d := pool.Decide(req, p.now)
		p.reasons[d.Reason]++
		if d.Action == cwplacement.ActionRefuse {
			if c.attempts > 1 && p.takesNew(pool, req) {
				p.overtaken++
			}
			p.refuse(c, d.RetryAfter)
			return
		}
		if d.Placement.PredictedFirstByte+d.RestOfResponse > rs.ResponseTimeout {
			p.hopeless++
		}
		e := p.batch[d.Placement.EndpointID]
		if e.isGone {
			p.unreachable++
			d.Placement.OnEnd(cwplacement.Unreachable, p.now)
			tried = append(tried, d.Placement.EndpointID)
			continue
		}
		if len(e.queue)+len(e.running) >= e.room {
			p.rejected++
			d.Placement.OnEnd(cwplacement.Rejected, p.now)
			tried = append(tried, d.Placement.EndpointID)
			continue
		}
		e.enqueue(&batchRequest{caller: c, placement: d.Placement, sentAt: p.now, deadline: p.now.Add(rs.ResponseTimeout), abandonAt: p.now.Add(rs.FirstByteTimeout)})
		return
	}
	p.refuse(c, time.Second)
}

// takesNew reports whether an instance refuses a caller that comes back, though it takes a new one with
// the same work at an engine where the answer would end in the time that the other one has left.
func (p *play) takesNew(pool *cwplacement.Pool, req *cwplacement.Request) bool {
	first := *req
	first.ResponseTimeout = time.Duration(float64(req.ResponseTimeout) / (1 - refusedTimeShare))
	x := pool.Explain(&first, p.now)
	if x.Action != "send" || pool.Explain(req, p.now).Action == "send" {
		return false
	}
	for _, c := range x.Endpoints {
		if c.ID == x.Place {
			return c.FirstByteSeconds <= lateFirstByteShare*req.FirstByteTimeout.Seconds() && c.FirstByteSeconds+c.RestSeconds <= lateResponseShare*req.ResponseTimeout.Seconds()
		}
	}
	return false
}

// lateFirstByteShare and lateResponseShare are the shares of the time left within which a late response
// must be expected to begin and to end.
const lateFirstByteShare, lateResponseShare = 0.7, 0.85

// refusedTimeShare is the share of its time that a refused caller has at least used up when it comes
// back.
const refusedTimeShare = 0.25

// sent returns the number of requests sent to engines.
func (p *play) sent() int {
	return p.reasons["local"] + p.reasons["late"]
}

// remove takes the entry of an engine that has vanished from all instances.
func (p *play) remove(gone string) {
	for _, pool := range p.instances {
		pool.Retain(func(id string) bool { return id != gone })
	}
}

// refuse lets a caller return when it is told, but after a third of its time left at most.
func (p *play) refuse(c *caller, after time.Duration) {
	t := p.tallyOf(c)
	t.refusals++
	if c.attempts > 1 {
		t.returnsRefused++
	} else {
		t.firstsRefused++
	}
	left := c.patience - p.now.Sub(c.sentAt)
	if c.attempts > c.kind.retries {
		t.lost++
		return
	}
	p.comeBack(c, p.now.Add(min(after, left/3)))
}

func (p *play) comeBack(c *caller, at time.Time) {
	c.returnAt = at
	p.callers = append(p.callers, c)
}

// complete counts a complete response.
func (p *play) complete(c *caller) {
	if c.firstAt.Sub(c.askedAt) <= c.kind.target {
		p.tallyOf(c).onTime++
	} else {
		p.tallyOf(c).late++
	}
}

// load sends new callers for a time. next chooses the kind and the rank of each.
func (p *play) load(perSecond float64, duration time.Duration, next func() (*kind, int)) {
	due := 0.0
	for end := p.now.Add(duration); p.now.Before(end); {
		for due += perSecond * emulatorStep.Seconds(); due >= 1; due-- {
			p.arrive(next())
		}
		p.advance()
	}
}

// advance advances the time by one step.
func (p *play) advance() {
	p.now = p.now.Add(emulatorStep)
	returning := p.callers
	p.callers = nil
	for _, c := range returning {
		if c.returnAt.After(p.now) {
			p.callers = append(p.callers, c)
			continue
		}
		p.ask(c)
	}
	for i := range len(p.batch) {
		e := p.batch[engineID(i)]
		for !e.isGone && !e.nextStepAt.After(p.now) {
			e.nextStepAt = e.nextStepAt.Add(p.stepEngine(e))
		}
	}
	if p.now.After(p.nextExchange) {
		p.nextExchange = p.now.Add(p.exchangeInterval)
		p.exchange()
	}
}

// add adds what another play has counted.
func (p *play) add(o *play) {
	p.preempted, p.expiredInQueue, p.cut, p.rejected = p.preempted+o.preempted, p.expiredInQueue+o.expiredInQueue, p.cut+o.cut, p.rejected+o.rejected
	p.unreachable, p.hopeless, p.overtaken = p.unreachable+o.unreachable, p.hopeless+o.hopeless, p.overtaken+o.overtaken
	for reason, n := range o.reasons {
		p.reasons[reason] += n
	}
	for key, t := range o.tallies {
		if p.tallies[key] == nil {
			p.tallies[key] = &tally{}
		}
		p.tallies[key].add(t)
	}
}

// forget resets what was counted.
func (p *play) forget() {
	p.preempted, p.expiredInQueue, p.cut, p.rejected, p.unreachable, p.hopeless, p.overtaken = 0, 0, 0, 0, 0, 0, 0
	clear(p.tallies)
	clear(p.reasons)
}

// sum returns the sum of the tallies whose key begins with the kind's name, of one rank or, if it is
// negative, of all.
func (p *play) sum(k *kind, priority int) *tally {
	s := &tally{}
	for key, t := range p.tallies {
		if k != nil && key[:len(key)-1] != k.name || priority >= 0 && key[len(key)-1] != byte('0'+priority) {
			continue
		}
		s.add(t)
	}
	return s
}

func (p *play) log(t *testing.T, title string) {
	t.Helper()
	t.Logf("%s: on time %d preempted %d, expired in a queue %d, cut %d, rejected %d, unreachable %d, hopeless %d, overtaken %d, %v", title, p.sum(nil, -1).onTime, p.preempted, p.expiredInQueue, p.cut, p.rejected, p.unreachable, p.hopeless, p.overtaken, p.reasons)
	for _, k := range []*kind{&longKind, &shortKind} {
		line := k.name
		for priority := range 3 {
			s := p.sum(k, priority)
			line += fmt.Sprintf(" | %d: n %d ok %d late %d failed %d lost %d refused %d (%d of %d returns, %d of %d firsts)", priority, s.callers, s.onTime, s.late, s.failed, s.lost, s.refusals, s.returnsRefused, s.returns, s.firstsRefused, s.firsts)
		}
		t.Log(line)
	}
}

// vanish ends an engine: what is in progress there fails, and connections are refused.
func (p *play) vanish(e *batchEngine) {
	e.isGone = true
	for _, r := range slices.Concat(e.queue, e.running) {
		r.placement.OnEnd(cwplacement.Failed, p.now)
		p.tallyOf(r.caller).failed++
	}
	e.queue, e.running = nil, nil
}

// endAll ends what the instances have in progress. Its callers come back at the time.
func (p *play) endAll(comeBackAt time.Time) {
	for i := range len(p.batch) {
		e := p.batch[engineID(i)]
		for _, r := range slices.Concat(e.queue, e.running) {
			r.placement.OnEnd(cwplacement.Abandoned, p.now)
			r.caller.attempts, r.caller.sentAt = 0, comeBackAt
			p.comeBack(r.caller, comeBackAt)
		}
		e.queue, e.running = nil, nil
	}
}

// restartInstances replaces all instances by new ones that know nothing but the endpoints.
func (p *play) restartInstances() {
	for i := range p.instances {
		p.instances[i] = cwplacement.NewPool(p.service, "a", rand.New(rand.NewPCG(4, uint64(i))))
		for id := range p.batch {
			p.instances[i].Register(cwroute.Endpoint{ID: id, Service: "m", Domain: "a", Slots: 48}, "north", true, p.now, p.now)
		}
	}
}
