package cwburn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Windows of up to an hour are summed from fine slots, longer ones from coarse
	// slots, which cover three days.
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
		// Values outside the range are clamped to it.
		_ = s.firstByte.RecordValue(min(max(o.FirstByte.Microseconds(), minFirstByteMicros), maxFirstByteMicros))
	}
}

// sum returns the counts of the window that ends at now.
func (s *series) sum(window time.Duration, now time.Time) Counts {
	if window <= fineSlotLength*fineSlotCount {
		return s.fineCounts.sum(window, now)
	}
	return s.coarseCounts.sum(window, now)
}

// slotRing is a ring buffer of counts in time slots of equal length. slotNumbers
// holds the number of the slot, counted from the Unix epoch, that each entry
// belongs to; an entry with an old number is stale.
type slotRing struct {
	slotLength  time.Duration
	slots       []Counts
	slotNumbers []int64
}

func newSlotRing(length time.Duration, count int) slotRing {
	return slotRing{slotLength: length, slots: make([]Counts, count), slotNumbers: make([]int64, count)}
}

func (r *slotRing) add(c Counts, now time.Time) {
	current := now.UnixNano() / int64(r.slotLength)
	i := current % int64(len(r.slots))
	if r.slotNumbers[i] != current {
		r.slots[i], r.slotNumbers[i] = Counts{}, current
	}
	r.slots[i].Add(c)
}

func (r *slotRing) sum(window time.Duration, now time.Time) Counts {
	current := now.UnixNano() / int64(r.slotLength)
	oldest := current - int64(window/r.slotLength)
	total := Counts{}
	for i, number := range r.slotNumbers {
		if number > oldest && number <= current {
			total.Add(r.slots[i])
		}
	}
	return total
}
