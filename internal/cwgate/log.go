package cwgate

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// logAttempt counts an attempt, and logs its place, the reason for it and the result. A
// first attempt that succeeds at a local endpoint is not logged.
func (g *Gate) logAttempt(routed *routedRequest, d cwplacement.Decision, r result) {
	if d.Action == cwplacement.ActionRelay {
		g.metrics.relays.Inc(1)
		routed.relayedTo = d.Domain
	}
	if routed.attempts > 1 {
		g.metrics.retries.Inc(1)
	}
	if routed.isEndpointLimited && d.Placement != nil {
		g.metrics.limitedSends.Inc(1)
	}
	if r.done && routed.attempts == 1 && d.Action == cwplacement.ActionSend {
		// The log entry of the request's end contains the place.
		routed.responder.place = d.Placement.EndpointID
		return
	}
	place, version := d.Domain, ""
	if d.Placement != nil {
		place, version = d.Placement.EndpointID, d.Placement.Version
	}
	routed.responder.place = place
	g.Log.Info("attempt", zap.String("request", routed.ID), zap.String("route", routed.route.Name), zap.String("place", place), zap.String("version", version),
		zap.String("why", d.Reason), zap.Int("attempt", routed.attempts), zap.Duration("predicted", d.LocalFirstByte), zap.Duration("predictedAway", d.RemoteFirstByte),
		zap.Uint64("revision", g.state.Revision().StoreRevision()), zap.Bool("notRun", r.notRun), zap.Bool("done", r.done), zap.Error(r.err))
}

// logEndpointLost logs that the endpoint of the attempt refused a connection after it had broken
// off the response, with the request and the parts of its prompt, as the
// caller spelled them.
func (a *attempt) logEndpointLost(isSuspect bool, err error) {
	a.mu.Lock()
	sinceFirstEvent := time.Duration(0)
	if !a.firstEventAt.IsZero() {
		sinceFirstEvent = time.Since(a.firstEventAt)
	}
	a.mu.Unlock()
	identity := a.identity(a.req)
	a.Log.Warn("endpoint lost", zap.String("endpoint", a.placement.EndpointID), zap.String("end", formatEnd(a.endID())), zap.Bool("suspect", isSuspect),
		zap.String("request", a.req.ID), zap.String("route", a.req.route.Name),
		zap.Duration("open", time.Since(a.startedAt)), zap.Duration("sinceFirst", sinceFirstEvent), zap.String("parts", a.req.Prompt.spelledParts()), zap.String("same", formatTrait(identity.Same())), zap.Error(err))
}

// formatEnd returns the identifier of an end as it is logged.
func formatEnd(id uint32) string {
	return strconv.FormatUint(uint64(id), 16)
}

// logRefused logs a request that was refused for lack of a place, and records it for the
// error budget.
func (g *Gate) logRefused(routed *routedRequest, d cwplacement.Decision) {
	if reason, isCounted := burnReasonOf(d.Reason); isCounted {
		g.recordBurn(routed, reason)
	}
	fields := []zap.Field{
		zap.String("request", routed.ID), zap.String("route", routed.route.Name), zap.String("service", routed.service), zap.String("reason", d.Reason), routed.accountField(),
		zap.Duration("predicted", d.LocalFirstByte), zap.Duration("predictedAway", d.RemoteFirstByte), zap.Duration("retryAfter", d.RetryAfter),
		zap.Int("attempts", routed.attempts), zap.Bool("relayed", routed.IsRelayed), zap.Uint64("revision", g.state.Revision().StoreRevision()),
	}
	if d.Exclusions != nil {
		fields = append(fields, zap.Object("excluded", d.Exclusions))
	}
	g.Log.Info("request refused", fields...)
}

// logEnd logs the end of a request, counts it and records it for the error budget.
func (g *Gate) logEnd(routed *routedRequest, outcome string, err error) {
	firstByte := time.Duration(0)
	if !routed.responder.firstAt.IsZero() {
		firstByte = routed.responder.firstAt.Sub(routed.ArrivedAt)
	}
	total := time.Since(routed.ArrivedAt)
	g.metrics.countRequest(outcome, firstByte, total)
	if reason, isCounted := burnReasonOf(outcome); isCounted {
		g.recordBurn(routed, reason)
	}
	fields := []zap.Field{
		zap.String("request", routed.ID), zap.String("route", routed.route.Name), routed.accountField(), zap.String("outcome", outcome), zap.Int("status", routed.responder.status),
		zap.String("place", routed.responder.place), zap.Int("attempts", routed.attempts), zap.Duration("predicted", routed.predictedFirstByte), zap.Duration("first", firstByte), zap.Duration("total", total),
		zap.String("ran", string(routed.outcome)), zap.Bool("relayed", routed.IsRelayed), zap.Bool("limited", routed.isEndpointLimited),
	}
	if routed.Prompt != nil {
		fields = append(fields, zap.Int("promptTokens", routed.Prompt.Tokens), zap.Int("outputTokens", routed.Prompt.expectedOutputTokens()),
			zap.Duration("predictedRest", routed.predictedRest), zap.Int("events", routed.responder.eventCount), zap.Duration("longestPause", routed.responder.longestPause))
	}
	if routed.takesUpStream() {
		fields = append(fields, zap.String("resumes", routed.Resumes), zap.String("afterEvent", routed.LastEventID))
	}
	if err != nil {
		g.Log.Warn("request ended", append(fields, zap.Error(err))...)
		return
	}
	g.Log.Info("request ended", fields...)
}

// accountField returns the field with the name of the client account, none without an account.
func (r *routedRequest) accountField() zap.Field {
	if r.account == nil {
		return zap.Skip()
	}
	return zap.String("account", r.account.Name)
}

// refusalFields returns the fields of a request that is turned away before its first attempt.
func (g *Gate) refusalFields(routed *routedRequest, refusal *Refusal) []zap.Field {
	fields := routed.accountFields()
	if !refusal.dependsOnConfig() {
		return fields
	}
	if !routed.config.HasAccounts() {
		fields = append(fields, zap.Uint64("config", routed.config.Version))
	}
	lag := g.state.Lag()
	fields = append(fields, zap.Uint64("revision", g.state.Revision().StoreRevision()),
		zap.Duration("storeAge", lag.StoreAge), zap.Duration("peerAge", g.peerAge(time.Now())))
	if lag.Behind == 0 {
		return fields
	}
	return append(fields, zap.Duration("behind", lag.Behind), zap.Uint64("offered", lag.Offered.StoreRevision()), zap.String("source", lag.Source))
}

// takeUpFields returns the fields that tell why a stream that the caller takes up can't go on.
func (r *routedRequest) takeUpFields() []zap.Field {
	fields := append(r.accountFields(), zap.String("resumes", r.Resumes), zap.String("afterEvent", r.LastEventID))
	if r.absence == "" || r.origin.IsKnown() {
		return fields
	}
	return append(fields, zap.String("absence", string(r.absence)), zap.Int("asked", r.inquiry.Asked), zap.Int("answered", r.inquiry.Answered),
		zap.String("doubt", string(r.versionDoubt)))
}

// accountFields returns the fields that tell an operator which key a request had and which
// configuration decided about it. The fingerprint does not reveal the key.
func (r *routedRequest) accountFields() []zap.Field {
	if !r.config.HasAccounts() {
		return nil
	}
	fingerprint := cwroute.Fingerprint(r.Key.Text)
	if r.RelayedAccount.Name != "" {
		fingerprint = r.RelayedAccount.KeyFingerprint
	}
	return []zap.Field{r.accountField(), zap.String("key", fingerprint), zap.Uint64("config", r.config.Version)}
}
