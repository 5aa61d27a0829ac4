package cwplacement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

const (
	fleetInstances  = 295
	fleetRate       = 900 // requests per second
	fleetRatio      = 0.2
	fleetSlack      = 630.0
	fleetWindow     = 10 * time.Second
	fleetStep       = 10 * time.Millisecond
	fleetDuration   = 60 * time.Second
	fleetMaxRetries = 4 // of one request
)

// span is a span of time since the start of a fleet.
type span struct{ from, to time.Duration }

func (s span) contains(t time.Duration) bool { return t >= s.from && t < s.to }

// retryFleet is a fleet of instances, of which only the retry budgets exist.
type retryFleet struct {
	// refused are the spans in which endpoints refuse each attempt.
	refused []span
	// restartEvery is the time after which all instances have restarted once, one after the other;
	// 0 if they don't.
	restartEvery time.Duration
	// restartsAt are the times at which all instances restart at once.
	restartsAt []time.Duration
	// learningTime is how long an instance that has started does not know all others.
	learningTime time.Duration
	// dialTime is how long after it was paid for an attempt in the span dialsFail turns out not to
	// have been sent.
	dialTime  time.Duration
	dialsFail span

	budgets   []*cwplacement.RetryBudget
	startedAt []time.Duration
	requests  []time.Duration
	retries   []time.Duration
	refunds   []fleetRefund
}

type fleetRefund struct {
	instance     int
	spentAt, due time.Duration
}

// fleetEpoch is the start of a fleet.
var fleetEpoch = time.Unix(1000, 0)

func (f *retryFleet) start(instance int, now time.Duration) {
	f.budgets[instance] = cwplacement.NewRetryBudget(fleetRatio, fleetSlack, fleetWindow, fleetEpoch.Add(now))
	f.startedAt[instance] = now
}

// knownInstances returns how many instances one knows.
func (f *retryFleet) knownInstances(instance int, now time.Duration) int {
	uptime := now - f.startedAt[instance]
	if uptime >= f.learningTime {
		return fleetInstances
	}
	return max(int(fleetInstances*uptime/f.learningTime), 1)
}

// run plays requests that arrive at random instances, and as many retries as the budgets allow.
func (f *retryFleet) run() {
	f.budgets, f.startedAt = make([]*cwplacement.RetryBudget, fleetInstances), make([]time.Duration, fleetInstances)
	for i := range fleetInstances {
		f.start(i, 0)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for now := time.Duration(0); now < fleetDuration; now += fleetStep {
		f.restart(now)
		f.refundDue(now)
		for range fleetRate * int(fleetStep) / int(time.Second) {
			f.serve(random.IntN(fleetInstances), now)
		}
	}
}

func (f *retryFleet) restart(now time.Duration) {
	for _, at := range f.restartsAt {
		for i := range fleetInstances {
			if at == now {
				f.start(i, now)
			}
		}
	}
	if f.restartEvery == 0 || now < fleetWindow {
		return
	}
	progress := func(t time.Duration) int { return int(fleetInstances * t / f.restartEvery) }
	for n := progress(now - fleetStep); n < progress(now); n++ {
		f.start(n%fleetInstances, now)
	}
}

func (f *retryFleet) refundDue(now time.Duration) {
	for len(f.refunds) > 0 && f.refunds[0].due <= now {
		r := f.refunds[0]
		f.refunds = f.refunds[1:]
		if r.spentAt >= f.startedAt[r.instance] {
			f.refund(r, now)
		}
	}
}

func (f *retryFleet) refund(r fleetRefund, now time.Duration) {
	f.budgets[r.instance].Refund(fleetEpoch.Add(r.spentAt), fleetEpoch.Add(now))
}

// serve plays one request.
func (f *retryFleet) serve(instance int, now time.Duration) {
	f.requests = append(f.requests, now)
	budget := f.budgets[instance]
	budget.CountRequest(fleetEpoch.Add(now))
	spend := func() bool { return budget.TrySpend(f.knownInstances(instance, now), fleetEpoch.Add(now)) }
	if f.dialsFail.contains(now) {
		if spend() {
			f.refunds = append(f.refunds, fleetRefund{instance, now, now + f.dialTime})
		}
		return
	}
	for _, s := range f.refused {
		for n := 0; s.contains(now) && n < fleetMaxRetries && spend(); n++ {
			f.retries = append(f.retries, now)
		}
	}
}

// worstShare returns the largest share of the retries allowed in any window that were made, and the
// beginning of that window. The requests are those of the window, the one before it or the one half
// a window before it, whichever has most.
func (f *retryFleet) worstShare() (share float64, at time.Duration) {
	for from := time.Duration(0); from < fleetDuration; from += 100 * time.Millisecond {
		requests := 0
		for _, before := range []time.Duration{0, fleetWindow / 2, fleetWindow} {
			requests = max(requests, countFrom(f.requests, from-before))
		}
		allowed := fleetRatio*float64(requests) + fleetSlack
		if s := float64(countFrom(f.retries, from)) / allowed; s > share {
			share, at = s, from
		}
	}
	return share, at
}

// countFrom counts the times in the window that begins at from.
func countFrom(times []time.Duration, from time.Duration) int {
	n := 0
	for _, t := range times {
		if (span{from, from + fleetWindow}).contains(t) {
			n++
		}
	}
	return n
}

// TestRetriesOfFleetStayWithinBound guards against more repeats at a service than all instances
// together may make in any window, because instances forget what they have spent when they restart,
// know too few others, or count in windows that are too short.
func TestRetriesOfFleetStayWithinBound(t *testing.T) {
	always := []span{{0, fleetDuration}}
	fromWave := []span{{29 * time.Second, fleetDuration}}
	for name, f := range map[string]*retryFleet{
		"refused all the time":                       {refused: always},
		"waves that are closer than the window":      {refused: []span{{20300 * time.Millisecond, 21 * time.Second}, {30 * time.Second, 31 * time.Second}}},
		"all restart, refused all the time":          {refused: always, restartsAt: []time.Duration{34 * time.Second}},
		"all restart within a wave":                  {refused: fromWave, restartsAt: []time.Duration{34 * time.Second}},
		"all restart within a wave, know few others": {refused: fromWave, restartsAt: []time.Duration{34 * time.Second}, learningTime: 3 * time.Second},
		"all restart twice within a wave":            {refused: fromWave, restartsAt: []time.Duration{34 * time.Second, 37 * time.Second}},
		"all restart in turn, refused all the time":  {refused: always, restartEvery: 10 * time.Second},
		"all restart in turn, again and again":       {refused: always, restartEvery: 3 * time.Second},
		"refunds after dials that failed":            {refused: []span{{29900 * time.Millisecond, fleetDuration}}, dialsFail: span{20 * time.Second, 21 * time.Second}, dialTime: 800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f.run()
			share, at := f.worstShare()
			t.Logf("%.2f of the bound in the window from %v, %d retries of %d requests", share, at, len(f.retries), len(f.requests))
			if share > 1 {
				t.Errorf("%.2f of the bound in the window from %v", share, at)
			}
		})
	}
}
