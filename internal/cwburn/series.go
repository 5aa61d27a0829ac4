package cwburn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// fineSlotLength is the grain of the short windows, coarseSpan of the long ones.
	fineSlotLength     = 10 * time.Second
	fineSlotCount      = 360
	coarseSlotLength   = 10 * time.Minute
	coarseSlotCount    = 432
	minFirstByteMicros = 100
	maxFirstByteMicros = 600_000_000
	significantDigits  = 2
)

// series holds the counts of one service in one region.
type series struct {
	objective    float64
	fineCounts   slotRing
	coarseCounts slotRing
	reasons      map[Reason]int64
	firstByte    *hdrhistogram.Histogram
}

func newSeries() *series {
	return &series{
		fineCounts:   newSlotRing(fineSlotLength, fineSlotCount),
		coarseCounts: newSlotRing(coarseSlotLength, coarseSlotCount),
		reasons:      make(map[Reason]int64),
		firstByte:    hdrhistogram.New(minFirstByteMicros, maxFirstByteMicros, significantDigits),
	}
}

func (s *series) record(o Observation, objective float64, now time.Time) {
	s.objective = objective
	c := Counts{Total: 1}
	if o.Reason != ReasonNone {
		c.Bad = 1
		s.reasons[o.Reason]++
	}
	if o.IsServedRemotely {
		c.ServedRemotely = 1
	}
	s.fineCounts.add(c, now)
	s.coarseCounts.add(c, now)
	if o.FirstByte > 0 {
		// A value beyond the range counts at its end.
		_ = s.firstByte.RecordValue(min(max(o.FirstByte.Microseconds(), minFirstByteMicros), maxFirstByteMicros))
	}
}

// sum returns the counts of the span before now.
func (s *series) sum(span time.Duration, now time.Time) Counts {
	if span <= fineSlotLength*fineSlotCount {
		return s.fineCounts.sum(span, now)
	}
	return s.coarseCounts.sum(span, now)
}

// slotRing holds counts in slots of equal length.
type slotRing struct {
	slotLength  time.Duration
	slots       []Counts
	slotNumbers []int64
}

func newSlotRing(span time.Duration, n int) slotRing {
	return slotRing{slotLength: span, slots: make([]Counts, n), slotNumbers: make([]int64, n)}
}

func (r *slotRing) add(c Counts, now time.Time) {
	at := now.UnixNano() / int64(r.slotLength)
	i := at % int64(len(r.slots))
	if r.slotNumbers[i] != at {
		r.slots[i], r.slotNumbers[i] = Counts{}, at
	}
	r.slots[i].Add(c)
}

func (r *slotRing) sum(span time.Duration, now time.Time) Counts {
	at := now.UnixNano() / int64(r.slotLength)
	oldest := at - int64(span/r.slotLength)
	total := Counts{}
	for i, stamp := range r.slotNumbers {
		if stamp > oldest && stamp <= at {
			total.Add(r.slots[i])
		}
	}
	return total
}
