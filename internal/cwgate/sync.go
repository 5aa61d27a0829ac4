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
	// ownerSilenceLimit is how long a silent instance still counts as the owner of cold
	// endpoints: it may only be cut off from this one, and still use them.
	ownerSilenceLimit = 30 * time.Second
	// ownershipDelay is the time after the start in which an instance owns no cold
	// endpoint, since it may not know the other instances yet.
	ownershipDelay = 3 * time.Second
)

// coldPeriod is how long an endpoint is cold, by the entry that said so.
type coldPeriod struct {
	revision uint64
	until    time.Time
}

// sync takes over what changed in the published state and in control. The caller
// holds mu.
func (g *Gate) sync(now time.Time) {
	view, snapshot := g.state.View(), g.control.Snapshot()
	viewed := g.view == nil || view.Generation != g.view.Generation
	heard := g.snapshot == nil || snapshot.Generation != g.snapshot.Generation
	if !viewed && !heard {
		return
	}
	g.view, g.snapshot = view, snapshot
	if viewed || g.hasColdEndpoint(now) {
		g.syncEndpoints(now)
	}
	if heard {
		g.syncExitAddresses(now)
	}
	g.syncPeerWork(now)
}

func (g *Gate) hasColdEndpoint(now time.Time) bool {
	for _, span := range g.coldPeriods {
		if now.Before(span.until) {
			return true
		}
	}
	return false
}

func (g *Gate) syncEndpoints(now time.Time) {
	for id, r := range g.view.Endpoints {
		if g.site.RegionOf[r.Domain] != g.site.Region {
			continue
		}
		service, known := g.service(r.Service)
		if !known {
			continue
		}
		p := g.pools[r.Service]
		if p == nil {
			p = cwplacement.NewPool(service, g.site.Domain, g.rng)
			g.pools[r.Service] = p
		}
		service.ColdRate = g.coldRate(service.ColdRate)
		p.Service = service
		e := p.Register(r.Endpoint, g.site.Region, g.ownsCold(id, r.Domain, now), r.ReadAt, g.coldUntil(id, r))
		e.IsEvacuated = g.view.EvacuatedDomains[r.Domain]
	}
	for name, p := range g.pools {
		p.Retain(func(id string) bool { return g.view.Endpoints[id].Service == name })
	}
	for id := range g.coldPeriods {
		if _, known := g.view.Endpoints[id]; !known {
			delete(g.coldPeriods, id)
		}
	}
}

func (g *Gate) service(name string) (cwroute.Service, bool) {
	if g.view.Config == nil {
		return cwroute.Service{}, false
	}
	s, ok := g.view.Config.Services[name]
	return s, ok
}

// coldUntil returns when the endpoint stops being cold. The entry's figure counts
// from the moment at which this instance read it.
func (g *Gate) coldUntil(id string, r cwpublished.Registration) time.Time {
	span := g.coldPeriods[id]
	if span.revision != r.Revision {
		span = coldPeriod{revision: r.Revision, until: r.ReadAt.Add(r.ColdRemaining)}
		g.coldPeriods[id] = span
	}
	return span.until
}

// maxColdOwners is the number of instances that may think at the same time that a cold
// endpoint is theirs, while their views of each other differ.
const maxColdOwners = 2

// coldRate returns the rate at which an owner may use a cold endpoint, so that even
// two of them keep the bound of any one second: each sends one request at once and
// the others at the rate.
func (g *Gate) coldRate(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	most := rate * max(g.bounds.ColdOverage, 1)
	return min(max((most+g.bounds.ColdSlack)/maxColdOwners-1, 0), most)
}

// ownsCold reports whether this instance is the one that may use the endpoint while
// it is cold. Only those of its failure domain may: they know each other best.
func (g *Gate) ownsCold(id, domain string, now time.Time) bool {
	if domain != g.site.Domain || now.Sub(g.startedAt) < ownershipDelay {
		return false
	}
	own := rendezvousScore(id, g.snapshot.Self.PeerAddress)
	for i := range g.snapshot.Members {
		m := &g.snapshot.Members[i]
		if m.Domain != domain || m.IsLeaving || now.Sub(m.LastContactAt) > ownerSilenceLimit {
			continue
		}
		if rendezvousScore(id, m.PeerAddress) > own {
			return false
		}
	}
	return true
}

func rendezvousScore(id, address string) uint64 {
	return xxhash.Sum64String(id + " " + address)
}

