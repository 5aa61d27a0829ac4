package cwgate

import "sync/atomic"

// sendLedger counts the attempts of a request that were sent and are not proved not to have run. The
// request has certainly not run while there are none.
type sendLedger struct {
	unproved atomic.Int32
}

// recordSent is called right before an attempt is sent.
func (l *sendLedger) recordSent() {
	l.unproved.Add(1)
}

// recordNotRun records the proof that an attempt which was recorded as sent has not run and will not.
func (l *sendLedger) recordNotRun() {
	l.unproved.Add(-1)
}

// mayHaveRun reports whether an attempt may have run or may still run.
func (l *sendLedger) mayHaveRun() bool {
	return l.unproved.Load() > 0
}
