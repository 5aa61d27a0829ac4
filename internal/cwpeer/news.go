package cwpeer

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwproto"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// ProtocolVersion is the version of the messages that this code sends.
const ProtocolVersion = 1

// maxDemands bounds the limits in one message; the largest demands are kept.
const maxDemands = 64

// buildNews returns what an instance tells a peer in the region and domain: its own
// work within the region, the reports of single endpoints within the failure
// domain, and their sums outside it.
func buildNews(s *cwcontrol.Snapshot, traffic Traffic, region, domain string, now time.Time) *cwproto.News {
	v := s.ConfigTracker.Accepted()
	news := &cwproto.News{
		Protocol:        ProtocolVersion,
		Self:            protoMember(&s.Self),
		Config:          &cwproto.ConfigVersion{Number: v.Number, Hash: v.Hash},
		ConfigConfirmed: s.ConfigTracker.IsConfirmed(),
	}
	if region == s.Self.Region {
		news.Works = protoEndpointWork(traffic.EndpointWork(), now)
	}
	if domain == s.Self.Domain {
		news.Endpoints = protoEndpoints(s.Endpoints, now)
		news.HeardRooms = protoRelayedCapacities(s.Capacities, now)
	} else {
		for _, r := range traffic.Capacities() {
			news.Rooms = append(news.Rooms, protoCapacity(r))
		}
	}
	for _, m := range membersFor(s, domain, now) {
		news.Members = append(news.Members, protoMember(m))
	}
	for _, move := range s.TicketMoves {
		news.Moves = append(news.Moves, &cwproto.Move{From: move.From, To: move.To})
	}
	for _, d := range topDemands(traffic.LimitDemands()) {
		news.Demands = append(news.Demands, &cwproto.LimitDemand{
			Service: d.Key.Service, Account: d.Key.Account, PerSecond: float32(d.RequestsPerSecond),
		})
	}
	return news
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
	}
	m.Incarnation, m.IsLeaving = p.GetIncarnation(), p.GetLeaving()
	return m
}

func protoCapacity(r cwcontrol.PeerCapacity) *cwproto.PoolRoom {
	return &cwproto.PoolRoom{
		Pool:            r.Pool,
		Endpoints:       uint32(r.Capacity.Endpoints),
		Slots:           uint32(r.Capacity.Slots),
		Free:            uint32(r.Capacity.FreeSlots),
		WaitSeconds:     float32(r.Capacity.WaitSeconds),
		SecondsPerToken: float32(r.Capacity.SecondsPerToken),
		Failures:        float32(r.Capacity.FailureRate),
	}
}

// maxReportAge is the age beyond which a load report is not passed on. It is a
// little longer than the time between two exchanges, so that each report goes to
// each peer about once.
const maxReportAge = 1300 * time.Millisecond

func protoEndpoints(records []cwcontrol.EndpointRecord, now time.Time) []*cwproto.EndpointState {
	var list []*cwproto.EndpointState
	for i := range records {
		r := &records[i]
		age := now.Sub(r.LastContactAt)
		// What was heard from a peer is not sent back or on.
		if r.Incarnation == 0 || r.Relayed || age > maxReportAge {
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
			Loaded:        r.Loaded,
			Loading:       r.Loading,
			Fence:         r.Fence,
			Pool:          r.Pool,
			Accelerators:  float32(r.Accelerators),
		})
	}
	return list
}

// maxRelayedCapacityAge is the age above which the room of another domain is not passed on.
const maxRelayedCapacityAge = 3 * time.Second

func protoRelayedCapacities(table cwcontrol.CapacityTable, now time.Time) []*cwproto.DomainRoom {
	var list []*cwproto.DomainRoom
	for pool, rooms := range table {
		for i := range rooms {
			r := &rooms[i]
			age := now.Sub(r.ReportedAt)
			if age > maxRelayedCapacityAge {
				continue
			}
			list = append(list, &cwproto.DomainRoom{
				Domain: r.Domain, Region: r.Region, AgeMillis: uint32(max(age, 0).Milliseconds()),
				RoundTripMillis: uint32(r.RoundTrip.Milliseconds()),
				Room:            protoCapacity(cwcontrol.PeerCapacity{Pool: pool, Capacity: r.PoolCapacity}),
			})
		}
	}
	return list
}

func relayedCapacitiesOf(list []*cwproto.DomainRoom, now time.Time) []cwcontrol.RelayedCapacity {
	rooms := make([]cwcontrol.RelayedCapacity, 0, len(list))
	for _, p := range list {
		rooms = append(rooms, cwcontrol.RelayedCapacity{Pool: p.GetRoom().GetPool(), DomainCapacity: cwpolicy.DomainCapacity{
			PoolCapacity: capacityOf(p.GetRoom()), Domain: p.GetDomain(), Region: p.GetRegion(),
			ReportedAt: now.Add(-time.Duration(p.GetAgeMillis()) * time.Millisecond),
			RoundTrip:  time.Duration(p.GetRoundTripMillis()) * time.Millisecond,
		}})
	}
	return rooms
}

