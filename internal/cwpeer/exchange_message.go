package cwpeer

import (
	"math"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwproto"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// ProtocolVersion is the version of the messages that this instance sends.
const ProtocolVersion = 1

// maxDemands is the maximum number of demands in one message; the largest ones are sent.
const maxDemands = 64

// buildExchangeMessage returns the message for a peer in the region and domain. For a
// peer in this instance's region it contains the instance's work at the endpoints. For
// a peer in its failure domain it contains the load reports of the endpoints and the
// capacities of other domains; for any other peer, the capacity of each pool. A peer that is not
// known gets all members of both domains.
func buildExchangeMessage(s *cwcontrol.Snapshot, traffic Traffic, region, domain string, isPeerKnown bool, now time.Time) *cwproto.ExchangeMessage {
	v := s.ConfigTracker.Accepted()
	message := &cwproto.ExchangeMessage{
		Protocol:        ProtocolVersion,
		Self:            protoMember(&s.Self),
		Config:          &cwproto.ConfigVersion{Number: v.Number, Hash: v.Hash},
		ConfigConfirmed: s.ConfigTracker.IsConfirmed(),
	}
	if region == s.Self.Region {
		message.Works = protoEndpointWork(traffic.EndpointWork(), now)
	}
	if domain == s.Self.Domain {
		message.Endpoints = protoEndpoints(s.Endpoints, now)
		message.HeardRooms = protoRelayedCapacities(s.Capacities, now)
	} else {
		for _, c := range traffic.Capacities() {
			message.Rooms = append(message.Rooms, protoCapacity(c))
		}
	}
	for _, m := range cwpolicy.Gossip(s.Members, s.Self.Domain, domain, isPeerKnown, now) {
		message.Members = append(message.Members, protoMember(m))
	}
	for _, move := range s.TicketMoves {
		message.Moves = append(message.Moves, &cwproto.TicketMove{From: move.From, To: move.To})
	}
	for _, d := range topDemands(traffic.LimitDemands()) {
		message.Demands = append(message.Demands, &cwproto.LimitDemand{
			Service: d.Key.Service, Account: d.Key.Account, PerSecond: float32(d.RequestsPerSecond),
		})
	}
	return message
}

func protoMember(m *cwpolicy.Member) *cwproto.MemberState {
	return &cwproto.MemberState{
		Incarnation:   m.Incarnation,
		PeerAddress:   m.PeerAddress,
		CallerAddress: m.CallerAddress,
		Region:        m.Region,
		Domain:        m.Domain,
		Size:          float32(m.Size),
		Load:          float32(m.Load),
		Demand:        float32(m.RequestsPerSecond),
		Leaving:       m.IsLeaving,
		StoreAway:     m.IsStoreUnreachable,
		CutOff:        m.IsCutOff,
	}
}

func memberOf(p *cwproto.MemberState) cwpolicy.Member {
	m := cwpolicy.Member{
		PeerAddress:        p.GetPeerAddress(),
		CallerAddress:      p.GetCallerAddress(),
		Region:             p.GetRegion(),
		Domain:             p.GetDomain(),
		Size:               float64(p.GetSize()),
		Load:               float64(p.GetLoad()),
		RequestsPerSecond:  float64(p.GetDemand()),
		IsStoreUnreachable: p.GetStoreAway(),
		IsCutOff:           p.GetCutOff(),
	}
	m.Incarnation, m.IsLeaving = p.GetIncarnation(), p.GetLeaving()
	return m
}

func protoCapacity(c cwcontrol.PeerCapacity) *cwproto.PoolCapacity {
	return &cwproto.PoolCapacity{
		Pool:            c.Pool,
		Endpoints:       uint32(c.Capacity.Endpoints),
		Slots:           uint32(c.Capacity.Slots),
		Free:            uint32(c.Capacity.FreeSlots),
		WaitSeconds:     float32(c.Capacity.WaitSeconds),
		SecondsPerToken: float32(c.Capacity.SecondsPerToken),
		Failures:        float32(c.Capacity.FailureRate),
	}
}

// maxReportAge is the age above which a load report is not relayed. It is slightly
// longer than the default interval between two exchanges, so that each report is sent to
// each peer about once.
const maxReportAge = 1300 * time.Millisecond

func protoEndpoints(records []cwcontrol.EndpointRecord, now time.Time) []*cwproto.EndpointState {
	var list []*cwproto.EndpointState
	for i := range records {
		r := &records[i]
		age := now.Sub(r.LastContactAt)
		// Reports that were relayed by a peer are not relayed again.
		if r.Incarnation == 0 || r.IsRelayed || age > maxReportAge {
			continue
		}
		list = append(list, &cwproto.EndpointState{
			Address:       r.Address,
			Incarnation:   r.Incarnation,
			Leaving:       r.IsLeaving,
			AgeMillis:     uint32(max(age, 0).Milliseconds()),
			Running:       uint32(r.Report.RunningRequests),
			Waiting:       uint32(r.Report.WaitingRequests),
			WaitingTokens: uint32(r.Report.WaitingTokens),
			Slots:         uint32(r.Report.Slots),
			Loaded:        r.LoadedModels,
			Loading:       r.IsLoading,
			Fence:         r.FencingNumber,
			Pool:          r.Pool,
			Accelerators:  float32(r.Accelerators),
		})
	}
	return list
}

// maxRelayedCapacityAge is the age above which the capacity of another domain is not
// relayed.
const maxRelayedCapacityAge = 3 * time.Second

func protoRelayedCapacities(table cwcontrol.CapacityTable, now time.Time) []*cwproto.DomainCapacity {
	var list []*cwproto.DomainCapacity
	for pool, capacities := range table {
		for i := range capacities {
			c := &capacities[i]
			age := now.Sub(c.ReportedAt)
			if age > maxRelayedCapacityAge {
				continue
			}
			list = append(list, &cwproto.DomainCapacity{
				Domain: c.Domain, Region: c.Region, AgeMillis: uint32(max(age, 0).Milliseconds()),
				RoundTripMillis: uint32(c.RoundTrip.Milliseconds()),
				Room:            protoCapacity(cwcontrol.PeerCapacity{Pool: pool, Capacity: c.PoolCapacity}),
			})
		}
	}
	return list
}

func relayedCapacitiesOf(list []*cwproto.DomainCapacity, now time.Time) []cwcontrol.RelayedCapacity {
	capacities := make([]cwcontrol.RelayedCapacity, 0, len(list))
	for _, p := range list {
		capacities = append(capacities, cwcontrol.RelayedCapacity{Pool: p.GetRoom().GetPool(), DomainCapacity: cwpolicy.DomainCapacity{
			PoolCapacity: capacityOf(p.GetRoom()), Domain: p.GetDomain(), Region: p.GetRegion(),
			ReportedAt: now.Add(-time.Duration(p.GetAgeMillis()) * time.Millisecond),
			RoundTrip:  time.Duration(p.GetRoundTripMillis()) * time.Millisecond,
		}})
	}
	return capacities
}

func capacityOf(r *cwproto.PoolCapacity) cwpolicy.PoolCapacity {
	return cwpolicy.PoolCapacity{
		Endpoints:       int(r.GetEndpoints()),
		Slots:           int(r.GetSlots()),
		FreeSlots:       int(r.GetFree()),
		WaitSeconds:     float64(r.GetWaitSeconds()),
		SecondsPerToken: float64(r.GetSecondsPerToken()),
		FailureRate:     float64(r.GetFailures()),
	}
}

func protoEndpointWork(work []cwcontrol.EndpointWork, now time.Time) []*cwproto.EndpointWork {
	list := make([]*cwproto.EndpointWork, 0, len(work))
	for i := range work {
		w := &work[i]
		list = append(list, &cwproto.EndpointWork{
			Endpoint:     w.Endpoint,
			QueuedTokens: w.QueuedTokens,
			HeldTokens:   float32(w.HeldTokens),
			InFlight:     uint32(max(w.InFlight, 0)),
			Parts:        protoParts(w.PromptParts),
			Failures:     float32(w.FailureRate),
			Speed:        protoMeasurement(w.PromptSpeed),
			Pace:         protoMeasurement(w.EventRate),
			RateLimit:    protoRateLimit(w.RateLimit, now),
			Leaving:      w.IsLeaving, StartedAtMillis: w.StartedAtMillis,
		})
		if !w.UnreachableAt.IsZero() {
			list[i].UnreachableAgeMillis = uint32(max(now.Sub(w.UnreachableAt), 0).Milliseconds()) + 1
		}
		if w.ColdUntil.After(now) {
			list[i].ColdMillis = uint32(min(w.ColdUntil.Sub(now).Milliseconds(), math.MaxUint32))
		}
	}
	return list
}

func endpointWorkOf(list []*cwproto.EndpointWork, now time.Time) []cwcontrol.EndpointWork {
	work := make([]cwcontrol.EndpointWork, 0, len(list))
	for i, w := range list {
		work = append(work, cwcontrol.EndpointWork{
			Endpoint:     w.GetEndpoint(),
			QueuedTokens: w.GetQueuedTokens(),
			HeldTokens:   float64(w.GetHeldTokens()),
			InFlight:     int(w.GetInFlight()),
			PromptParts:  partsOf(w.GetParts()),
			FailureRate:  float64(w.GetFailures()),
			PromptSpeed:  measurementOf(w.GetSpeed()),
			EventRate:    measurementOf(w.GetPace()),
			RateLimit:    rateLimitOf(w.GetRateLimit(), now),
			IsLeaving:    w.GetLeaving(), StartedAtMillis: w.GetStartedAtMillis(),
		})
		if age := w.GetUnreachableAgeMillis(); age > 0 {
			work[i].UnreachableAt = now.Add(-time.Duration(age-1) * time.Millisecond)
		}
		if left := w.GetColdMillis(); left > 0 {
			work[i].ColdUntil = now.Add(time.Duration(left) * time.Millisecond)
		}
	}
	return work
}

// protoRateLimit encodes a rate limit; nil if nothing is known.
func protoRateLimit(l cwcontrol.EndpointRateLimit, now time.Time) *cwproto.EndpointRateLimit {
	if l.ObservedAt.IsZero() {
		return nil
	}
	return &cwproto.EndpointRateLimit{Named: l.IsNamed, PerSecond: l.PerSecond, AgeMillis: uint32(max(now.Sub(l.ObservedAt), 0).Milliseconds())}
}

func rateLimitOf(l *cwproto.EndpointRateLimit, now time.Time) cwcontrol.EndpointRateLimit {
	if l == nil {
		return cwcontrol.EndpointRateLimit{}
	}
	return cwcontrol.EndpointRateLimit{IsNamed: l.GetNamed(), PerSecond: l.GetPerSecond(), ObservedAt: now.Add(-time.Duration(l.GetAgeMillis()) * time.Millisecond)}
}

// protoMeasurement encodes a measurement. An empty one is encoded as nil, so that it is
// not sent.
func protoMeasurement(m cwcontrol.Measurement) *cwproto.Measurement {
	if m.Seconds <= 0 {
		return nil
	}
	return &cwproto.Measurement{Amount: float32(m.Amount), Seconds: float32(m.Seconds)}
}

func measurementOf(m *cwproto.Measurement) cwcontrol.Measurement {
	return cwcontrol.Measurement{Amount: float64(m.GetAmount()), Seconds: float64(m.GetSeconds())}
}

func protoParts(parts []cwcontrol.PromptPart) []*cwproto.PromptPart {
	list := make([]*cwproto.PromptPart, len(parts))
	for i, p := range parts {
		list[i] = &cwproto.PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)}
	}
	return list
}

