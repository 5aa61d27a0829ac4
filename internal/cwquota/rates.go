package cwquota

// rates are the rates of spending of several sources together, from the times at which they were
// stated. Times are in seconds since the ledger's epoch.
type rates struct {
	// rate is the sum of the recent rates, and rateAt that of the rates each times its time.
	rate, rateAt float64
	// older and olderAt are the same for the rates before the recent slots.
	older, olderAt float64
}

// spent returns the spending since the statements at the recent rates.
func (r *rates) spent(at float64) float64 {
	return max(r.rate*at-r.rateAt, 0)
}

// olderSpent returns the spending since the statements at the older rates.
func (r *rates) olderSpent(at float64) float64 {
	return max(r.older*at-r.olderAt, 0)
}

// add adds or, with a factor of -1, removes the rates of an entry that was stated at the time.
func (r *rates) add(e *entry, at, factor float64) {
	r.rate += factor * e.perSecond
	r.rateAt += factor * e.perSecond * at
	r.older += factor * e.olderPerSecond
	r.olderAt += factor * e.olderPerSecond * at
}

// isNegligible reports whether no source states any spending.
func (r *rates) isNegligible() bool {
	return r.rate < negligible && r.older < negligible
}
