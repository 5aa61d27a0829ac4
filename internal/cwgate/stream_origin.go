package cwgate

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwroute"
	"github.com/clementinewell/clementinewell/internal/cwstream"
)

// StreamFinder asks other instances about streams.
type StreamFinder interface {
	// FindStream returns the record of a stream, and what the other instances answered.
	FindStream(ctx context.Context, id cwstream.ID) (cwstream.Record, cwstream.Inquiry)
}

// VersionHistory tells which software versions the endpoints of a service have had.
type VersionHistory interface {
	// SoleVersion returns the only one since the given time before now, or why it is not known.
	SoleVersion(ctx context.Context, service string, window time.Duration) (string, cwpublished.VersionDoubt)
}

var errOtherOrigin = errors.New("the stream was begun by another software version or service")

// streamID identifies the stream of the request, which another attempt of the caller may have
// begun.
func (r *routedRequest) streamID() cwstream.ID {
	if r.Resumes != "" {
		return cwstream.NewID(r.Resumes)
	}
	return cwstream.NewID(r.ID)
}

// bindTakenUpStream determines the origin of a stream that the caller takes up. It returns a
// refusal if the origin is not known, or if the route no longer leads to its service: nothing else
// may go on with the stream.
func (g *Gate) bindTakenUpStream(ctx context.Context, routed *routedRequest) *Refusal {
	if routed.route.Kind != cwroute.Stream || !routed.takesUpStream() && !routed.Origin.IsKnown() {
		return nil
	}
	isOutOfStep := g.isOutOfStep()
	routed.hasOrigin, routed.origin = true, routed.Origin
	if !routed.IsRelayed {
		routed.origin = g.findOrigin(ctx, routed, isOutOfStep)
	} else if isOutOfStep {
		g.askForStream(ctx, routed)
	}
	switch {
	case !routed.origin.IsKnown() && routed.versionDoubt.IsTemporary():
		refusal := newNotRunRefusal("streamUnknown", revisionWait)
		return &refusal
	case !routed.origin.IsKnown():
		refusal := newNotRunRefusal("streamUnknown", 0)
		return &refusal
	case isOutOfStep && !g.state.Await(ctx, routed.inquiry.Revision, revisionWait):
		refusal := newNotRunRefusal("stateBehind", revisionWait)
		return &refusal
	case !routed.route.LeadsTo(routed.origin.Service):
		refusal := newNotRunRefusal("noVersion", 0)
		return &refusal
	}
	return nil
}

// findOrigin returns the origin of a stream that the caller takes up, as this instance or others
// know it. Others are asked in any case if this instance is out of step, or has only observed the
// stream.
func (g *Gate) findOrigin(ctx context.Context, routed *routedRequest, isOutOfStep bool) cwstream.Origin {
	now := time.Now()
	record, isKnown := g.streams.Find(routed.streamID(), now)
	if !isKnown {
		routed.absence = g.streams.ExplainAbsence(routed.streamID(), now)
	}
	var found cwstream.Record
	if !isKnown || isOutOfStep || record.IsObserved {
		found = g.askForStream(ctx, routed)
	}
	if isKnown && record.IsObserved {
		record, isKnown = g.compareObserved(routed, record, found)
	}
	switch {
	case isKnown:
		g.metrics.countTakenUp("own")
		return record.Origin
	case routed.inquiry.IsFound:
		g.streams.Merge([]cwstream.Record{found}, time.Now())
		g.metrics.countTakenUp("peer")
		return found.Origin
	}
	if origin := g.findSoleOrigin(ctx, routed); origin.IsKnown() {
		g.metrics.countTakenUp("soleVersion")
		return origin
	}
	g.metrics.countTakenUp("unknown")
	return cwstream.Origin{}
}

// removalMargin is how long an endpoint may get new streams after its entry was removed. The platform
// allows 4 s.
const removalMargin = 4 * time.Second

// findSoleOrigin returns the origin of a stream that nobody knows if it can have only one: the route
// leads to one service, whose endpoints have had one software version since before the stream began.
func (g *Gate) findSoleOrigin(ctx context.Context, routed *routedRequest) cwstream.Origin {
	if g.VersionHistory == nil || routed.absence == cwstream.Uncertain || routed.inquiry.IsContradicted || routed.inquiry.IsUncertain {
		return cwstream.Origin{}
	}
	service := routed.route.SoleService()
	if service == "" {
		routed.versionDoubt = cwpublished.SeveralVersions
		return cwstream.Origin{}
	}
	g.mu.Lock()
	longest := max(g.longestStream(service), routed.Timeout)
	g.mu.Unlock()
	version, doubt := g.VersionHistory.SoleVersion(ctx, service, longest+removalMargin)
	routed.versionDoubt = doubt
	if doubt != "" {
		return cwstream.Origin{}
	}
	g.Log.Info("origin of a stream derived from the only version", zap.String("request", routed.ID), zap.String("resumes", routed.Resumes),
		zap.String("service", service), zap.String("version", version))
	return cwstream.Origin{Service: service, Version: version}
}