func partsOf(list []*cwproto.PromptPart) []cwcontrol.PromptPart {
	parts := make([]cwcontrol.PromptPart, len(list))
	for i, p := range list {
		parts[i] = cwcontrol.PromptPart{ID: p.GetId(), Tokens: int(p.GetTokens())}
	}
	return parts
}

// eventOf returns the control event for the state that a peer sent.
func eventOf(message *cwproto.ExchangeMessage, roundTrip time.Duration, now time.Time) cwcontrol.PeerReported {
	e := cwcontrol.PeerReported{Member: memberOf(message.GetSelf()), RoundTrip: roundTrip}
	for _, m := range message.GetMembers() {
		e.KnownMembers = append(e.KnownMembers, memberOf(m))
	}
	for _, r := range message.GetRooms() {
		e.Capacities = append(e.Capacities, cwcontrol.PeerCapacity{Pool: r.GetPool(), Capacity: capacityOf(r)})
	}
	e.RelayedCapacities = relayedCapacitiesOf(message.GetHeardRooms(), now)
	for _, ep := range message.GetEndpoints() {
		e.Endpoints = append(e.Endpoints, reportOf(ep, now))
	}
	for _, d := range message.GetDemands() {
		key := cwpolicy.LimitKey{Service: d.GetService(), Account: d.GetAccount()}
		e.Demands = append(e.Demands, cwpolicy.LimitDemand{Key: key, RequestsPerSecond: float64(d.GetPerSecond())})
	}
	e.EndpointWork = endpointWorkOf(message.GetWorks(), now)
	for _, m := range message.GetMoves() {
		e.TicketMoves = append(e.TicketMoves, cwpolicy.TicketMove{From: m.GetFrom(), To: m.GetTo()})
	}
	return e
}

func reportOf(p *cwproto.EndpointState, now time.Time) cwcontrol.EndpointReport {
	return cwcontrol.EndpointReport{
		Address:     p.GetAddress(),
		Incarnation: p.GetIncarnation(),
		IsLeaving:   p.GetLeaving(),
		Report: cwpolicy.LoadReport{
			ReportedAt:      now.Add(-time.Duration(p.GetAgeMillis()) * time.Millisecond),
			RunningRequests: int(p.GetRunning()),
			WaitingRequests: int(p.GetWaiting()),
			WaitingTokens:   int(p.GetWaitingTokens()),
			Slots:           int(p.GetSlots()),
		},
		LoadedModels:  p.GetLoaded(),
		IsLoading:     p.GetLoading(),
		FencingNumber: p.GetFence(),
		IsRelayed:     true,
		Pool:          p.GetPool(), Accelerators: float64(p.GetAccelerators()),
	}
}

func versionOf(v *cwproto.ConfigVersion) cwconfig.Version {
	return cwconfig.Version{Number: v.GetNumber(), Hash: v.GetHash()}
}