// syncPeerWork adds up what the other instances of the region have at each endpoint.
func (g *Gate) syncPeerWork(now time.Time) {
	sums := make(map[string]*peerWork)
	for address, peer := range g.snapshot.PeerWork {
		if now.Sub(peer.ReportedAt) > maxPeerWorkAge {
			continue
		}
		news := peer.ReportedAt.After(g.peerWorkAt[address])
		g.peerWorkAt[address] = peer.ReportedAt
		for i := range peer.EndpointWork {
			w := &peer.EndpointWork[i]
			if sums[w.Endpoint] == nil {
				sums[w.Endpoint] = &peerWork{}
			}
			sums[w.Endpoint].add(w, peer.ReportedAt)
			if news {
				sums[w.Endpoint].promptParts = append(sums[w.Endpoint].promptParts, w.PromptParts...)
			}
		}
	}
	for _, p := range g.pools {
		for id, e := range p.Endpoints() {
			s := sums[id]
			if s == nil {
				e.SetPeerReport(cwplacement.PeerReport{}, now)
				continue
			}
			e.SetPeerReport(s.PeerReport, now)
			e.AddPeerParts(toPlacementParts(s.promptParts))
			e.Suspect(s.unreachableAt)
		}
	}
}

// peerWork is what the other instances together have at an endpoint.
type peerWork struct {
	cwplacement.PeerReport
	promptParts []cwcontrol.PromptPart
	// unreachableAt is when one of them could last not reach it.
	unreachableAt time.Time
}

func (o *peerWork) add(w *cwcontrol.EndpointWork, at time.Time) {
	o.Work = o.Work.Add(toPlacementWork(w))
	o.FailureRate = max(o.FailureRate, w.FailureRate)
	o.PromptSpeed, o.EventRate = o.PromptSpeed.Add(cwplacement.Measurement(w.PromptSpeed)), o.EventRate.Add(cwplacement.Measurement(w.EventRate))
	if w.UnreachableAt.After(o.unreachableAt) {
		o.unreachableAt = w.UnreachableAt
	}
	if at.After(o.At) {
		o.At = at
	}
}

func toPlacementParts(parts []cwcontrol.PromptPart) []cwplacement.PromptPart {
	list := make([]cwplacement.PromptPart, len(parts))
	for i, p := range parts {
		list[i] = cwplacement.PromptPart{ID: p.ID, Tokens: p.Tokens}
	}
	return list
}

func toControlParts(parts []cwplacement.PromptPart) []cwcontrol.PromptPart {
	list := make([]cwcontrol.PromptPart, len(parts))
	for i, p := range parts {
		list[i] = cwcontrol.PromptPart{ID: p.ID, Tokens: p.Tokens}
	}
	return list
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

// maxPeerWorkAge is the age at which what a peer said of its work is dropped; it is a
// few exchanges long.
const maxPeerWorkAge = 2 * time.Second

// Capacities returns what the endpoints of each service in the own domain can take.
func (g *Gate) Capacities() []cwcontrol.PeerCapacity {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(now)
	rooms := make([]cwcontrol.PeerCapacity, 0, len(g.pools))
	for name, p := range g.pools {
		rooms = append(rooms, cwcontrol.PeerCapacity{Pool: name, Capacity: p.Capacity(g.site.Domain, now)})
	}
	return rooms
}

// LimitDemands returns nothing: routes have no limits for accounts.
func (g *Gate) LimitDemands() []cwpolicy.LimitDemand {
	return nil
}

// TakeOverTickets refuses tickets: routed requests have none.
func (g *Gate) TakeOverTickets([]cwpolicy.TicketHandover) bool {
	return false
}

// EndpointWork returns what this instance has at each endpoint of its region.
func (g *Gate) EndpointWork() []cwcontrol.EndpointWork {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var works []cwcontrol.EndpointWork
	for _, p := range g.pools {
		for id, e := range p.Endpoints() {
			w, parts, failures := e.OwnWork(), e.RecentParts(now), e.FailureRate(now)
			lost := e.UnreachableAt()
			if now.Sub(lost) > unreachableReportPeriod {
				lost = time.Time{}
			}
			speed, pace := e.Measurements(now)
			if w.InFlight == 0 && len(parts) == 0 && failures < minReportedFailureRate && lost.IsZero() {
				continue
			}
			works = append(works, cwcontrol.EndpointWork{
				Endpoint: id, QueuedTokens: toQueuedTokens(w), HeldTokens: w.HeldTokens, InFlight: w.InFlight,
				PromptParts: toControlParts(parts), FailureRate: failures, UnreachableAt: lost,
				PromptSpeed: cwcontrol.Measurement(speed), EventRate: cwcontrol.Measurement(pace),
			})
		}
	}
	return works
}

// unreachableReportPeriod is how long it is told that an endpoint could not be reached.
const unreachableReportPeriod = 3 * time.Second

// minReportedFailureRate is the share of failures from which an idle endpoint is worth a
// message.
const minReportedFailureRate = 0.1
