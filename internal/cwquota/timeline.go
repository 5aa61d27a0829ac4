package cwquota

import "time"

const (
	// slotDuration is the resolution in which spending is kept. It is small against the window
	// of a quota, and coarse enough for few numbers in a message.
	slotDuration = 500 * time.Millisecond
	// timelineSlots is the number of slots that are kept. They cover windows of up to 15 s and
	// the slot in progress.
	timelineSlots = 32
)

// timeline is spending by time, over the last timelineSlots slots.
type timeline struct {
	// newest is the index of the newest slot, counted from the zero time.
	newest  int64
	amounts [timelineSlots]float64
}

// slotOf returns the index of the slot that contains the time.
func slotOf(at time.Time) int64 {
	return at.UnixNano() / int64(slotDuration)
}

// advance makes the slot the newest one if it is newer.
func (t *timeline) advance(slot int64) {
	if slot-t.newest >= timelineSlots {
		t.amounts = [timelineSlots]float64{}
		t.newest = slot
	}
	for t.newest < slot {
		t.newest++
		t.amounts[t.newest%timelineSlots] = 0
	}
}

// add adds an amount to a slot. Slots that are too old are ignored.
func (t *timeline) add(slot int64, amount float64) {
	t.advance(slot)
	if t.newest-slot < timelineSlots {
		t.amounts[slot%timelineSlots] += amount
	}
}

// at returns the amount in a slot, 0 if it is too old or still to come.
func (t *timeline) at(slot int64) float64 {
	if slot > t.newest || t.newest-slot >= timelineSlots {
		return 0
	}
	return t.amounts[slot%timelineSlots]
}

// addAll adds another timeline, multiplied by the factor.
func (t *timeline) addAll(other *timeline, factor float64) {
	if other.newest == 0 {
		return
	}
	for slot := other.newest - timelineSlots + 1; slot <= other.newest; slot++ {
		if amount := other.at(slot); amount != 0 {
			t.add(slot, factor*amount)
		}
	}
}

// sum returns the amounts of count slots up to the last one.
func (t *timeline) sum(last int64, count int) float64 {
	total := 0.0
	for slot := last - int64(count) + 1; slot <= last; slot++ {
		total += t.at(slot)
	}
	return total
}
