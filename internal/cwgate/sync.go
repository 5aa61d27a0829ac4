package cwgate

import "time"

// change tells the parts of the gate what is new since they were last brought up to date.
type change struct {
	// at is the time of the update.
	at time.Time
	// isViewNew is set if the published state has changed, and isSnapshotNew if the control
	// state has.
	isViewNew, isSnapshotNew bool
}

// isAny reports whether anything has changed.
func (c change) isAny() bool {
	return c.isViewNew || c.isSnapshotNew
}

// part is state of the gate that is derived from the published state, from the control state or
// from the time.
type part interface {
	// update brings the part up to date. The caller holds the gate's mu.
	update(c change)
}

// partFunc is a part that consists of a function.
type partFunc func(c change)

func (f partFunc) update(c change) {
	f(c)
}

// newParts returns the parts in the order in which they are updated: later ones use what
// earlier ones have derived.
func (g *Gate) newParts() []part {
	return []part{
		partFunc(g.updateOriginRegions),
		partFunc(g.updateContactGap),
		partFunc(g.updateSharing),
		partFunc(g.updateEndpoints),
		partFunc(g.updateExitAddresses),
		partFunc(g.updateSlotOwners),
		partFunc(g.updatePeerWork),
		partFunc(g.updateRateShares),
		partFunc(g.updateQuotas),
	}
}

// sync brings all parts up to date. The caller holds mu.
func (g *Gate) sync(now time.Time) {
	view, snapshot := g.state.View(), g.control.Snapshot()
	c := change{
		at:            now,
		isViewNew:     g.view == nil || view.Generation != g.view.Generation,
		isSnapshotNew: g.snapshot == nil || snapshot.Generation != g.snapshot.Generation,
	}
	g.view, g.snapshot = view, snapshot
	for _, p := range g.parts {
		p.update(c)
	}
}

func (g *Gate) updateOriginRegions(c change) {
	if c.isViewNew {
		g.originRegions.setView(g.view, g.site.RegionByDomain)
	}
}

func (g *Gate) updateSharing(c change) {
	if c.isSnapshotNew {
		g.sharing.update(g.snapshot, c.at)
	}
}

func (g *Gate) updateEndpoints(c change) {
	if c.isViewNew || c.isAny() && g.hasColdEndpoint(c.at) {
		g.syncEndpoints(c.at)
	}
}

func (g *Gate) updateExitAddresses(c change) {
	if c.isSnapshotNew {
		g.syncExitAddresses(c.at)
	}
}

func (g *Gate) updateSlotOwners(c change) {
	if c.isAny() {
		g.syncSlotOwners(c.isViewNew, c.at)
	}
}

func (g *Gate) updatePeerWork(c change) {
	if c.isAny() {
		g.syncPeerWork(c.at)
	}
}

func (g *Gate) updateRateShares(c change) {
	if c.at.Sub(g.rateSharesSetAt) >= rateShareInterval {
		g.syncRateShares(c.at)
	}
}
