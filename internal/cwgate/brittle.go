package cwgate

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// syncSlotOwners determines which slots of brittle endpoints this instance may use. Instances that are
// leaving keep theirs until they have ended, and those out of contact for a while. Without
// areEndpointsNew it does nothing if the members are the same as before. The caller holds mu.
func (g *Gate) syncSlotOwners(areEndpointsNew bool, now time.Time) {
	var others []string
	for i := range g.snapshot.Members {
		m := &g.snapshot.Members[i]
		if m.Region == g.site.Region && g.sharing.isUsing(m, g.bounds, now) {
			others = append(others, m.PeerAddress)
		}
	}
	if !areEndpointsNew && slices.Equal(others, g.slotMembers) {
		return
	}
	g.slotMembers = others
	for _, p := range g.pools {
		if p.IsBrittle(now) {
			p.SetSlotOwners(g.snapshot.Self.PeerAddress, others)
		}
	}
}

// recordBrittle records whether the endpoint of the attempt said that its service is brittle.
func (a *attempt) recordBrittle(head ResponseHead, sentAt time.Time) {
	if a.placement == nil || !head.IsSigned && !head.IsNotRun {
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[a.req.service]
	if p != nil && head.IsBrittle && head.IsNotRun && !head.IsOtherEndpoint {
		p.RecordBrittleRejection(now)
	}
	if p == nil || !p.RecordBrittle(head.IsBrittle, sentAt, now) {
		return
	}
	a.syncSlotOwners(true, now)
	a.Log.Info("endpoints are brittle", zap.String("service", a.req.service), zap.Bool("brittle", head.IsBrittle), zap.String("endpoint", a.placement.EndpointID))
}
