package cwgate

import (
	"net/http"
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// job is one request on its way.
type job struct {
	*Request
	route   *cwroute.Route
	service string
	body    []byte
	// deadline is when the answer must be whole.
	deadline time.Time
	out      *responder

	// tried are endpoints and domains that turned the request down or failed it.
	tried []string
	// outcome is what is known over all attempts.
	outcome cwanswer.Outcome
	// runs counts the attempts that may have run, and sends all attempts.
	runs, sends int
	// relayedTo is the domain of the last attempt that left the region.
	relayedTo string
	// predicted is the time to the first byte that the latest decision expected.
	predicted time.Duration
	// predictedRest is the time from the first byte to the last that it expected.
	predictedRest time.Duration
	// failure is an endpoint's own failure, kept while another try is made.
	failure *wholeAnswer
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// demand returns what the request needs now.
func (j *job) demand(now time.Time) cwplacement.Requirements {
	d := cwplacement.Requirements{
		FirstByteTarget:  j.route.FirstByteTarget,
		FirstByteTimeout: j.usefulUntil().Sub(now),
		ResponseTimeout:  j.deadline.Sub(now),
		Elapsed:          j.Elapsed + now.Sub(j.Arrived),
	}
	if j.out.count > 0 {
		// A stream that goes on has met its target or not: what counts now is that the
		// next event comes before the caller leaves.
		d.Elapsed, d.FirstByteTarget = 0, d.FirstByteTimeout
	}
	if j.Prompt != nil {
		d.PromptTokens, d.OutputTokens, d.PromptParts = j.Prompt.Tokens, j.Prompt.output(), j.Prompt.Parts
	}
	return d
}

const (
	// minAbandon, abandonTargets and abandonPauses tell when callers leave a stream
	// that brings nothing: after the longest of a time, a number of targets and a
	// number of pauses. The platform's callers do so.
	minAbandon     = 2 * time.Second
	abandonTargets = 4
	abandonPauses  = 8
)

// usefulUntil returns when the next byte is of no more use.
func (j *job) usefulUntil() time.Time {
	if j.route.Kind != cwroute.Stream {
		return j.deadline
	}
	patience := max(minAbandon, abandonTargets*j.route.FirstByteTarget, abandonPauses*j.route.MaxEventGap)
	leaves := j.Arrived.Add(patience - j.Elapsed)
	if j.out.count > 0 {
		leaves = j.out.lastAt.Add(patience)
	}
	if leaves.Before(j.deadline) {
		return leaves
	}
	return j.deadline
}

func (j *job) triedBefore(name string) bool {
	return slices.Contains(j.tried, name)
}

// repeatable reports whether the request may run once more after it may have run.
// For a relayed request that is for the instance to say which relayed it: only it
// knows of all runs.
func (j *job) repeatable() bool {
	return !j.Relayed && j.route.IsIdempotent() && j.runs < max(j.route.MaxAttempts, 1)
}

// note merges what an attempt tells of the outcome.
func (j *job) note(o cwanswer.Outcome) {
	if j.outcome == "" {
		j.outcome = o
		return
	}
	j.outcome = j.outcome.Merge(o)
}

// notRun reports whether the request certainly has not run.
func (j *job) notRun() bool {
	return j.outcome == "" || j.outcome == cwanswer.NotRun
}
