package cwgate

// lateCallShare is the share of the calls whose callers have left that may be kept open for a moment.
// Endpoints work on for them: a small share tells as much of an endpoint that answers nobody in time.
const lateCallShare = 0.1

// lateCalls limits the calls that are kept open after their callers have left: to the first one and a
// share of all others.
type lateCalls struct {
	// debt is what is owed for the calls kept so far, in calls.
	debt float64
}

// onLeft counts a call whose caller has left.
func (l *lateCalls) onLeft() {
	l.debt = max(l.debt-lateCallShare, 0)
}

// tryKeep reports whether a call may be kept, and counts it.
func (l *lateCalls) tryKeep() bool {
	if l.debt > 0 {
		return false
	}
	l.debt = 1
	return true
}
