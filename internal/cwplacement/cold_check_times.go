package cwplacement

import "time"

// coldCheckInterval is the time between two checks of an endpoint. An endpoint writes its entry about
// as often.
const coldCheckInterval = time.Second

// ColdCheckTimes decides when endpoints are asked whether they are cold, so that one which becomes cold
// while no entry can be read does not get the load of a warm one. The zero value is ready for use.
type ColdCheckTimes struct {
	// startedAt are the times of the latest checks in this silence of the store, by endpoint.
	startedAt map[string]time.Time
}

// Take reports whether a check of an endpoint is due, and counts it as started. The endpoint was last
// out of reach at unreachableAt: it may have restarted since its latest check.
func (c *ColdCheckTimes) Take(id string, unreachableAt, now time.Time) bool {
	if at, isChecked := c.startedAt[id]; isChecked && now.Sub(at) < coldCheckInterval && !unreachableAt.After(at) {
		return false
	}
	if c.startedAt == nil {
		c.startedAt = make(map[string]time.Time)
	}
	c.startedAt[id] = now
	return true
}

// Reset begins anew: entries can be read.
func (c *ColdCheckTimes) Reset() {
	clear(c.startedAt)
}
