package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// ConfigTracker tracks the configuration version that an instance has accepted
// and when it was last confirmed. The accepted version never decreases.
type ConfigTracker struct {
	accepted    cwconfig.Version
	isConfirmed bool
	confirmedAt time.Time
}

// IsNewer reports whether an offered version is newer than the accepted one and
// should be fetched.
func (c *ConfigTracker) IsNewer(offered cwconfig.Version) bool {
	return offered.Compare(c.accepted) > 0
}

// Accept sets the accepted version; its content must already be available. It
// returns false, and changes nothing, if the version is not newer.
func (c *ConfigTracker) Accept(v cwconfig.Version) bool {
	if !c.IsNewer(v) {
		return false
	}
	c.accepted = v
	return true
}

// Confirm records that the platform, the store of published state or a peer reported a
// version. It does nothing if that version is newer than the accepted one or if none
// was accepted. An older version confirms the configuration, but does not update the
// time of the last confirmation.
func (c *ConfigTracker) Confirm(reported cwconfig.Version, now time.Time) {
	if c.IsNewer(reported) || c.accepted.Number == 0 {
		return
	}
	c.isConfirmed = true
	if reported == c.accepted {
		c.confirmedAt = now
	}
}

// RevokeConfirmation clears the confirmation. It keeps the accepted version and the
// time of the last confirmation.
func (c *ConfigTracker) RevokeConfirmation() {
	c.isConfirmed = false
}

// Accepted returns the version in force.
func (c *ConfigTracker) Accepted() cwconfig.Version {
	return c.accepted
}

// IsConfirmed reports whether the configuration was confirmed since the instance
// started and the confirmation was not revoked since.
func (c *ConfigTracker) IsConfirmed() bool {
	return c.isConfirmed
}

// IsConfirmedWithin reports whether the version in force was last confirmed no
// longer ago than age.
func (c *ConfigTracker) IsConfirmedWithin(now time.Time, age time.Duration) bool {
	return !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) <= age
}
