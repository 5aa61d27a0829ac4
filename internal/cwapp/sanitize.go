package cwapp

import (
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// newSanitizeOptions returns the Prometheus defaults, except that label values keep
// dashes, so that metrics show service names unchanged.
func newSanitizeOptions() *tally.SanitizeOptions {
	options := tallyprom.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreDashCharacters,
	}
	return &options
}
