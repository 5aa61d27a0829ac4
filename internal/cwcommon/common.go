// Package cwcommon holds what nearly every part of an instance needs.
package cwcommon

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
)

// Common is embedded by the parts of an instance in place of globals.
type Common struct {
	// Log is the structured logger.
	Log *zap.Logger
	// Settings are the checked settings.
	Settings *cwsetting.Settings
	// Metrics is the root scope.
	Metrics tally.Scope
	// Net opens connections.
	Net cwnet.Net
	// Incarnation identifies this process life.
	Incarnation uint64
}
