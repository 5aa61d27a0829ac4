package cwpolicy

import "time"

const historyMarks = 32

// ownHistory remembers how much of this instance's own work an endpoint held at
// recent times, so that a late report can be split into own work and that of
// others.
type ownHistory struct {
	marks [historyMarks]ownMark
	next  int
}

type ownMark struct {
	at       time.Time
	waiting  int
	inFlight int
}

func (h *ownHistory) note(at time.Time, waiting, inFlight int) {
	h.marks[h.next] = ownMark{at: at, waiting: waiting, inFlight: inFlight}
	h.next = (h.next + 1) % historyMarks
}

// at returns the latest mark that is not after the time, or the oldest one.
func (h *ownHistory) at(t time.Time) ownMark {
	oldest := ownMark{}
	for i := 1; i <= historyMarks; i++ {
		m := h.marks[(h.next+historyMarks-i)%historyMarks]
		if m.at.IsZero() {
			break
		}
		if !m.at.After(t) {
			return m
		}
		oldest = m
	}
	return oldest
}
