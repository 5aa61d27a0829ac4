package cwapp

import (
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// newSanitizeOptions are those of Prometheus, but the values of labels keep their
// dashes, so that services have their own names in metrics.
func newSanitizeOptions() *tally.SanitizeOptions {
	options := tallyprom.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreDashCharacters,
	}
	return &options
}