func capacityOf(r *cwproto.PoolRoom) cwpolicy.PoolCapacity {
	return cwpolicy.PoolCapacity{
		Endpoints:       int(r.GetEndpoints()),
		Slots:           int(r.GetSlots()),
		FreeSlots:       int(r.GetFree()),
		WaitSeconds:     float64(r.GetWaitSeconds()),
		SecondsPerToken: float64(r.GetSecondsPerToken()),
		FailureRate:     float64(r.GetFailures()),
	}
}

func protoEndpointWork(works []cwcontrol.EndpointWork, now time.Time) []*cwproto.EndpointWork {
	list := make([]*cwproto.EndpointWork, 0, len(works))
	for i := range works {
		w := &works[i]
		list = append(list, &cwproto.EndpointWork{
			Endpoint:     w.Endpoint,
			QueuedTokens: w.QueuedTokens,
			HeldTokens:   float32(w.HeldTokens),
			InFlight:     uint32(max(w.InFlight, 0)),
			Parts:        protoParts(w.PromptParts),
			Failures:     float32(w.FailureRate),
			Speed:        protoMeasurement(w.PromptSpeed),
			Pace:         protoMeasurement(w.EventRate),
		})
		if !w.UnreachableAt.IsZero() {
			list[i].UnreachableAgeMillis = uint32(max(now.Sub(w.UnreachableAt), 0).Milliseconds()) + 1
		}
	}
	return list
}

func endpointWorkOf(list []*cwproto.EndpointWork, now time.Time) []cwcontrol.EndpointWork {
	works := make([]cwcontrol.EndpointWork, 0, len(list))
	for i, w := range list {
		works = append(works, cwcontrol.EndpointWork{
			Endpoint:     w.GetEndpoint(),
			QueuedTokens: w.GetQueuedTokens(),
			HeldTokens:   float64(w.GetHeldTokens()),
			InFlight:     int(w.GetInFlight()),
			PromptParts:  partsOf(w.GetParts()),
			FailureRate:  float64(w.GetFailures()),
			PromptSpeed:  measurementOf(w.GetSpeed()),
			EventRate:    measurementOf(w.GetPace()),
		})
		if age := w.GetUnreachableAgeMillis(); age > 0 {
			works[i].UnreachableAt = now.Add(-time.Duration(age-1) * time.Millisecond)
		}
	}
	return works
}

// protoMeasurement leaves out what is nothing.
func protoMeasurement(m cwcontrol.Measurement) *cwproto.Measured {
	if m.Seconds <= 0 {
		return nil
	}
	return &cwproto.Measured{Amount: float32(m.Amount), Seconds: float32(m.Seconds)}
}

func measurementOf(m *cwproto.Measured) cwcontrol.Measurement {
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

// eventOf returns the control event for news that came from a peer.
func eventOf(news *cwproto.News, roundTrip time.Duration, now time.Time) cwcontrol.PeerReported {
	e := cwcontrol.PeerReported{Member: memberOf(news.GetSelf()), RoundTrip: roundTrip}
	for _, m := range news.GetMembers() {
		e.KnownMembers = append(e.KnownMembers, memberOf(m))
	}
	for _, r := range news.GetRooms() {
		e.Capacities = append(e.Capacities, cwcontrol.PeerCapacity{Pool: r.GetPool(), Capacity: capacityOf(r)})
	}
	e.RelayedCapacities = relayedCapacitiesOf(news.GetHeardRooms(), now)
	for _, ep := range news.GetEndpoints() {
		e.Endpoints = append(e.Endpoints, reportOf(ep, now))
	}
	for _, d := range news.GetDemands() {
		key := cwpolicy.LimitKey{Service: d.GetService(), Account: d.GetAccount()}
		e.Demands = append(e.Demands, cwpolicy.LimitDemand{Key: key, RequestsPerSecond: float64(d.GetPerSecond())})
	}
	e.EndpointWork = endpointWorkOf(news.GetWorks(), now)
	for _, m := range news.GetMoves() {
		e.Moves = append(e.Moves, cwpolicy.TicketMove{From: m.GetFrom(), To: m.GetTo()})
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
		Relayed:       true,
		Pool:          p.GetPool(), Accelerators: float64(p.GetAccelerators()),
	}
}

func versionOf(v *cwproto.ConfigVersion) cwconfig.Version {
	return cwconfig.Version{Number: v.GetNumber(), Hash: v.GetHash()}
}