// compareObserved compares what this instance has observed of a stream with what others found. It
// returns false if they contradict each other.
func (g *Gate) compareObserved(routed *routedRequest, own, found cwstream.Record) (cwstream.Record, bool) {
	switch {
	case routed.inquiry.IsFound && !found.IsObserved:
		g.streams.Merge([]cwstream.Record{found}, time.Now())
		return found, true
	case routed.inquiry.IsContradicted, routed.inquiry.IsFound && found.Origin != own.Origin:
		g.streams.Forget(own.ID)
		routed.absence, routed.inquiry.IsFound = cwstream.Uncertain, false
		return cwstream.Record{}, false
	}
	return own, true
}

// askForStream asks other instances about the stream that the caller takes up.
func (g *Gate) askForStream(ctx context.Context, routed *routedRequest) cwstream.Record {
	if g.StreamFinder == nil {
		return cwstream.Record{}
	}
	var found cwstream.Record
	found, routed.inquiry = g.StreamFinder.FindStream(ctx, routed.streamID())
	return found
}

// beginStream is called before the first event of a stream is sent: from here on the stream goes on
// only at its origin.
func (a *attempt) beginStream(head ResponseHead) {
	routed, now := a.req, time.Now()
	if !routed.hasOrigin {
		a.setOrigin(a.originOf(head, now))
	}
	a.streams.Begin(cwstream.Record{ID: routed.streamID(), Origin: routed.origin, ExpiresAt: routed.callerDeadline()}, now)
	if routed.IsRelayed {
		a.codec.EncodeOrigin(routed.responder.Header(), routed.origin)
	}
}

// setOrigin sets where the stream goes on. An attempt that begins at another place reads it.
func (a *attempt) setOrigin(o cwstream.Origin) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.req.hasOrigin, a.req.origin = true, o
}

// isOtherOrigin reports whether the response is not by what began the stream, or that is unknown.
func (a *attempt) isOtherOrigin(head ResponseHead) bool {
	return a.req.hasOrigin && (!a.req.origin.IsKnown() || a.originOf(head, time.Now()) != a.req.origin)
}

// originOf returns what serves the stream of the attempt. It is unknown if the endpoint has been
// replaced by one of another version under the same identifier, or may have been since its entry
// was read: either may have answered.
func (a *attempt) originOf(head ResponseHead, now time.Time) cwstream.Origin {
	if a.placement == nil {
		return head.Origin
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sync(now)
	sentBy := now
	if !a.firstEventAt.IsZero() {
		sentBy = a.firstEventAt
	}
	if e := a.pools[a.req.service].Endpoint(a.placement.EndpointID); e != nil && (e.Version != a.placement.Version || e.MayHaveRestartedBy(sentBy, now)) {
		return cwstream.Origin{}
	}
	return cwstream.Origin{Service: a.req.service, Version: a.placement.Version}
}

// confirmOrigin forgets the origin of a stream that has broken off if it has become uncertain since
// the first event.
func (a *attempt) confirmOrigin() {
	routed := a.req
	if a.placement == nil || !routed.hasOrigin || !routed.origin.IsKnown() {
		return
	}
	if !a.originOf(ResponseHead{}, time.Now()).IsKnown() {
		a.setOrigin(cwstream.Origin{})
		a.streams.Forget(routed.streamID())
	}
}

// callerDeadline returns when the caller gives up all its attempts.
func (r *routedRequest) callerDeadline() time.Time {
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	return r.ArrivedAt.Add(timeout)
}

// limitToOrigin extends wasTried, of endpoints and domains, by the places that can't go on with the
// stream of the request. The caller holds mu.
func (g *Gate) limitToOrigin(routed *routedRequest, wasTried func(name string) bool) (wasEndpointTried, wasDomainTried func(name string) bool) {
	if !routed.hasOrigin {
		return wasTried, wasTried
	}
	pool, regions := g.pools[routed.service], g.originRegions.of(routed.origin)
	now := time.Now()
	wasEndpointTried = func(id string) bool {
		e := pool.Endpoint(id)
		return wasTried(id) || e == nil || e.Version != routed.origin.Version || e.MayHaveRestarted(now)
	}
	wasDomainTried = func(domain string) bool {
		return wasTried(domain) || !slices.Contains(regions, g.site.RegionByDomain[domain])
	}
	return wasEndpointTried, wasDomainTried
}

// isVersionGone reports whether no region has an endpoint that may go on with the stream.
func (g *Gate) isVersionGone(routed *routedRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return routed.hasOrigin && len(g.originRegions.of(routed.origin)) == 0
}
