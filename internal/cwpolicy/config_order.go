package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// ConfigOrder decides which configuration an instance accepts. The accepted
// version only rises.
type ConfigOrder struct {
	accepted    cwconfig.Version
	confirmed   bool
	confirmedAt time.Time
}

// Wants reports whether an offered version is newer than the accepted one and
// is worth fetching.
func (c *ConfigOrder) Wants(offered cwconfig.Version) bool {
	return offered.Compare(c.accepted) > 0
}

// Accept takes a version whose content is at hand. It returns false, and changes
// nothing, if the version is not newer.
func (c *ConfigOrder) Accept(v cwconfig.Version) bool {
	if !c.Wants(v) {
		return false
	}
	c.accepted = v
	return true
}

// Confirm records that the platform, or a confirmed peer, answered and that
// nothing newer than the accepted version was seen there.
func (c *ConfigOrder) Confirm(seen cwconfig.Version, now time.Time) {
	if c.Wants(seen) || c.accepted.Number == 0 {
		return
	}
	c.confirmed = true
	if seen == c.accepted {
		c.confirmedAt = now
	}
}

// Doubt takes the confirmation back; the accepted version stays.
func (c *ConfigOrder) Doubt() {
	c.confirmed = false
}

// Accepted returns the version in force.
func (c *ConfigOrder) Accepted() cwconfig.Version {
	return c.accepted
}

// Ready reports whether the instance has a configuration that was confirmed
// since its start.
func (c *ConfigOrder) Ready() bool {
	return c.confirmed
}

// FreshWithin reports whether the version in force was confirmed within the time.
func (c *ConfigOrder) FreshWithin(now time.Time, age time.Duration) bool {
	return !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) <= age
}
