package cwburn

// Counts holds the request counts of one time window.
type Counts struct {
	// Total counts all requests, Bad those that consumed error budget, and
	// ServedRemotely those served in another region.
	Total          int64 `json:"total"`
	Bad            int64 `json:"bad"`
	ServedRemotely int64 `json:"away"`
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	c.Total += other.Total
	c.Bad += other.Bad
	c.ServedRemotely += other.ServedRemotely
}

// BurnRate returns the rate at which the error budget of the objective is
// consumed. At 1 the budget is consumed exactly.
func (c Counts) BurnRate(objective float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - objective)
}
