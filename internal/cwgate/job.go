package cwgate

import (
	"net/http"
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// routedRequest is one request on its way.
type routedRequest struct {
	*Request
	route   *cwroute.Route
	service string
	body    []byte
	// deadline is when the answer must be whole.
	deadline  time.Time
	responder *responder

	// triedPlaces are endpoints and domains that turned the request down or failed it.
	triedPlaces []string
	// outcome is what is known over all attempts.
	outcome cwanswer.Outcome
	// possibleRuns counts the attempts that may have run, and sends all attempts.
	possibleRuns, attempts int
	// relayedTo is the domain of the last attempt that left the region.
	relayedTo string
	// predictedFirstByte is the time to the first byte that the latest decision expected.
	predictedFirstByte time.Duration
	// predictedRest is the time from the first byte to the last that it expected.
	predictedRest time.Duration
	// errorResponse is an endpoint's own failure, kept while another try is made.
	errorResponse *bufferedResponse
}

// bufferedResponse is an answer that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// demand returns what the request needs now.
func (j *routedRequest) demand(now time.Time) cwplacement.Requirements {
	d := cwplacement.Requirements{
		FirstByteTarget:  j.route.FirstByteTarget,
		FirstByteTimeout: j.nextByteDeadline().Sub(now),
		ResponseTimeout:  j.deadline.Sub(now),
		Elapsed:          j.Elapsed + now.Sub(j.Arrived),
	}
	if j.responder.eventCount > 0 {
		// A stream that goes on has met its target or not: what counts now is that the
		// next event comes before the caller leaves.
		d.Elapsed, d.FirstByteTarget = 0, d.FirstByteTimeout
	}
	if j.Prompt != nil {
		d.PromptTokens, d.OutputTokens, d.PromptParts = j.Prompt.Tokens, j.Prompt.expectedOutputTokens(), j.Prompt.Parts
	}
	return d
}

const (
	// minAbandonAfter, abandonTargets and abandonPauses tell when callers leave a stream
	// that brings nothing: after the longest of a time, a number of targets and a
	// number of pauses. The platform's callers do so.
	minAbandonAfter     = 2 * time.Second
	abandonTargetFactor = 4
	abandonPauseFactor  = 8
)

// nextByteDeadline returns when the next byte is of no more use.
func (j *routedRequest) nextByteDeadline() time.Time {
	if j.route.Kind != cwroute.Stream {
		return j.deadline
	}
	patience := max(minAbandonAfter, abandonTargetFactor*j.route.FirstByteTarget, abandonPauseFactor*j.route.MaxEventGap)
	leaves := j.Arrived.Add(patience - j.Elapsed)
	if j.responder.eventCount > 0 {
		leaves = j.responder.lastEventAt.Add(patience)
	}
	if leaves.Before(j.deadline) {
		return leaves
	}
	return j.deadline
}

func (j *routedRequest) hasTried(name string) bool {
	return slices.Contains(j.triedPlaces, name)
}

// isRepeatable reports whether the request may run once more after it may have run.
// For a relayed request that is for the instance to say which relayed it: only it
// knows of all runs.
func (j *routedRequest) isRepeatable() bool {
	return !j.Relayed && j.route.IsIdempotent() && j.possibleRuns < max(j.route.MaxAttempts, 1)
}

// mergeOutcome merges what an attempt tells of the outcome.
func (j *routedRequest) mergeOutcome(o cwanswer.Outcome) {
	if j.outcome == "" {
		j.outcome = o
		return
	}
	j.outcome = j.outcome.Merge(o)
}

// isNotRun reports whether the request certainly has not run.
func (j *routedRequest) isNotRun() bool {
	return j.outcome == "" || j.outcome == cwanswer.NotRun
}
