package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// ConfigTracker decides which configuration an instance accepts. The accepted
// version only rises.
type ConfigTracker struct {
	accepted    cwconfig.Version
	isConfirmed bool
	confirmedAt time.Time
}

// IsNewer reports whether an offered version is newer than the accepted one and
// is worth fetching.
func (c *ConfigTracker) IsNewer(offered cwconfig.Version) bool {
	return offered.Compare(c.accepted) > 0
}

// Accept takes a version whose content is at hand. It returns false, and changes
// nothing, if the version is not newer.
func (c *ConfigTracker) Accept(v cwconfig.Version) bool {
	if !c.IsNewer(v) {
		return false
	}
	c.accepted = v
	return true
}

// Confirm records that the platform, or a confirmed peer, answered and that
// nothing newer than the accepted version was seen there.
func (c *ConfigTracker) Confirm(seen cwconfig.Version, now time.Time) {
	if c.IsNewer(seen) || c.accepted.Number == 0 {
		return
	}
	c.isConfirmed = true
	if seen == c.accepted {
		c.confirmedAt = now
	}
}

// RevokeConfirmation takes the confirmation back; the accepted version stays.
func (c *ConfigTracker) RevokeConfirmation() {
	c.isConfirmed = false
}

// Accepted returns the version in force.
func (c *ConfigTracker) Accepted() cwconfig.Version {
	return c.accepted
}

// IsConfirmed reports whether the instance has a configuration that was confirmed
// since its start.
func (c *ConfigTracker) IsConfirmed() bool {
	return c.isConfirmed
}

// IsConfirmedWithin reports whether the version in force was confirmed within the time.
func (c *ConfigTracker) IsConfirmedWithin(now time.Time, age time.Duration) bool {
	return !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) <= age
}
