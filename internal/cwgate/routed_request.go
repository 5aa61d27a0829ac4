package cwgate

import (
	"net/http"
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcrash"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwroute"
	"github.com/clementinewell/clementinewell/internal/cwstream"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// routedRequest is a request in progress that matched a route.
type routedRequest struct {
	*Request
	// config is the configuration in force when the request arrived.
	config *cwroute.Config
	route  *cwroute.Route
	// account is the client account of the caller; nil if the route needs no key.
	account *cwroute.Account
	// quotaCharge is what the request has spent of the account's quota.
	quotaCharge quotaCharge
	service     string
	body        []byte
	// bodyClaim is the memory that the body has claimed.
	bodyClaim *cwlimit.RequestClaim
	// deadline is when the response must be complete.
	deadline  time.Time
	responder *responder

	// triedPlaces are the endpoints and domains that rejected the request or failed, and
	// triedEndpoints the endpoints among them, also those of other instances' attempts. The gate's mu
	// guards both and the silent domains.
	triedPlaces, triedEndpoints []string
	// silentDomains are the domains that did not answer the last dials; they are tried again
	// if there is no other place. silentSince is when the first of these dials began.
	silentDomains []string
	silentSince   time.Time
	// outcome is the combined outcome of all attempts.
	outcome cwanswer.Outcome
	// possibleRuns is the number of attempts that may have run, and attempts that of all
	// attempts.
	possibleRuns, attempts int
	// isRetryDenied is set once the retry budget was exhausted. The gate's mu guards it.
	isRetryDenied bool
	// isEndpointLimited is set if the latest attempt was sent to an endpoint that named a
	// rate limit.
	isEndpointLimited bool
	// relayedTo is the domain to which the last relayed attempt was sent.
	relayedTo string
	// predictedFirstByte is the time to the first byte that the latest decision predicted.
	predictedFirstByte time.Duration
	// predictedRest is the time from the first byte to the last that it predicted.
	predictedRest time.Duration
	// errorResponse is the latest error response of an endpoint, which is forwarded if no
	// later attempt succeeds.
	errorResponse *bufferedResponse
	// traits are what requests may have in common that end endpoints. They are kept in
	// traitBuffer if they are few.
	traits      []cwcrash.Trait
	traitBuffer [8]cwcrash.Trait
	// hasIdentity is set once traits contains the identity of the request.
	hasIdentity bool
	// hasOrigin is set once the stream goes on only at its origin: its first event was sent, or
	// the caller takes it up. origin is unknown if the stream can't go on.
	hasOrigin bool
	origin    cwstream.Origin
	// absence and inquiry tell why the origin of a stream that the caller takes up is not known.
	absence cwstream.Absence
	inquiry cwstream.Inquiry
	// versionDoubt is why the origin can't be derived from the versions of the service.
	versionDoubt cwpublished.VersionDoubt
	// isKeyRefused is set once an exit has refused the request because of its key.
	isKeyRefused bool
	// ends is the number of endpoints that ended while the request may have been the cause.
	ends int
}

// bufferedResponse is a response that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   *cwlimit.Buffer
}

// releaseErrorResponse releases the memory of the error response, if there is one.
func (r *routedRequest) releaseErrorResponse() {
	if r.errorResponse != nil {
		r.errorResponse.body.Release()
	}
}

// requirements returns the size and the time limits of the request for its placement.
func (r *routedRequest) requirements(now time.Time) cwplacement.Requirements {
	required := cwplacement.Requirements{
		FirstByteTarget:  r.route.FirstByteTarget,
		FirstByteTimeout: r.nextByteDeadline().Sub(now),
		ResponseTimeout:  r.deadline.Sub(now),
		MaxEventGap:      r.route.MaxEventGap,
		Elapsed:          r.Elapsed + now.Sub(r.ArrivedAt),
	}
	if r.responder.eventCount > 0 {
		// A resumed stream has already delivered its first byte. Its next event must arrive
		// before the caller abandons the stream.
		required.Elapsed, required.FirstByteTarget = 0, required.FirstByteTimeout
	}
	if r.Prompt != nil {
		required.PromptTokens, required.OutputTokens, required.PromptParts = r.Prompt.Tokens, r.Prompt.expectedOutputTokens(), r.Prompt.Parts
	}
	return required
}

const (
	// minAbandonAfter, abandonTargetFactor and abandonPauseFactor determine when callers of
	// the platform abandon a stream that delivers nothing: after the longest of
	// minAbandonAfter, abandonTargetFactor times the first byte's target and
	// abandonPauseFactor times the longest expected gap between events.
	minAbandonAfter     = 2 * time.Second
	abandonTargetFactor = 4
	abandonPauseFactor  = 8
)

// nextByteDeadline returns when the caller stops waiting for the next byte.
func (r *routedRequest) nextByteDeadline() time.Time {
	if r.route.Kind != cwroute.Stream {
		return r.deadline
	}
	timeout := max(minAbandonAfter, abandonTargetFactor*r.route.FirstByteTarget, abandonPauseFactor*r.route.MaxEventGap)
	abandonedAt := r.ArrivedAt.Add(timeout - r.Elapsed)
	if r.responder.eventCount > 0 {
		abandonedAt = r.responder.lastEventAt.Add(timeout)
	}
	if abandonedAt.Before(r.deadline) {
		return abandonedAt
	}
	return r.deadline
}

// takesUpStream reports whether the caller goes on with a stream that another of its attempts
// began.
func (r *routedRequest) takesUpStream() bool {
	return r.LastEventID != "" || r.Resumes != ""
}

// hasTried reports whether the endpoint or domain was tried before.
func (r *routedRequest) hasTried(name string) bool {
	return slices.Contains(r.triedPlaces, name)
}

// addTriedEndpoints excludes endpoints from further attempts. The caller holds the gate's mu.
func (r *routedRequest) addTriedEndpoints(ids ...string) {
	r.triedPlaces = append(r.triedPlaces, ids...)
	r.triedEndpoints = append(r.triedEndpoints, ids...)
}

// isTriedOrSilent reports whether the endpoint or domain was tried before, or did not answer the
// latest dial.
func (r *routedRequest) isTriedOrSilent(name string) bool {
	return r.hasTried(name) || slices.Contains(r.silentDomains, name)
}

// isRepeatable reports whether the request may be run again after an attempt that may
// have run. It is false for a relayed request: the instance that relayed it decides,
// since only that instance counts all runs.
func (r *routedRequest) isRepeatable() bool {
	return !r.IsRelayed && r.route.IsIdempotent() && r.possibleRuns < max(r.route.MaxAttempts, 1)
}

// recordAttempt records that an attempt is made as decided.
func (r *routedRequest) recordAttempt(d cwplacement.Decision) {
	r.attempts++
	r.predictedFirstByte, r.predictedRest = max(d.LocalFirstByte, 0), d.RestOfResponse
	if d.Action == cwplacement.ActionRelay {
		r.predictedFirstByte = d.RemoteFirstByte
	}
	r.isEndpointLimited = d.IsEndpointLimited
}

// recordResult merges the outcome of an attempt into that of the request.
func (r *routedRequest) recordResult(attempt result) {
	if attempt.mayHaveRun {
		r.possibleRuns++
	}
	if r.outcome == "" {
		r.outcome = attempt.outcome
		return
	}
	r.outcome = r.outcome.Merge(attempt.outcome)
}

// isNotRun reports whether the request was certainly not run.
func (r *routedRequest) isNotRun() bool {
	return (r.outcome == "" || r.outcome == cwanswer.NotRun) && !r.responder.sends.mayHaveRun()
}
