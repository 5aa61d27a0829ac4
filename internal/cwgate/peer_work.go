package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// syncPeerWork passes the combined reports of the other instances of the region to the
// endpoints. Prompt parts are taken only from reports that were not used before.
func (g *Gate) syncPeerWork(now time.Time) {
	totals := make(map[string]*peerWork)
	cutOff := make(map[string]bool)
	for i := range g.snapshot.Members {
		if m := &g.snapshot.Members[i]; m.IsCutOff {
			cutOff[m.PeerAddress] = true
		}
	}
	reporting, hasNewCold := 0, false
	for address, peer := range g.snapshot.PeerWork {
		g.mergeRateLimits(&peer, now)
		g.mergeLeaving(&peer)
		if now.Sub(peer.ReportedAt) > maxPeerWorkAge {
			continue
		}
		reporting++
		isNew := peer.ReportedAt.After(g.peerWorkAt[address])
		g.peerWorkAt[address] = peer.ReportedAt
		for i := range peer.EndpointWork {
			w := peer.EndpointWork[i] // a copy: snapshots are shared
			cutOffAt := time.Time{}
			if cutOff[address] {
				cutOffAt, w.UnreachableAt, w.FailureRate = w.UnreachableAt, time.Time{}, 0
				if g.reach.HasReachedSince(cutOffAt.Add(-cwplacement.MaxSoundSilence)) {
					// The failures are those of the peer's links.
					cutOffAt = time.Time{}
				}
			}
			hasNewCold = g.extendColdPeriod(w.Endpoint, w.ColdUntil) || hasNewCold
			if totals[w.Endpoint] == nil {
				totals[w.Endpoint] = &peerWork{}
			}
			totals[w.Endpoint].add(&w, cutOffAt, peer.ReportedAt)
			if isNew {
				totals[w.Endpoint].promptParts = append(totals[w.Endpoint].promptParts, w.PromptParts...)
			}
		}
	}
	if hasNewCold {
		g.syncEndpoints(now)
	}
	coverage := g.reportCoverage(reporting, now)
	for _, p := range g.pools {
		for id, e := range p.Endpoints() {
			total := totals[id]
			if total == nil {
				e.SetPeerReport(cwplacement.PeerReport{}, now)
				continue
			}
			total.Coverage = coverage
			e.SetPeerReport(total.PeerReport, now)
			e.AddPeerParts(toPlacementParts(total.promptParts))
			e.Suspect(total.unreachableAt, total.cutOffUnreachableAt)
		}
	}
}

// reportCoverage returns the share of the other usable instances of the region that have reported
// their work lately.
func (g *Gate) reportCoverage(reporting int, now time.Time) float64 {
	others := 0
	for i := range g.snapshot.Members {
		m := &g.snapshot.Members[i]
		if m.Region == g.site.Region && m.Incarnation != 0 && !m.IsLeaving && m.IsUsable(now, cwpolicy.MemberContactTimeout) {
			others++
		}
	}
	if others == 0 {
		return 1
	}
	return min(float64(reporting)/float64(others), 1)
}

// peerWork combines the reports of the other instances about an endpoint.
type peerWork struct {
	cwplacement.PeerReport
	promptParts []cwcontrol.PromptPart
	// unreachableAt is when one of them last failed to reach it, cutOffUnreachableAt when one did
	// that is cut off from all endpoints.
	unreachableAt, cutOffUnreachableAt time.Time
}

func (p *peerWork) add(w *cwcontrol.EndpointWork, cutOffAt, at time.Time) {
	p.Work = p.Work.Add(toPlacementWork(w))
	p.FailureRate = max(p.FailureRate, w.FailureRate)
	p.PromptSpeed, p.EventRate = p.PromptSpeed.Add(cwplacement.Measurement(w.PromptSpeed)), p.EventRate.Add(cwplacement.Measurement(w.EventRate))
	if w.UnreachableAt.After(p.unreachableAt) {
		p.unreachableAt = w.UnreachableAt
	}
	if cutOffAt.After(p.cutOffUnreachableAt) {
		p.cutOffUnreachableAt = cutOffAt
	}
	if at.After(p.At) {
		p.At = at
	}
}

func toPlacementParts(parts []cwcontrol.PromptPart) []cwplacement.PromptPart {
	converted := make([]cwplacement.PromptPart, len(parts))
	for i, p := range parts {
		converted[i] = cwplacement.PromptPart{ID: p.ID, Tokens: p.Tokens}
	}
	return converted
}

func toControlParts(parts []cwplacement.PromptPart) []cwcontrol.PromptPart {
	converted := make([]cwcontrol.PromptPart, len(parts))
	for i, p := range parts {
		converted[i] = cwcontrol.PromptPart{ID: p.ID, Tokens: p.Tokens}
	}
	return converted
}

// Indexes of queued tokens in a report. Instances of earlier versions know the first three only.
const (
	reportedUrgent = iota
	reportedNormal
	reportedLate
	// reportedUrgentLight and reportedNormalLight are parts of reportedUrgent and reportedNormal.
	reportedUrgentLight
	reportedNormalLight
	reportedBands
)

func toPlacementWork(w *cwcontrol.EndpointWork) cwplacement.Work {
	var reported [reportedBands]float64
	for i := range min(len(w.QueuedTokens), len(reported)) {
		reported[i] = float64(w.QueuedTokens[i])
	}
	work := cwplacement.Work{HeldTokens: w.HeldTokens, InFlight: w.InFlight}
	work.QueuedTokens[cwplacement.UrgentLight] = reported[reportedUrgentLight]
	work.QueuedTokens[cwplacement.Urgent] = reported[reportedUrgent] - reported[reportedUrgentLight]
	work.QueuedTokens[cwplacement.NormalLight] = reported[reportedNormalLight]
	work.QueuedTokens[cwplacement.Normal] = reported[reportedNormal] - reported[reportedNormalLight]
	work.QueuedTokens[cwplacement.Late] = reported[reportedLate]
	return work
}

func toQueuedTokens(w cwplacement.Work) []float32 {
	queued := &w.QueuedTokens
	tokens := make([]float32, reportedBands)
	tokens[reportedUrgent] = float32(queued[cwplacement.UrgentLight] + queued[cwplacement.Urgent])
	tokens[reportedNormal] = float32(queued[cwplacement.NormalLight] + queued[cwplacement.Normal])
	tokens[reportedLate] = float32(queued[cwplacement.Late])
	tokens[reportedUrgentLight] = float32(queued[cwplacement.UrgentLight])
	tokens[reportedNormalLight] = float32(queued[cwplacement.NormalLight])
	return tokens
}

// maxPeerWorkAge is the age above which a peer's report is not combined with the others. It
// covers several exchanges.
const maxPeerWorkAge = 2 * time.Second
