package cwgate

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwcrash"
)

const (
	// survivalTime is the time after its first event from which a stream has not ended its
	// endpoint, and can't be the cause if the endpoint ends later.
	survivalTime = time.Second
	// endNoticeTime is how long an attempt whose response was broken off waits for the dial that
	// tells whether the endpoint has ended. It covers the round trips within a region.
	endNoticeTime = 100 * time.Millisecond
	// outlivingTime is how long a new connection must last after a response that ended with its own: a
	// process that ends closes its connections some milliseconds before it refuses new ones, and on a
	// busy machine tens of them.
	outlivingTime = 50 * time.Millisecond
	// maxEndsOfRequest is the number of endpoints that may end under one request. It is not sent
	// to another one then.
	maxEndsOfRequest = 2
	// blockedRetryAfter is the time after which callers may retry that are refused because such
	// requests end endpoints. A block ends when nobody has tried for much longer.
	blockedRetryAfter = time.Minute
)

// errBlocked means that no further attempt is made because requests like this one end
// endpoints.
var errBlocked = errors.New("requests like this one end endpoints")

// errNotDialed means that an endpoint is not dialed because the caller or the deadline ended the
// attempt.
var errNotDialed = errors.New("not dialed after the end of the attempt")

// setTraits sets the traits of the request: the parts of its prompt that other requests may
// share, which are all but the last.
func (r *routedRequest) setTraits() {
	if r.Prompt == nil || len(r.Prompt.Parts) < 2 {
		return
	}
	r.traits = r.traitBuffer[:0]
	for _, part := range r.Prompt.Parts[:len(r.Prompt.Parts)-1] {
		r.traits = append(r.traits, cwcrash.PartTrait(part.ID))
	}
}

// suspects returns the traits of a request under which an endpoint ended, with their names: its
// identity and the parts of its prompt.
func (g *Gate) suspects(r *routedRequest) []cwcrash.Suspect {
	same := g.sameRequest(r)
	identity := same.Identity()
	suspects := identity.Suspects(r.route.Name, same.PathTrait())
	if r.Prompt == nil {
		return suspects
	}
	spelled := strings.Split(r.Prompt.SpelledParts, ",")
	for i := range len(r.Prompt.Parts) - 1 {
		name, _, _ := strings.Cut(strings.TrimSpace(spelled[i]), ":")
		suspects = append(suspects, cwcrash.Suspect{Trait: cwcrash.PartTrait(r.Prompt.Parts[i].ID), Name: "prompt part " + name, IsFirstPart: i == 0})
	}
	return suspects
}

// identity returns the traits by which another request can be the same as this one.
func (g *Gate) identity(r *routedRequest) cwcrash.Identity {
	same := g.sameRequest(r)
	return same.Identity()
}

func (g *Gate) sameRequest(r *routedRequest) cwcrash.Request {
	return cwcrash.Request{
		Method: r.Method, Host: r.Host, Path: r.Path, Query: r.Query, Body: r.body,
		Header: r.Header, IsPerAttempt: g.codec.IsPerAttempt, Account: r.accountName(), CallerIP: r.CallerIP,
	}
}

// relevantTraits returns the traits of the request that evidence may exist about. The identity,
// for which the whole body is read, is one of them only if an endpoint ended under a request with
// the same path.
func (g *Gate) relevantTraits(r *routedRequest) []cwcrash.Trait {
	if r.hasIdentity || g.crashes.IsEmpty() {
		return r.traits
	}
	same := g.sameRequest(r)
	if g.crashes.HasPath(same.PathTrait()) {
		identity := same.Identity()
		r.traits, r.hasIdentity = append(r.traits, identity[:]...), true
	}
	return r.traits
}

// findBlock returns the block that refuses the request, nil if there is none.
func (g *Gate) findBlock(routed *routedRequest) *cwcrash.Block {
	if g.crashes.IsEmpty() {
		return nil
	}
	b := g.crashes.Match(g.relevantTraits(routed))
	if b != nil {
		g.crashes.RecordRefusal(b, time.Now())
	}
	return b
}

// refuseBlocked ends a request that a block refuses.
func (g *Gate) refuseBlocked(ctx context.Context, routed *routedRequest, b *cwcrash.Block) {
	if !routed.isNotRun() || routed.responder.hasBegun || routed.errorResponse != nil {
		g.finishFailed(ctx, routed, result{err: errBlocked})
		return
	}
	g.metrics.countRefusal(reasonBlocked)
	g.writeRefusal(routed.Request, routed.responder, newNotRunRefusal(reasonBlocked, blockedRetryAfter))
	g.Log.Info("request refused", zap.String("request", routed.ID), zap.String("route", routed.route.Name), zap.String("service", routed.service),
		zap.String("reason", reasonBlocked), zap.Strings("traits", b.Names), routed.accountField(), zap.Int("attempts", routed.attempts), zap.Bool("relayed", routed.IsRelayed))
}

// reasonBlocked is the reason of refusals because such requests end endpoints.
const reasonBlocked = "endsEndpoints"

// mayEndAnother reports whether the request may be sent to another endpoint, with regard to
// those that ended under it.
func (g *Gate) mayEndAnother(routed *routedRequest) bool {
	return routed.ends == 0 || routed.ends < maxEndsOfRequest && !g.crashes.IsSuspect(g.relevantTraits(routed))
}

