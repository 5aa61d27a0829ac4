package cwdispatch

import (
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// sync takes over what changed in the control state since the last call. The
// caller holds mu.
func (d *Dispatcher) sync(now time.Time) *cwcontrol.Snapshot {
	s := d.control.Snapshot()
	if s.Generation == d.generation {
		return s
	}
	d.limits.SetInstanceCount(len(s.Members) + 1)
	seen := make(map[string]bool, len(s.Endpoints))
	for i := range s.Endpoints {
		r := &s.Endpoints[i]
		seen[r.Address] = true
		if r.Generation > d.generation {
			d.syncEndpoint(r, now)
		}
	}
	if len(seen) < len(d.poolOf) {
		d.dropUnseen(seen)
	}
	d.syncReturns(s, now)
	d.generation = s.Generation
	return s
}

func (d *Dispatcher) syncEndpoint(r *cwcontrol.EndpointRecord, now time.Time) {
	if old, ok := d.poolOf[r.Address]; ok && old != r.Pool {
		d.pools[old].Remove(r.Address)
	}
	d.poolOf[r.Address] = r.Pool
	p := d.pool(r.Pool)
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

func (d *Dispatcher) dropUnseen(seen map[string]bool) {
	for address, pool := range d.poolOf {
		if !seen[address] {
			d.pools[pool].Remove(address)
			delete(d.poolOf, address)
		}
	}
}

// syncReturns tells the spill policies which domains came back after a silence.
func (d *Dispatcher) syncReturns(s *cwcontrol.Snapshot, now time.Time) {
	for i := range s.Members {
		m := &s.Members[i]
		last, known := d.heard[m.Domain]
		if !m.LastContactAt.After(last) {
			continue
		}
		d.heard[m.Domain] = m.LastContactAt
		if known && m.LastContactAt.Sub(last) > returnGap {
			for _, p := range d.pools {
				p.Spillover.OnDomainRecovered(m.Domain, now)
			}
		}
	}
}

// returnGap is the silence of a domain after which it is given load slowly.
const returnGap = 10 * time.Second
