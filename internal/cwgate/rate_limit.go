package cwgate

import (
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// logRateLimit logs that the known rate limit of an endpoint has changed. The source is
// "response", or "peer" if another instance reported it.
func (g *Gate) logRateLimit(endpoint, source string, before, after cwplacement.RateLimit) {
	g.Log.Info("endpoint rate limit changed", zap.String("endpoint", endpoint), zap.String("source", source),
		zap.Bool("named", after.IsNamed), zap.Float64("perSecond", after.PerSecond), zap.Bool("namedBefore", before.IsNamed), zap.Float64("perSecondBefore", before.PerSecond))
}
