package cwgate

import (
	"errors"
	"fmt"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

var (
	// ErrNoConfig means that the instance has no configuration yet.
	ErrNoConfig = errors.New("no configuration yet")
	// ErrNotFound means that the configuration in force has no such route or account.
	ErrNotFound = errors.New("not in the configuration in force")
	// ErrAccountNeeded means that the route needs a key, and no account was named.
	ErrAccountNeeded = errors.New("the route needs a key: name an account")
)

// Explain returns where a request would go from this instance now, and why. It sends, places and
// counts nothing.
func (g *Gate) Explain(r *ExplainedRequest, now time.Time) (*RequestExplanation, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(now)
	routed, err := g.explainedRoute(r, now)
	if err != nil {
		return nil, err
	}
	x := &RequestExplanation{
		Region: g.site.Region, Domain: g.site.Domain, Route: routed.route.Name, Service: routed.service, OtherServices: otherServices(routed.route, routed.service),
		Account: routed.accountName(), RouteHomes: append([]string{}, routed.route.Homes...), AccountHomes: []string{}, Priority: routed.priority(),
		IsCutOff: g.reach.IsCutOff(), IsLeaving: g.endsAt.Load() != nil, Inputs: g.explanationInputs(now),
	}
	if routed.account != nil {
		x.AccountHomes = append(x.AccountHomes, routed.account.Homes...)
	}
	x.Quota = g.explainQuota(routed, now)
	g.explainBlocks(x, routed, now)
	x.Placement = g.explainPlacement(routed, now)
	return x, nil
}

// explainedRoute returns the request with its route, its account and its service. The caller holds
// mu.
func (g *Gate) explainedRoute(r *ExplainedRequest, now time.Time) (*routedRequest, error) {
	config := g.view.Config
	if config == nil {
		return nil, ErrNoConfig
	}
	routed := &routedRequest{
		Request: &Request{Host: r.Host, Path: r.Path, ArrivedAt: now, Timeout: r.Timeout, Prompt: r.prompt()},
		config:  config, route: config.Match(r.Host, r.Path), responder: &responder{},
	}
	if routed.route == nil {
		return nil, fmt.Errorf("route of host %q and path %q: %w", r.Host, r.Path, ErrNotFound)
	}
	if r.Account != "" {
		if routed.account = config.Account(r.Account); routed.account == nil {
			return nil, fmt.Errorf("account %q: %w", r.Account, ErrNotFound)
		}
	}
	if routed.account == nil && config.HasAccounts() && !routed.route.IsPublic {
		return nil, fmt.Errorf("route %q: %w", routed.route.Name, ErrAccountNeeded)
	}
	routed.deadline = deadlineOf(routed.Request, routed.route)
	routed.setTraits()
	routed.service = largestShare(routed.route)
	return routed, nil
}

// largestShare returns the service with the largest share of a route, empty if it has none.
func largestShare(route *cwroute.Route) string {
	var largest cwroute.Share
	for _, s := range route.Shares {
		if largest.Service == "" || s.Weight > largest.Weight {
			largest = s
		}
	}
	return largest.Service
}

// otherServices returns the weights of the route's other services.
func otherServices(route *cwroute.Route, service string) map[string]float64 {
	others := make(map[string]float64)
	for _, s := range route.Shares {
		if s.Service != service {
			others[s.Service] += s.Weight
		}
	}
	return others
}

// explainBlocks finds the block that refuses the request, as far as that follows from its prompt.
func (g *Gate) explainBlocks(x *RequestExplanation, routed *routedRequest, now time.Time) {
	statuses := g.BlockStatuses(now)
	x.UncheckedBlocks = len(statuses)
	b := g.crashes.Match(routed.traits)
	if b == nil {
		return
	}
	id := formatTrait(b.Traits[0])
	for i := range statuses {
		if statuses[i].ID == id {
			x.Block = &statuses[i]
			x.UncheckedBlocks--
			return
		}
	}
}

// explainPlacement returns where the request would be placed. The caller holds mu.
func (g *Gate) explainPlacement(routed *routedRequest, now time.Time) cwplacement.Explanation {
	p := g.pools[routed.service]
	if p == nil {
		service, _ := g.service(routed.service)
		p = cwplacement.NewPool(service, g.site.Domain, g.rng)
	}
	request := g.placementRequest(routed, p, routed.hasTried, now)
	x := p.Explain(&request, now)
	for _, c := range g.snapshot.Capacities[routed.service] {
		if c.Region == g.site.Region {
			continue
		}
		if exclusion := g.domainExclusion(routed, &c); exclusion != "" {
			x.Domains = append(x.Domains, cwplacement.DomainCandidate{
				Domain: c.Domain, Region: c.Region, Exclusion: exclusion, SummaryAgeSeconds: now.Sub(c.ReportedAt).Seconds(), RoundTripSeconds: c.RoundTrip.Seconds(),
			})
		}
	}
	x.Limit(maxExplainedCandidates)
	return x
}

// maxExplainedCandidates bounds the endpoints and the domains of an explanation: as many as fit on
// a screen.
const maxExplainedCandidates = 25

// explanationInputs returns the versions and ages of the inputs. The caller holds mu.
func (g *Gate) explanationInputs(now time.Time) ExplanationInputs {
	inputs := ExplanationInputs{
		ConfigVersion: configVersion(g.view.Config), Revision: g.view.Revision.StoreRevision(), Era: g.view.Revision.Era(), IsStoreUnreachable: g.state.IsStoreUnreachable(),
		UptimeSeconds: now.Sub(g.startedAt).Seconds(), AreCapacitiesExpected: now.Sub(g.startedAt) < startupPeriod,
	}
	for _, peer := range g.snapshot.PeerWork {
		age := now.Sub(peer.ReportedAt).Seconds()
		inputs.PeerReports++
		if inputs.LatestPeerReportAgeSeconds == nil || age < *inputs.LatestPeerReportAgeSeconds {
			inputs.LatestPeerReportAgeSeconds = &age
		}
		if inputs.OldestPeerReportAgeSeconds == nil || age > *inputs.OldestPeerReportAgeSeconds {
			inputs.OldestPeerReportAgeSeconds = &age
		}
	}
	return inputs
}

func configVersion(config *cwroute.Config) uint64 {
	if config == nil {
		return 0
	}
	return config.Version
}
