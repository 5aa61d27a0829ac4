package cwgate

import (
	"context"
	"net/http"
	"time"
)

// step is one step of a request before its attempts.
type step interface {
	// take takes the step. It returns a refusal if the request ends here.
	take(ctx context.Context, routed *routedRequest) *Refusal
}

// stepFunc is a step that consists of a function.
type stepFunc func(ctx context.Context, routed *routedRequest) *Refusal

func (f stepFunc) take(ctx context.Context, routed *routedRequest) *Refusal {
	return f(ctx, routed)
}

// newSteps returns the steps in their order. What depends on the head alone comes before the
// body is read.
func (g *Gate) newSteps() []step {
	return []step{
		stepFunc(g.findRoute),
		stepFunc(g.findAccount),
		stepFunc(g.chargeQuota),
		stepFunc(g.receiveBody),
	}
}

// findRoute sets the route of the request and what follows from it.
func (g *Gate) findRoute(_ context.Context, routed *routedRequest) *Refusal {
	routed.route = routed.config.Match(routed.Host, routed.Path)
	switch {
	case routed.route != nil:
	case g.isConfigUncertain(time.Now()):
		return newUncertainRefusal()
	default:
		return &Refusal{Status: http.StatusNotFound, Reason: "noRoute"}
	}
	routed.deadline = deadlineOf(routed.Request, routed.route)
	routed.setTraits()
	return nil
}
