package cwburn

// Counts are the requests of one span.
type Counts struct {
	// Total and Bad count requests; Away those served in another region.
	Total          int64 `json:"total"`
	Bad            int64 `json:"bad"`
	ServedRemotely int64 `json:"away"`
}

// Add adds other to the counts.
func (c *Counts) Add(other Counts) {
	c.Total += other.Total
	c.Bad += other.Bad
	c.ServedRemotely += other.ServedRemotely
}

// BurnRate returns how fast the budget of the objective burns: 1 uses it up exactly.
func (c Counts) BurnRate(objective float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - objective)
}
