package cwplacement

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Exclusions are the reasons why a request has no place: the number of places of this region and
// of others by what excludes them.
type Exclusions struct {
	// These count endpoints, each by its first reason: in a region where the request may not be
	// served, tried before by this request, draining or evacuated, not reached by this instance,
	// in a pause that it asked for, cold, at the limit that it names.
	Region, Tried, Leaving, Ejected, Paused, Cold, RateLimited int
	// Suspected counts the cold ones that are so only because they could not be reached and may
	// have restarted; SuspectedByPeers those of them that this instance itself did not fail to
	// reach.
	Suspected, SuspectedByPeers int
	// Domains counts the domains of other regions that were considered, and UnusableDomains those
	// of them without a recent capacity or with none.
	Domains, UnusableDomains int
}

// MarshalLogObject adds the counts that are not zero.
func (x *Exclusions) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	for _, field := range []struct {
		name  string
		count int
	}{
		{"region", x.Region},
		{"tried", x.Tried},
		{"leaving", x.Leaving},
		{"ejected", x.Ejected},
		{"paused", x.Paused},
		{"cold", x.Cold},
		{"rateLimited", x.RateLimited},
		{"suspected", x.Suspected},
		{"suspectedByPeers", x.SuspectedByPeers},
		{"domains", x.Domains},
		{"unusableDomains", x.UnusableDomains},
	} {
		if field.count > 0 {
			enc.AddInt(field.name, field.count)
		}
	}
	return nil
}

// exclusions counts what excludes each place for a request.
func (p *Pool) exclusions(req *Request, now time.Time) *Exclusions {
	x := &Exclusions{Domains: len(req.RemoteCapacities)}
	for _, e := range p.sorted {
		switch {
		case !req.IsLocalAllowed:
			x.Region++
		case req.WasTried(e.ID):
			x.Tried++
		case e.HasStartedDraining() || e.IsEvacuated:
			x.Leaving++
		case e.isEjected(now):
			x.Ejected++
		case e.isPaused(now):
			x.Paused++
		case e.IsCold(now):
			x.Cold++
			if !now.Before(e.ColdUntil) {
				x.Suspected++
				if now.Sub(e.unreachableAt) >= suspicionDuration {
					x.SuspectedByPeers++
				}
			}
		default:
			x.RateLimited++
		}
	}
	for i := range req.RemoteCapacities {
		if !isRemoteUsable(&req.RemoteCapacities[i], now) {
			x.UnusableDomains++
		}
	}
	return x
}
