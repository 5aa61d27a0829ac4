package cwplacement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// servedPerSecond is a load that the engines of the plays can serve, and crowdPerSecond twice as
	// much.
	servedPerSecond, crowdPerSecond = 160, 320
	// drainTime is the time after a load in which all requests end.
	drainTime = 16 * time.Second
)

// mixed chooses kinds and ranks as where accounts have one priority for all their requests.
func (p *play) mixed(longShare float64) func() (*kind, int) {
	return func() (*kind, int) {
		priority := p.rng.IntN(3)
		if p.rng.Float64() < longShare {
			return &longKind, priority
		}
		return &shortKind, priority
	}
}

// playSeeds returns the sum of a play on several seeds.
func playSeeds(t *testing.T, title string, load func(p *play)) *play {
	t.Helper()
	var all *play
	for seed := range uint64(3) {
		p := newPlay(seed)
		load(p)
		if all == nil {
			all = p
			continue
		}
		all.add(p)
	}
	all.log(t, title)
	return all
}

// playMixedSizes plays a load of short and long requests, at engines that have measured speeds.
func playMixedSizes(t *testing.T, title string, perSecond, longShare float64) *play {
	t.Helper()
	return playSeeds(t, title, func(p *play) {
		p.load(servedPerSecond/2, 5*time.Second, p.mixed(longShare))
		p.load(0, drainTime, nil)
		p.forget()
		p.load(perSecond, 10*time.Second, p.mixed(longShare))
		p.load(0, drainTime, nil)
	})
}

// TestMixedSizesAtFullMemory guards against requests that are sent to engines whose memory is full,
// or will be when they run: the engines preempt others for them, read these in again, and both end
// late or not at all. Long prompts with short answers and short prompts with long ones come with the
// same ranks. What the engines can serve is served without preemptions to speak of; of a crowd beyond
// it more are answered in time and fewer preempted than by decisions that count full memory as
// processing time.
func TestMixedSizesAtFullMemory(t *testing.T) {
	for _, sc := range []struct {
		longShare float64
		// onTimeBefore and preemptedBefore are the results of the crowd with such decisions.
		onTimeBefore, preemptedBefore int
	}{{0.4, 6016, 575}, {0.75, 6417, 757}} {
		is := is.New(t)
		served, crowd := playMixedSizes(t, "served", servedPerSecond, sc.longShare), playMixedSizes(t, "crowd", crowdPerSecond, sc.longShare)
		for _, p := range []*play{served, crowd} {
			all := p.sum(nil, -1)
			is.Equal(p.hopeless, 0)                                        // nothing is sent that is predicted to end too late
			is.Equal(all.callers, all.onTime+all.late+all.failed+all.lost) // each caller has one result
			p.checkRanks(t)
		}
		is.True(served.preempted <= served.sum(nil, -1).callers/100)
		is.Equal(served.expiredInQueue+served.cut, 0)
		is.True(crowd.sum(nil, -1).onTime > sc.onTimeBefore)
		is.True(crowd.sum(nil, -1).onTime >= served.sum(nil, -1).onTime)
		is.True(crowd.preempted < sc.preemptedBefore)
	}
}

// TestPreemptionsInCrowd guards against engines that spend their time on what they preempt: of twice
// the load that they can serve, one request in twenty may be preempted.
func TestPreemptionsInCrowd(t *testing.T) {
	for _, longShare := range []float64{0.4, 0.75} {
		crowd := playMixedSizes(t, "crowd", crowdPerSecond, longShare)
		is.NewRelaxed(t).True(crowd.preempted <= crowd.sum(nil, -1).callers/20)
	}
}

// rankNoise is the difference by which the shares of two ranks with equal chances may differ.
const rankNoise = 0.05

// checkRanks checks that no more urgent rank of a kind is served less often than a less urgent one, and
// that no kind starves: within a rank each is answered in time at least half as often as the other.
func (p *play) checkRanks(t *testing.T) {
	t.Helper()
	is := is.New(t)
	for priority := range 3 {
		long, short := p.sum(&longKind, priority), p.sum(&shortKind, priority)
		is.True(long.onTimeShare() >= short.onTimeShare()/2)
		is.True(short.onTimeShare() >= long.onTimeShare()/2)
		if priority < 2 {
			is.True(long.onTimeShare() >= p.sum(&longKind, priority+1).onTimeShare()-rankNoise)
			is.True(short.onTimeShare() >= p.sum(&shortKind, priority+1).onTimeShare()-rankNoise)
		}
	}
}

// TestHalfTheEndpointsGone guards against a region that loses half of its engines within a second under
// load and then sends those that remain more than they can take: they turn requests away, and what
// they take ends late. What was in progress at the lost engines fails; each instance finds out about
// each of them once, and callers who can't be served are told so at once by the instances.
func TestHalfTheEndpointsGone(t *testing.T) {
	is := is.New(t)
	const gone = 10
	before := 0
	p := playSeeds(t, "after", func(p *play) {
		p.load(servedPerSecond, 10*time.Second, p.mixed(0.4))
		before += p.sum(nil, -1).onTime
		p.forget()
		for i := range gone {
			p.vanish(p.batch[engineID(i)])
			p.load(servedPerSecond, time.Second/gone, p.mixed(0.4))
		}
		p.load(servedPerSecond, 2*time.Second, p.mixed(0.4))
		t.Logf("while they vanish %d of what is sent finds one gone", p.unreachable)
		is.True(p.unreachable <= gone*len(p.instances))
		for i := range gone {
			p.remove(engineID(i))
		}
		p.forget()
		p.load(servedPerSecond, 10*time.Second, p.mixed(0.4))
		p.load(0, drainTime, nil)
	})
	is.Equal(p.hopeless, 0)
	is.True(p.sum(nil, -1).onTime >= before/2)
	is.True(p.rejected <= p.sent()/5)
	p.checkRanks(t)
}

// playOutage plays a load whose callers come back at once after an outage: those whose requests ended,
// and those who came meanwhile. The instances may have started anew.
func playOutage(t *testing.T, title string, isRestart bool) *play {
	t.Helper()
	const outage = 2 * time.Second
	return playSeeds(t, title, func(p *play) {
		p.load(servedPerSecond, 10*time.Second, p.mixed(0.4))
		p.forget()
		p.endAll(p.now.Add(outage))
		if isRestart {
			p.restartInstances()
		}
		next := p.mixed(0.4)
		for range int(outage.Seconds()) * servedPerSecond {
			c := p.newCaller(next())
			c.sentAt = p.now.Add(outage)
			p.comeBack(c, c.sentAt)
		}
		p.load(0, outage, nil)
		p.load(servedPerSecond, 3*time.Second, p.mixed(0.4))
		p.load(0, drainTime, nil)
	})
}

// TestFleetBackAfterPowerLoss guards against instances that all start anew, without a model of caches,
// speeds and other instances' work, and send what comes back at once to the same engines. The engines
// turn at most a fifth of what is sent away, and what the instances don't know costs at most a tenth
// of the answers in time.
func TestFleetBackAfterPowerLoss(t *testing.T) {
	is := is.New(t)
	kept, started := playOutage(t, "kept", false), playOutage(t, "started anew", true)
	is.True(started.rejected <= started.sent()/5)
	is.True(started.sum(nil, -1).onTime >= kept.sum(nil, -1).onTime*9/10)
	is.Equal(started.hopeless, 0)
}
