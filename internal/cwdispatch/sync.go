package cwdispatch

import (
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// syncControlState applies the changes of the control state since the last call and
// returns its snapshot. The caller holds mu.
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
	d.syncRecoveredDomains(s, now)
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
	e.IsLoading = r.IsLoading || len(r.LoadedModels) > 0 && !slices.Contains(r.LoadedModels, r.Pool)
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

// syncRecoveredDomains reports domains that recovered from a loss of contact to the
// spillover policy of each pool.
func (d *Dispatcher) syncRecoveredDomains(s *cwcontrol.Snapshot, now time.Time) {
	for i := range s.Members {
		m := &s.Members[i]
		lastSeen, isKnown := d.lastSeenByDomain[m.Domain]
		if !m.LastContactAt.After(lastSeen) {
			continue
		}
		d.lastSeenByDomain[m.Domain] = m.LastContactAt
		if isKnown && m.LastContactAt.Sub(lastSeen) > domainRecoveryGap {
			for _, p := range d.pools {
				p.Spillover.OnDomainRecovered(m.Domain, now)
			}
		}
	}
}

// domainRecoveryGap is the time without contact after which a domain counts as
// recovered once contact is back. Its share of requests then rises slowly.
const domainRecoveryGap = 10 * time.Second
