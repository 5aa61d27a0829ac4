package cwgate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

const (
	// ownerSilenceLimit is how long an instance without contact still counts as the owner
	// of cold endpoints: it may only be partitioned from this one, and still use them.
	ownerSilenceLimit = 30 * time.Second
	// ownershipDelay is the time after the start in which an instance owns no cold
	// endpoint, since its list of the other instances may be incomplete.
	ownershipDelay = 3 * time.Second
)

// coldPeriod is the time until which an endpoint is cold according to one revision of its
// published entry. A cold endpoint takes only a low rate of requests.
type coldPeriod struct {
	revision cwpublished.Revision
	until    time.Time
}

// sync applies changes of the published state and of the control state since the last call,
// and computes the shares of rate limits again when that is due. The caller holds mu.
func (g *Gate) sync(now time.Time) {
	g.syncState(now)
	if now.Sub(g.rateSharesSetAt) >= rateShareInterval {
		g.syncRateShares(now)
	}
}

func (g *Gate) syncState(now time.Time) {
	view, snapshot := g.state.View(), g.control.Snapshot()
	viewChanged := g.view == nil || view.Generation != g.view.Generation
	snapshotChanged := g.snapshot == nil || snapshot.Generation != g.snapshot.Generation
	if !viewChanged && !snapshotChanged {
		return
	}
	g.view, g.snapshot = view, snapshot
	if viewChanged {
		g.originRegions.setView(view, g.site.RegionByDomain)
	}
	if viewChanged || g.hasColdEndpoint(now) {
		g.syncEndpoints(now)
	}
	if snapshotChanged {
		g.syncExitAddresses(now)
	}
	g.syncSlotOwners(viewChanged, now)
	g.syncPeerWork(now)
}

// hasColdEndpoint reports whether any endpoint is cold. The owner of a cold endpoint can
// change with the other instances.
func (g *Gate) hasColdEndpoint(now time.Time) bool {
	for _, period := range g.coldPeriods {
		if now.Before(period.until) {
			return true
		}
	}
	return false
}

// syncEndpoints updates the pools of endpoints of the region from the published state.
func (g *Gate) syncEndpoints(now time.Time) {
	for id, r := range g.view.Endpoints {
		if !g.isInRegion(r) {
			continue
		}
		p := g.configuredPool(r.Service)
		if p == nil {
			continue
		}
		e := p.Register(r.Endpoint, g.site.Region, g.ownsCold(id, r.Domain, now), r.ReadAt, g.coldUntil(id, r))
		e.IsEvacuated = g.view.EvacuatedDomains[r.Domain]
	}
	for name, p := range g.pools {
		p.Retain(func(id string) bool { r := g.view.Endpoints[id]; return r.Service == name && g.isInRegion(r) })
	}
	for id := range g.coldPeriods {
		if _, known := g.view.Endpoints[id]; !known {
			delete(g.coldPeriods, id)
		}
	}
}

// configuredPool returns the pool of a service with the service's configuration. A service
// that was removed keeps its last one for the requests that began before; nil if there was none.
func (g *Gate) configuredPool(name string) *cwplacement.Pool {
	p := g.pools[name]
	service, known := g.service(name)
	if !known {
		if p == nil || p.Service.Name == "" {
			return nil
		}
		return p
	}
	if p == nil {
		p = cwplacement.NewPool(service, g.site.Domain, g.rng)
		g.pools[name] = p
	}
	service.ColdRate = g.coldRate(service.ColdRate)
	p.Service = service
	return p
}

// isInRegion reports whether an endpoint is in the region of this instance.
func (g *Gate) isInRegion(r cwpublished.Registration) bool {
	return g.site.RegionByDomain[r.Domain] == g.site.Region
}

// service returns the configuration of a service; false if there is none.
func (g *Gate) service(name string) (cwroute.Service, bool) {
	if g.view.Config == nil {
		return cwroute.Service{}, false
	}
	s, ok := g.view.Config.Services[name]
	return s, ok
}

// coldUntil returns when the endpoint stops being cold. The remaining time in the entry is
// added to the time at which this instance read that revision of the entry.
func (g *Gate) coldUntil(id string, r cwpublished.Registration) time.Time {
	period := g.coldPeriods[id]
	if period.revision != r.Revision {
		period = coldPeriod{revision: r.Revision, until: r.ReadAt.Add(r.ColdRemaining)}
		g.coldPeriods[id] = period
	}
	return period.until
}

// maxColdOwners is the number of instances that may own a cold endpoint at the same time,
// while their lists of each other differ.
const maxColdOwners = 2

// coldRate returns the rate, in requests per second, at which an owner may send requests to
// a cold endpoint with the configured rate. Even maxColdOwners owners then stay within the
// bound for any one second, in which each sends one request at once and further ones at
// this rate.
func (g *Gate) coldRate(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	maxRate := rate * max(g.bounds.ColdOverage, 1)
	return min(max((maxRate+g.bounds.ColdSlack)/maxColdOwners-1, 0), maxRate)
}

