// Package cwcommon holds the dependencies that nearly all components of an instance
// share.
package cwcommon

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
)

// Common holds the shared dependencies. Components embed it instead of using
// globals.
type Common struct {
	// Log is the logger of the instance.
	Log *zap.Logger
	// Settings are the validated settings.
	Settings *cwsetting.Settings
	// Metrics is the root scope of the metrics.
	Metrics tally.Scope
	// Net opens and accepts connections.
	Net cwnet.Net
	// Budget limits the memory of all responses that are in memory.
	Budget *cwlimit.Budget
	// Requests limits the memory of all heads and bodies of requests that are in memory. It may be
	// nil.
	Requests *cwlimit.RequestBudget
	// Incarnation identifies this run of the process.
	Incarnation uint64
}
