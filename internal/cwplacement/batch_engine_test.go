package cwplacement_test

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

const (
	// batchChunkTokens is the number of prompt tokens that an engine reads in a step.
	batchChunkTokens = 2048
	// batchStepTime is the time of a step without prompts, batchStepTimePerRequest what each
	// running request adds, and batchTokensPerSecond the speed at which prompts are read.
	batchStepTime           = 6 * time.Millisecond
	batchStepTimePerRequest = 100 * time.Microsecond
	batchTokensPerSecond    = 50_700
	batchEventTokens        = 5
)

// batchEngine is an emulated engine that runs requests in a batch: each step reads a chunk of the
// prompts and makes a token of each stream. Requests hold memory from when they are admitted; when it
// runs out, the newest of the least urgent ones is preempted and read in again.
type batchEngine struct {
	slots, memoryTokens, room int
	// speed is the speed of the engine relative to others.
	speed      float64
	queue      []*batchRequest
	running    []*batchRequest
	nextStepAt time.Time
	cache      map[uint64]bool
	isGone     bool
}

// batchRequest is a request at a batchEngine.
type batchRequest struct {
	caller    *caller
	placement *cwplacement.Placement
	sentAt    time.Time
	// deadline is when the engine stops work on it, and abandonAt when its caller gives up if it has
	// got no first byte.
	deadline, abandonAt time.Time
	admittedAt          time.Time
	unread, produced    int
	hasFirst            bool
}

func (r *batchRequest) held() int {
	return r.caller.rs.PromptTokens + r.produced
}

func (e *batchEngine) used() int {
	used := 0
	for _, r := range e.running {
		used += r.held()
	}
	return used
}

// enqueue lets a request wait, ordered by band and arrival.
func (e *batchEngine) enqueue(r *batchRequest) {
	e.queue = append(e.queue, r)
	slices.SortStableFunc(e.queue, func(a, b *batchRequest) int {
		return cmp.Or(cmp.Compare(a.placement.Band, b.placement.Band), a.sentAt.Compare(b.sentAt))
	})
}

// uncached returns the tokens of a prompt to read, and keeps its parts.
func (e *batchEngine) uncached(rs *cwplacement.Requirements) int {
	tokens, missed := 0, false
	for _, part := range rs.PromptParts {
		if missed = missed || !e.cache[part.ID]; missed {
			tokens += part.Tokens
		}
		e.cache[part.ID] = true
	}
	return tokens
}

// admit lets waiting requests run while there are slots and memory. More urgent ones preempt others.
func (p *play) admit(e *batchEngine) {
	used := e.used()
	for len(e.queue) > 0 && len(e.running) < e.slots {
		r := e.queue[0]
		for used+r.held() > e.memoryTokens {
			victim := e.newestOfLeastUrgent()
			if victim == nil || victim.placement.Band <= r.placement.Band {
				return
			}
			used -= victim.held()
			p.preempt(e, victim)
		}
		e.queue = slices.DeleteFunc(e.queue, func(q *batchRequest) bool { return q == r })
		r.admittedAt, r.unread = p.now, max(e.uncached(&r.caller.rs), 1)
		if r.produced > 0 {
			r.unread += r.produced
		}
		used += r.held()
		e.running = append(e.running, r)
	}
}

func (e *batchEngine) newestOfLeastUrgent() *batchRequest {
	var victim *batchRequest
	for _, r := range e.running {
		if victim == nil || r.placement.Band > victim.placement.Band || r.placement.Band == victim.placement.Band && !r.admittedAt.Before(victim.admittedAt) {
			victim = r
		}
	}
	return victim
}

func (p *play) preempt(e *batchEngine, r *batchRequest) {
	p.preempted++
	e.running = slices.DeleteFunc(e.running, func(q *batchRequest) bool { return q == r })
	delete(e.cache, r.caller.rs.PromptParts[len(r.caller.rs.PromptParts)-1].ID)
	e.enqueue(r)
}

// stepEngine runs one step of the engine and returns how long it takes.
func (p *play) stepEngine(e *batchEngine) time.Duration {
	p.expire(e)
	p.admit(e)
	chunk, stepTime := 0, batchStepTime+time.Duration(len(e.running))*batchStepTimePerRequest
	readers := slices.Clone(e.running)
	slices.SortStableFunc(readers, func(a, b *batchRequest) int { return cmp.Compare(a.placement.Band, b.placement.Band) })
	for _, r := range readers {
		if r.unread == 0 {
			p.produce(e, r)
			continue
		}
		read := min(r.unread, batchChunkTokens-chunk)
		chunk += read
		r.unread -= read
	}
	for used := e.used(); used > e.memoryTokens; used = e.used() {
		p.preempt(e, e.newestOfLeastUrgent())
	}
	stepTime += time.Duration(float64(chunk) / batchTokensPerSecond * float64(time.Second))
	return time.Duration(float64(stepTime) / e.speed)
}

// produce makes one token of a stream.
func (p *play) produce(e *batchEngine, r *batchRequest) {
	if !slices.Contains(e.running, r) {
		return
	}
	r.produced++
	if !r.hasFirst {
		r.hasFirst = true
		r.placement.OnFirstByte(p.now)
		r.caller.firstAt = p.now
	} else if r.produced%batchEventTokens == 0 {
		r.placement.OnEvent(p.now)
	}
	if r.produced < r.caller.rs.OutputTokens {
		return
	}
	e.running = slices.DeleteFunc(e.running, func(q *batchRequest) bool { return q == r })
	r.placement.OnEnd(cwplacement.Served, p.now)
	p.complete(r.caller)
}

// expire ends the requests whose deadline has passed, and those that their callers abandon.
func (p *play) expire(e *batchEngine) {
	isOver := func(r *batchRequest) bool {
		return !p.now.Before(r.deadline) || !r.hasFirst && !p.now.Before(r.abandonAt)
	}
	e.queue = slices.DeleteFunc(e.queue, func(r *batchRequest) bool {
		if isOver(r) {
			p.expiredInQueue++
			r.placement.OnEnd(cwplacement.Abandoned, p.now)
			p.tallyOf(r.caller).failed++
			return true
		}
		return false
	})
	e.running = slices.DeleteFunc(e.running, func(r *batchRequest) bool {
		if isOver(r) {
			p.cut++
			r.placement.OnEnd(cwplacement.Abandoned, p.now)
			p.tallyOf(r.caller).failed++
			return true
		}
		return false
	})
}
