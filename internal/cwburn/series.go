package cwburn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// slotSpan is the grain of the short windows, coarseSpan of the long ones.
	slotSpan    = 10 * time.Second
	slotCount   = 360
	coarseSpan  = 10 * time.Minute
	coarseCount = 432
	minMicros   = 100
	maxMicros   = 600_000_000
	digits      = 2
)

// series holds the counts of one service in one region.
type series struct {
	objective float64
	fine      ring
	coarse    ring
	reasons   map[Reason]int64
	first     *hdrhistogram.Histogram
}

func newSeries() *series {
	return &series{
		fine:    newRing(slotSpan, slotCount),
		coarse:  newRing(coarseSpan, coarseCount),
		reasons: make(map[Reason]int64),
		first:   hdrhistogram.New(minMicros, maxMicros, digits),
	}
}

func (s *series) observe(o Observation, objective float64, now time.Time) {
	s.objective = objective
	c := Counts{Total: 1}
	if o.Reason != None {
		c.Bad = 1
		s.reasons[o.Reason]++
	}
	if o.Away {
		c.Away = 1
	}
	s.fine.add(c, now)
	s.coarse.add(c, now)
	if o.FirstByte > 0 {
		// A value beyond the range counts at its end.
		_ = s.first.RecordValue(min(max(o.FirstByte.Microseconds(), minMicros), maxMicros))
	}
}

// sum returns the counts of the span before now.
func (s *series) sum(span time.Duration, now time.Time) Counts {
	if span <= slotSpan*slotCount {
		return s.fine.sum(span, now)
	}
	return s.coarse.sum(span, now)
}

// ring holds counts in slots of equal length.
type ring struct {
	span  time.Duration
	slots []Counts
	stamp []int64
}

func newRing(span time.Duration, n int) ring {
	return ring{span: span, slots: make([]Counts, n), stamp: make([]int64, n)}
}

func (r *ring) add(c Counts, now time.Time) {
	at := now.UnixNano() / int64(r.span)
	i := at % int64(len(r.slots))
	if r.stamp[i] != at {
		r.slots[i], r.stamp[i] = Counts{}, at
	}
	r.slots[i].Add(c)
}

func (r *ring) sum(span time.Duration, now time.Time) Counts {
	at := now.UnixNano() / int64(r.span)
	oldest := at - int64(span/r.span)
	total := Counts{}
	for i, stamp := range r.stamp {
		if stamp > oldest && stamp <= at {
			total.Add(r.slots[i])
		}
	}
	return total
}
