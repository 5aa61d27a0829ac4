package cwgate

import (
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// logAttempt writes where an attempt went, why, and how it ended.
func (g *Gate) logAttempt(j *routedRequest, d cwplacement.Decision, r result) {
	if d.Action == cwplacement.ActionRelay {
		g.metrics.relays.Inc(1)
		j.relayedTo = d.Domain
	}
	if j.attempts > 1 {
		g.metrics.retries.Inc(1)
	}
	if r.done && j.attempts == 1 && d.Action == cwplacement.ActionSend {
		// The line of the request's end says the rest.
		j.responder.place = d.Placement.Endpoint.ID
		return
	}
	place := d.Domain
	if d.Placement != nil {
		place = d.Placement.Endpoint.ID
	}
	j.responder.place = place
	g.Log.Info("attempt", zap.String("request", j.ID), zap.String("route", j.route.Name), zap.String("place", place),
		zap.String("why", d.Reason), zap.Int("attempt", j.attempts), zap.Duration("predicted", d.LocalFirstByte), zap.Duration("predictedAway", d.RemoteFirstByte),
		zap.Uint64("revision", g.state.Revision()), zap.Bool("notRun", r.notRun), zap.Bool("done", r.done), zap.Error(r.err))
}

// logRefused writes why a request found no place.
func (g *Gate) logRefused(j *routedRequest, d cwplacement.Decision) {
	if reason, counts := burnReasonOf(d.Reason); counts {
		g.recordBurn(j, reason)
	}
	g.Log.Info("request refused", zap.String("request", j.ID), zap.String("route", j.route.Name), zap.String("service", j.service), zap.String("reason", d.Reason),
		zap.Duration("predicted", d.LocalFirstByte), zap.Duration("predictedAway", d.RemoteFirstByte), zap.Duration("retryAfter", d.RetryAfter),
		zap.Int("attempts", j.attempts), zap.Bool("relayed", j.Relayed), zap.Uint64("revision", g.state.Revision()))
}

// logEnd writes how a request ended.
func (g *Gate) logEnd(j *routedRequest, outcome string, err error) {
	first := time.Duration(0)
	if !j.responder.firstAt.IsZero() {
		first = j.responder.firstAt.Sub(j.Arrived)
	}
	total := time.Since(j.Arrived)
	g.metrics.countRequest(outcome, first, total)
	if reason, counts := burnReasonOf(outcome); counts {
		g.recordBurn(j, reason)
	}
	fields := []zap.Field{
		zap.String("request", j.ID), zap.String("route", j.route.Name), zap.String("outcome", outcome), zap.Int("status", j.responder.status),
		zap.String("place", j.responder.place), zap.Int("attempts", j.attempts), zap.Duration("predicted", j.predictedFirstByte), zap.Duration("first", first), zap.Duration("total", total),
		zap.String("ran", string(j.outcome)), zap.Bool("relayed", j.Relayed),
	}
	if j.Prompt != nil {
		fields = append(fields, zap.Int("promptTokens", j.Prompt.Tokens), zap.Int("outputTokens", j.Prompt.expectedOutputTokens()),
			zap.Duration("predictedRest", j.predictedRest), zap.Int("events", j.responder.eventCount), zap.Duration("longestPause", j.responder.longestPause))
	}
	if err != nil {
		g.Log.Warn("request ended", append(fields, zap.Error(err))...)
		return
	}
	g.Log.Info("request ended", fields...)
}
