package cwplacement

import "time"

// Ticket is one request at an endpoint, from its placement to its end.
type Ticket struct {
	// Endpoint is where the request is.
	Endpoint *Endpoint
	// First is the predicted time to the first byte.
	First time.Duration

	// Band is that of its work.
	Band Band

	start time.Time
	first time.Time
	last  time.Time
	work  Work
	ahead float64
	ended bool
	// overdue is set once the missing first byte counted as a failure.
	overdue bool
}

// place notes that the request goes to the endpoint.
func (e *Endpoint) place(d *Demand, band Band, p prediction, now time.Time) *Ticket {
	t := &Ticket{Endpoint: e, First: seconds(p.first), Band: band, start: now, ahead: e.work(now).ahead(band)}
	t.work = Work{InFlight: 1}
	if e.engine != nil {
		t.work.Queued[band] = float64(p.uncached)
		t.work.Held = float64(d.Tokens + d.Output)
		e.cache.use(d.Parts)
		e.recent.add(d.Parts, now)
	}
	e.own = e.own.Add(t.work)
	if e.IsCold(now) {
		e.cold.open(e.coldRate, now)
	}
	return t
}

// Answered notes the first byte of the answer.
func (t *Ticket) Answered(now time.Time) {
	if !t.first.IsZero() || t.ended {
		return
	}
	t.first, t.last = now, now
	e := t.Endpoint
	e.answered(now)
	took := (now.Sub(t.start) - answerOverhead).Seconds()
	tokens := t.work.Queued[t.Band] + t.ahead
	t.processed()
	// Others overtake late work, so its time tells nothing of the speed.
	if e.engine == nil || t.Band == Late || tokens < minSpeedSample || took <= 0 {
		return
	}
	e.speed.saw(tokens, min(max(took, tokens/maxSpeed), tokens/minSpeed), now)
}

// processed takes the prompt off the work that waits.
func (t *Ticket) processed() {
	t.Endpoint.own.Queued[t.Band] -= t.work.Queued[t.Band]
	t.work.Queued[t.Band] = 0
}

// Event notes an event of a stream; the first one begins the answer.
func (t *Ticket) Event(now time.Time) {
	if t.first.IsZero() {
		t.Answered(now)
		return
	}
	t.Endpoint.pace.saw(1, now.Sub(t.last).Seconds(), now)
	t.last = now
}

// Overdue notes that the first byte is far later than predicted. That counts as a
// failure already, since an endpoint that swallows requests never answers.
func (t *Ticket) Overdue(now time.Time) {
	if t.ended || t.overdue || !t.first.IsZero() {
		return
	}
	t.overdue = true
	t.Endpoint.failed(now)
}

// End is how a request left its endpoint.
type End int

const (
	// Served is a whole answer.
	Served End = iota
	// Rejected was not run, since the endpoint had no room.
	Rejected
	// Failed is a failure of the endpoint.
	Failed
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Abandoned was given up from this side.
	Abandoned
)

// Ended notes the end of the request.
func (t *Ticket) Ended(end End, now time.Time) {
	if t.ended {
		return
	}
	t.ended = true
	e := t.Endpoint
	t.processed()
	e.own.Held -= t.work.Held
	e.own.InFlight--
	switch end {
	case Served:
		e.answered(now)
		e.hold += holdGain * (now.Sub(t.start).Seconds() - e.hold)
		e.succeeded(now)
	case Failed:
		if !t.overdue {
			e.failed(now)
		}
	case Unreachable:
		e.Lost(now)
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
