package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// objective is the fraction of requests that must meet the target of their route. The
// platform defines the targets for 95 of 100 requests.
const objective = 0.95

// recordBurn records a request for the error budget of its route. A request that another
// instance relayed is not recorded, since the instance that received it from the caller
// does so.
func (g *Gate) recordBurn(routed *routedRequest, reason cwburn.Reason) {
	if routed.IsRelayed {
		return
	}
	firstByte := time.Duration(0)
	if !routed.responder.firstAt.IsZero() {
		firstByte = routed.responder.firstAt.Sub(routed.ArrivedAt)
	}
	g.Burn.Observe(cwburn.Observation{
		Service: routed.route.Name, Region: g.site.Region, Reason: reason, FirstByte: firstByte, IsServedRemotely: routed.relayedTo != "",
	}, cwservice.Targets{FirstTokenMillis: int(routed.route.FirstByteTarget.Milliseconds()), Objective: objective}, time.Now())
}

// burnReasons are the reasons for the use of error budget, by the logged outcome or the
// reason of a refusal.
var burnReasons = map[string]cwburn.Reason{
	"answered":       cwburn.ReasonNone,
	"endpointFailed": cwburn.ReasonFailed,
	"attemptFailed":  cwburn.ReasonFailed,
	"deadline":       cwburn.ReasonSlow,
	"noRoom":         cwburn.ReasonOverload,
	"overload":       cwburn.ReasonOverload,
	"noPlace":        cwburn.ReasonNoRoute,
	"noVersion":      cwburn.ReasonNoRoute,
	"rateLimit":      cwburn.ReasonOverload,
	"brittle":        cwburn.ReasonOverload,
	"paused":         cwburn.ReasonOverload,
}

// burnReasonOf returns the reason for which a request uses error budget, ReasonTruncated
// for outcomes not in burnReasons. It returns false if the request does not count, because
// its caller disconnected early.
func burnReasonOf(outcome string) (cwburn.Reason, bool) {
	if outcome == "callerGone" {
		return cwburn.ReasonNone, false
	}
	if reason, ok := burnReasons[outcome]; ok {
		return reason, true
	}
	return cwburn.ReasonTruncated, true
}
