package cwdispatch

import (
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// syncControlState takes over what changed in the control state since the last call. The
// caller holds mu.
func (d *Dispatcher) syncControlState(now time.Time) *cwcontrol.Snapshot {
	s := d.control.Snapshot()
	if s.Generation == d.syncedGeneration {
		return s
	}
	d.limits.SetInstanceCount(len(s.Members) + 1)
	seen := make(map[string]bool, len(s.Endpoints))
	for i := range s.Endpoints {
		r := &s.Endpoints[i]
		seen[r.Address] = true
		if r.Generation > d.syncedGeneration {
			d.syncEndpoint(r, now)
		}
	}
	if len(seen) < len(d.poolByAddress) {
		d.removeUnlisted(seen)
	}
	d.syncReturnedDomains(s, now)
	d.syncedGeneration = s.Generation
	return s
}

func (d *Dispatcher) syncEndpoint(r *cwcontrol.EndpointRecord, now time.Time) {
	if old, ok := d.poolByAddress[r.Address]; ok && old != r.Pool {
		d.pools[old].Remove(r.Address)
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

func (d *Dispatcher) removeUnlisted(seen map[string]bool) {
	for address, pool := range d.poolByAddress {
		if !seen[address] {
			d.pools[pool].Remove(address)
			delete(d.poolByAddress, address)
		}
	}
}

// syncReturnedDomains tells the spill policies which domains came back after a silence.
func (d *Dispatcher) syncReturnedDomains(s *cwcontrol.Snapshot, now time.Time) {
	for i := range s.Members {
		m := &s.Members[i]
		last, known := d.lastSeenByDomain[m.Domain]
		if !m.LastContactAt.After(last) {
			continue
		}
		d.lastSeenByDomain[m.Domain] = m.LastContactAt
		if known && m.LastContactAt.Sub(last) > domainReturnGap {
			for _, p := range d.pools {
				p.Spillover.OnDomainRecovered(m.Domain, now)
			}
		}
	}
}

// domainReturnGap is the silence of a domain after which it is given load slowly.
const domainReturnGap = 10 * time.Second