// ownsCold reports whether this instance owns the endpoint, that is may use it while it is
// cold. The owner is the instance with the highest rendezvous score in the endpoint's
// failure domain, since instances of one domain have the most accurate lists of each other.
func (g *Gate) ownsCold(id, domain string, now time.Time) bool {
	if domain != g.site.Domain || now.Sub(g.startedAt) < ownershipDelay {
		return false
	}
	ownScore := rendezvousScore(id, g.snapshot.Self.PeerAddress)
	for i := range g.snapshot.Members {
		m := &g.snapshot.Members[i]
		if m.Domain != domain || m.IsLeaving || now.Sub(m.LastContactAt) > ownerSilenceLimit {
			continue
		}
		if rendezvousScore(id, m.PeerAddress) > ownScore {
			return false
		}
	}
	return true
}

// rendezvousScore returns the score of an address for rendezvous hashing by id.
func rendezvousScore(id, address string) uint64 {
	return xxhash.Sum64String(id + " " + address)
}

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
	reporting := 0
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
			if totals[w.Endpoint] == nil {
				totals[w.Endpoint] = &peerWork{}
			}
			totals[w.Endpoint].add(&w, cutOffAt, peer.ReportedAt)
			if isNew {
				totals[w.Endpoint].promptParts = append(totals[w.Endpoint].promptParts, w.PromptParts...)
			}
		}
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

func toPlacementWork(w *cwcontrol.EndpointWork) cwplacement.Work {
	work := cwplacement.Work{HeldTokens: w.HeldTokens, InFlight: w.InFlight}
	for band := range min(len(w.QueuedTokens), len(work.QueuedTokens)) {
		work.QueuedTokens[band] = float64(w.QueuedTokens[band])
	}
	return work
}

func toQueuedTokens(w cwplacement.Work) []float32 {
	tokens := make([]float32, len(w.QueuedTokens))
	for band, n := range w.QueuedTokens {
		tokens[band] = float32(n)
	}
	return tokens
}

// maxPeerWorkAge is the age above which a peer's report is not combined with the others. It
// covers several exchanges.
const maxPeerWorkAge = 2 * time.Second

// Capacities returns the free capacity of each service's endpoints in this instance's
// domain.
func (g *Gate) Capacities() []cwcontrol.PeerCapacity {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(now)
	capacities := make([]cwcontrol.PeerCapacity, 0, len(g.pools))
	for name, p := range g.pools {
		capacities = append(capacities, cwcontrol.PeerCapacity{Pool: name, Capacity: p.Capacity(g.site.Domain, now)})
	}
	return capacities
}

// LimitDemands returns the rate of requests at this instance for each service with an
// endpoint that names a rate limit. Routes have no limits for client accounts.
func (g *Gate) LimitDemands() []cwpolicy.LimitDemand {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var demands []cwpolicy.LimitDemand
	for name, p := range g.pools {
		if p.HasRateLimits() {
			demands = append(demands, cwpolicy.LimitDemand{Key: cwpolicy.LimitKey{Service: name}, RequestsPerSecond: p.ArrivalsPerSecond(now)})
		}
	}
	return demands
}

// TakeOverTickets refuses all tickets, since routed requests have none.
func (g *Gate) TakeOverTickets([]cwpolicy.TicketHandover) bool {
	return false
}

// EndpointWork returns the work of this instance at each endpoint of its region, with its
// measurements there, for the other instances. It omits idle endpoints without recent prompt
// parts, failures and statements.
func (g *Gate) EndpointWork() []cwcontrol.EndpointWork {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var endpointWork []cwcontrol.EndpointWork
	for _, p := range g.pools {
		for id, e := range p.Endpoints() {
			w, parts, failureRate := e.OwnWork(), e.RecentParts(now), e.FailureRate(now)
			unreachableAt := e.UnreachableAt()
			if now.Sub(unreachableAt) > unreachableReportPeriod {
				unreachableAt = time.Time{}
			}
			promptSpeed, eventRate := e.Measurements(now)
			rateLimit := reportedRateLimit(e, now)
			if w.InFlight == 0 && len(parts) == 0 && failureRate < minReportedFailureRate && unreachableAt.IsZero() && rateLimit.ObservedAt.IsZero() && !e.IsLeaving() {
				continue
			}
			work := cwcontrol.EndpointWork{
				Endpoint: id, QueuedTokens: toQueuedTokens(w), HeldTokens: w.HeldTokens, InFlight: w.InFlight,
				PromptParts: toControlParts(parts), FailureRate: failureRate, UnreachableAt: unreachableAt,
				PromptSpeed: cwcontrol.Measurement(promptSpeed), EventRate: cwcontrol.Measurement(eventRate), RateLimit: rateLimit,
			}
			if e.IsLeaving() {
				work.IsLeaving, work.StartedAtMillis = true, e.StartedAtMillis
			}
			endpointWork = append(endpointWork, work)
		}
	}
	return endpointWork
}

// unreachableReportPeriod is how long a failure to reach an endpoint is reported.
const unreachableReportPeriod = 3 * time.Second

// minReportedFailureRate is the fraction of failed requests from which an idle endpoint is
// reported.
const minReportedFailureRate = 0.1
