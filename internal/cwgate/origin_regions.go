package cwgate

import (
	"slices"

	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwstream"
)

// originRegions are the regions whose endpoints may go on with streams, by origin. They are derived
// from a view when they are first needed.
type originRegions struct {
	view           *cwpublished.View
	regionByDomain map[string]string
	regions        map[cwstream.Origin][]string
}

// setView replaces the view.
func (r *originRegions) setView(view *cwpublished.View, regionByDomain map[string]string) {
	r.view, r.regionByDomain, r.regions = view, regionByDomain, nil
}

// of returns the regions with an endpoint of the origin that takes new requests.
func (r *originRegions) of(o cwstream.Origin) []string {
	if r.regions == nil {
		r.regions = make(map[cwstream.Origin][]string)
		for _, e := range r.view.Endpoints {
			origin, region := cwstream.Origin{Service: e.Service, Version: e.Version}, r.regionByDomain[e.Domain]
			if !e.IsDraining && !r.view.EvacuatedDomains[e.Domain] && !slices.Contains(r.regions[origin], region) {
				r.regions[origin] = append(r.regions[origin], region)
			}
		}
	}
	return r.regions[o]
}