// mayHaveCausedEnd reports whether the request may be the cause if its endpoint has just ended:
// such requests end it when it begins to answer. The caller holds mu.
func (a *attempt) mayHaveCausedEnd(now time.Time) bool {
	return a.firstEventAt.IsZero() || now.Sub(a.firstEventAt) < survivalTime
}

// probeEndpoint opens a new connection to an endpoint whose response was interrupted, and
// marks the endpoint unreachable if that fails. An endpoint that refuses has ended, which is
// recorded. Nothing is done for a relayed request, or if the caller or the deadline ended the
// attempt. The result of the dial is sent on the channel.
func (a *attempt) probeEndpoint(ctx context.Context, dial func(ctx context.Context, maxConns int) error) <-chan error {
	dialed := make(chan error, 1)
	cause := context.Cause(ctx)
	if a.placement == nil || cause != nil && !errors.Is(cause, errStalled) {
		dialed <- errNotDialed
		close(dialed)
		return dialed
	}
	dialedAt := time.Now()
	a.mu.Lock()
	isSuspect := a.mayHaveCausedEnd(dialedAt)
	a.mu.Unlock()
	ended := make(chan bool, 1)
	if isSuspect && cause == nil {
		a.endCheck = ended
	}
	a.Go("probeEndpoint", func() {
		defer close(ended)
		defer close(dialed)
		err := dial(context.WithoutCancel(ctx), a.maxConns(a.req.service))
		defer func() { dialed <- err }()
		if err == nil || errors.Is(err, cwconn.ErrConnLimit) {
			return
		}
		isRefused := !errors.Is(err, cwconn.ErrNoAnswer)
		hasEnded := a.recordLost(dialedAt, isRefused)
		a.logEndpointLost(hasEnded && isSuspect, err)
		if hasEnded && isSuspect {
			a.crashes.RecordEnd(cwcrash.Event{ID: a.endID(), Request: hashRequestID(a.req.ID), At: time.Now()}, a.suspects(a.req))
		}
		ended <- hasEnded
	})
	return dialed
}

// recordLost records that the endpoint could not be reached, and reports whether it has ended
// without being asked to.
func (a *attempt) recordLost(dialedAt time.Time, isRefused bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	endpoint := a.placement.Endpoint
	isCurrent := endpoint.ID == a.placement.EndpointID && endpoint.StartedAtMillis == a.placement.StartedAtMillis
	hasEnded := isRefused && isCurrent && !endpoint.HasStartedDraining() && a.findEndpoint(endpoint.ID) == endpoint
	if isRefused {
		endpoint.MarkUnreachable(time.Now())
	} else {
		endpoint.MarkSilent(dialedAt, time.Now())
	}
	a.startRedialing(endpoint, a.req.service)
	return hasEnded
}

// endID identifies the end of the endpoint's incarnation among all instances.
func (a *attempt) endID() uint32 {
	return uint32(xxhash.Sum64String(a.placement.EndpointID) + uint64(a.placement.StartedAtMillis))
}

func hashRequestID(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// outlivesResponse reports whether the endpoint goes on after a response whose end is that of its
// connection. Nothing else tells a whole response from one that was cut by the end of the endpoint: one
// that doesn't answer, or that was asked to leave, may have ended too.
func (a *attempt) outlivesResponse(ctx context.Context) bool {
	if a.placement == nil {
		return true // instances mark the ends of their responses
	}
	err := <-a.probeEndpoint(ctx, func(ctx context.Context, maxConns int) error {
		return a.conns.Reach(ctx, a.address, maxConns, cwconn.DialTimeout, outlivingTime)
	})
	a.awaitEndCheck(result{})
	return err == nil
}

// preconnect opens a connection to the endpoint for the next request.
func (a *attempt) preconnect(ctx context.Context, maxConns int) error {
	return a.conns.Preconnect(ctx, a.address, maxConns, cwconn.DialTimeout)
}

// awaitEndCheck reports whether an endpoint ended under the attempt that the request may have
// ended. For a relayed request the exit knows that; here each response that was broken off
// counts.
func (a *attempt) awaitEndCheck(r result) bool {
	if a.exitDomain != "" {
		return r.isBrokenOff
	}
	if a.endCheck == nil {
		return a.hasEndedPlace
	}
	timer := time.NewTimer(endNoticeTime)
	defer timer.Stop()
	select {
	case a.hasEndedPlace = <-a.endCheck:
	case <-timer.C:
	}
	a.endCheck = nil
	return a.hasEndedPlace
}

// recordSurvival records that the request did not end its endpoint.
func (a *attempt) recordSurvival() {
	if a.placement == nil || a.hasSurvived {
		return
	}
	a.hasSurvived = true
	if traits := a.relevantTraits(a.req); len(traits) > 0 {
		a.crashes.RecordSurvival(hashRequestID(a.req.ID), traits, time.Now())
	}
}

// logBlocks logs the blocks that have begun or ended, and counts them.
func (g *Gate) logBlocks(begun, ended []*cwcrash.Block) {
	for _, b := range begun {
		g.metrics.blocks.Inc(1)
		var ends []string
		for _, e := range b.Ends {
			ends = append(ends, formatEnd(e.ID)+" "+time.Since(e.At).Round(time.Millisecond).String())
		}
		g.Log.Warn("requests blocked that end endpoints", zap.Strings("traits", b.Names), zap.Strings("ends", ends), zap.Int("survivals", b.Survivals))
	}
	for _, b := range ended {
		g.Log.Info("requests no longer blocked", zap.Strings("traits", b.Names))
	}
}
