package cwdispatch

import (
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// syncControlState applies changes of the control state since the last call. The
// caller holds mu.
func (d *Dispatcher) syncControlState(now time.Time) *cwcontrol.Snapshot {
	s := d.control.Snapshot()
	if s.Generation == d.syncedGeneration {
		return s
	}
	d.limits.SetInstanceCount(len(s.Members) + 1)
	listed := make(map[string]bool, len(s.Endpoints))
	for i := range s.Endpoints {
		r := &s.Endpoints[i]
		listed[r.Address] = true
		if r.Generation > d.syncedGeneration {
			d.syncEndpoint(r, now)
		}
	}
	if len(listed) < len(d.poolByAddress) {
		d.removeUnlisted(listed)
	}
	d.syncReturnedDomains(s, now)
	d.syncedGeneration = s.Generation
	return s
}

func (d *Dispatcher) syncEndpoint(r *cwcontrol.EndpointRecord, now time.Time) {
	if oldPool, ok := d.poolByAddress[r.Address]; ok && oldPool != r.Pool {
		d.pools[oldPool].Remove(r.Address)
	}
	d.poolByAddress[r.Address] = r.Pool
	p := d.poolFor(r.Pool)
	e := p.Endpoint(r.Address)
	if e == nil {
		e = cwpolicy.NewEndpoint(r.Address, now)
		p.Add(e)
	}
	if e.Incarnation != 0 && r.Incarnation > e.Incarnation {
		e.OnRestart()
	}
	e.Liveness = r.Liveness
	e.Accelerators = r.Accelerators
	e.IsLoading = r.Loading || len(r.Loaded) > 0 && !slices.Contains(r.Loaded, r.Pool)
	if !r.Report.ReportedAt.IsZero() {
		e.OnReport(r.Report)
	}
}

func (d *Dispatcher) removeUnlisted(listed map[string]bool) {
	for address, pool := range d.poolByAddress {
		if !listed[address] {
			d.pools[pool].Remove(address)
			delete(d.poolByAddress, address)
		}
	}
}

// syncReturnedDomains reports domains that recovered from a loss of contact to the
// spillover policy of each pool.
func (d *Dispatcher) syncReturnedDomains(s *cwcontrol.Snapshot, now time.Time) {
	for i := range s.Members {
		m := &s.Members[i]
		lastSeen, isKnown := d.lastSeenByDomain[m.Domain]
		if !m.LastContactAt.After(lastSeen) {
			continue
		}
		d.lastSeenByDomain[m.Domain] = m.LastContactAt
		if isKnown && m.LastContactAt.Sub(lastSeen) > domainReturnGap {
			for _, p := range d.pools {
				p.Spillover.OnDomainRecovered(m.Domain, now)
			}
		}
	}
}

// domainReturnGap is the loss of contact after which a domain's load is ramped up
// slowly.
const domainReturnGap = 10 * time.Second
