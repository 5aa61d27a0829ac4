package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// objective is the fraction of requests that must meet the target of their route; the
// brief states the targets for 95 in 100.
const objective = 0.95

// recordBurn counts a request in the service-level report, by route. What a caller gave
// up early is not counted, nor what another instance relayed: its entry counts that.
func (g *Gate) recordBurn(j *routedRequest, reason cwburn.Reason) {
	if j.Relayed {
		return
	}
	first := time.Duration(0)
	if !j.responder.firstAt.IsZero() {
		first = j.responder.firstAt.Sub(j.Arrived)
	}
	g.Burn.Observe(cwburn.Observation{
		Service: j.route.Name, Region: g.site.Region, Reason: reason, FirstByte: first, IsServedRemotely: j.relayedTo != "",
	}, cwservice.Targets{FirstTokenMillis: int(j.route.FirstByteTarget.Milliseconds()), Objective: objective}, time.Now())
}

// burnReasons are why a request burnt error budget, by the outcome that is logged.
var burnReasons = map[string]cwburn.Reason{
	"answered":       cwburn.ReasonNone,
	"endpointFailed": cwburn.ReasonFailed,
	"attemptFailed":  cwburn.ReasonFailed,
	"deadline":       cwburn.ReasonSlow,
	"noRoom":         cwburn.ReasonOverload,
	"overload":       cwburn.ReasonOverload,
	"noPlace":        cwburn.ReasonNoRoute,
}

// burnReasonOf returns why a request burnt error budget; false if it does not count.
func burnReasonOf(outcome string) (cwburn.Reason, bool) {
	if outcome == "callerGone" {
		return cwburn.ReasonNone, false
	}
	if reason, ok := burnReasons[outcome]; ok {
		return reason, true
	}
	return cwburn.ReasonTruncated, true
}
