package cwpeer

import (
	"context"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwproto"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwstream"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// Server serves the calls of other instances.
type Server struct {
	*cwcommon.Common
	control *cwcontrol.Control
	traffic Traffic
	auth    *Auth
	sources Sources
	puller  Puller
}

// Sources provide the configuration or the published state to send to peers. One of the
// two fields is set.
type Sources struct {
	// Manifests is set if the configuration comes from service files.
	Manifests ManifestSource
	// Published is set if the configuration is part of the published state in a store.
	Published PublishedSource
	// Crashes holds the evidence about requests that end endpoints; nil if there is none.
	Crashes CrashLedger
	// Quotas holds the spending on client accounts; nil if there are no quotas.
	Quotas QuotaLedger
	// Streams holds the origins of streams; nil if there are none.
	Streams StreamLedger
}

// PublishedSource provides published items.
type PublishedSource interface {
	// ChangesSince returns the changes after the revision, or all items if the source no
	// longer has the changes or the revision is 0.
	ChangesSince(after cwpublished.Revision) cwpublished.Delta
	// Revision returns the revision up to which the source is complete.
	Revision() cwpublished.Revision
}

// ManifestSource provides the manifests of configurations, byte for byte as published.
type ManifestSource interface {
	// ManifestBytes returns the manifest of the state, or nil if it is not available.
	ManifestBytes(state *cwconfig.State) []byte
}

// NewServer returns a server of the peer interface.
func NewServer(common *cwcommon.Common, control *cwcontrol.Control, traffic Traffic, sources Sources, puller Puller, auth *Auth) *Server {
	return &Server{Common: common, control: control, traffic: traffic, sources: sources, puller: puller, auth: auth}
}

// Handler returns the handler of the calls. It verifies the signature of each call.
func (s *Server) Handler() http.Handler {
	return verifyingHandler(s.auth, cwproto.NewPeerServer(s))
}

// PathPrefix returns the path prefix of the calls that Handler serves.
func (s *Server) PathPrefix() string {
	return cwproto.PeerPathPrefix
}

// Exchange applies the state that a peer sent and returns that of this instance.
func (s *Server) Exchange(ctx context.Context, message *cwproto.ExchangeMessage) (*cwproto.ExchangeMessage, error) {
	now := time.Now()
	event := eventOf(message, 0, now)
	snapshot := s.control.Snapshot()
	// Only the calling instance can measure the round trip of this exchange, so the one
	// already recorded for its domain is kept.
	event.RoundTrip = roundTripTo(snapshot, event.Member.Domain)
	s.control.Post(ctx, event)
	s.pullFrom(ctx, event.Member.PeerAddress, versionOf(message.GetConfig()))
	if message.GetConfigConfirmed() {
		s.control.Post(ctx, cwcontrol.ConfigConfirmed{Version: versionOf(message.GetConfig())})
	}
	isKnown := cwpolicy.IsKnown(snapshot.Members, event.Member.PeerAddress, event.Member.Incarnation)
	answer := buildExchangeMessage(snapshot, s.traffic, event.Member.Region, event.Member.Domain, isKnown, now)
	if s.sources.Crashes != nil {
		s.sources.Crashes.Merge(crashReportsOf(message.GetCrashes(), now), now)
		answer.Crashes = protoCrashRecords(s.sources.Crashes.Reports(now, maxExchangedCrashes), now)
	}
	receiveQuotas(s.sources.Quotas, message, now)
	answer.Quotas = quotaReportTo(s.sources.Quotas, event.Member.PeerAddress, event.Member.Domain, now)
	return answer, nil
}

// ShareCrashes adds the evidence that a peer sent.
func (s *Server) ShareCrashes(_ context.Context, req *cwproto.ShareCrashesRequest) (*cwproto.ShareCrashesResponse, error) {
	if s.sources.Crashes != nil {
		s.sources.Crashes.Merge(crashReportsOf(req.GetRecords(), time.Now()), time.Now())
	}
	return &cwproto.ShareCrashesResponse{}, nil
}

// ShareStreams adds the streams that a peer began.
func (s *Server) ShareStreams(_ context.Context, req *cwproto.ShareStreamsRequest) (*cwproto.ShareStreamsResponse, error) {
	if s.sources.Streams != nil {
		s.sources.Streams.Merge(streamRecordsOf(req.GetGroups(), time.Now()), time.Now())
	}
	return &cwproto.ShareStreamsResponse{}, nil
}

// FindStream returns what this instance knows of a stream.
func (s *Server) FindStream(_ context.Context, req *cwproto.FindStreamRequest) (*cwproto.FindStreamResponse, error) {
	resp := &cwproto.FindStreamResponse{}
	if s.sources.Published != nil {
		resp.Revision = uint64(s.sources.Published.Revision())
	}
	if s.sources.Streams == nil {
		return resp, nil
	}
	now := time.Now()
	id := cwstream.ID(req.GetStream())
	if r, isKnown := s.sources.Streams.Find(id, now); isKnown {
		resp.Group = protoStreamGroups([]cwstream.Record{r}, now)[0]
		return resp, nil
	}
	resp.Uncertain = s.sources.Streams.ExplainAbsence(id, now) == cwstream.Uncertain
	return resp, nil
}

// pullFrom fetches the offered configuration from the calling peer if it is newer than
// the one in force. It runs in the background and does not delay the response.
func (s *Server) pullFrom(ctx context.Context, address string, offered cwconfig.Version) {
	if !s.control.Snapshot().ConfigTracker.IsNewer(offered) {
		return
	}
	s.Go("pull", func() { s.puller.Pull(context.WithoutCancel(ctx), address, offered) })
}

// roundTripTo returns the recorded round trip to the domain, 0 if there is none.
func roundTripTo(s *cwcontrol.Snapshot, domain string) time.Duration {
	for _, capacities := range s.Capacities {
		for _, c := range capacities {
			if c.Domain == domain {
				return c.RoundTrip
			}
		}
	}
	return 0
}

// FetchConfig returns the requested buckets of the configuration in force, or its
// manifest if the request has no keys.
func (s *Server) FetchConfig(_ context.Context, req *cwproto.FetchConfigRequest) (*cwproto.FetchConfigResponse, error) {
	state := s.control.Snapshot().Config
	resp := &cwproto.FetchConfigResponse{}
	if s.sources.Manifests == nil {
		return resp, nil
	}
	if len(req.GetKeys()) == 0 {
		if manifest := s.sources.Manifests.ManifestBytes(state); manifest != nil {
			resp.Values = append(resp.Values, &cwproto.KeyValue{Key: cwconfig.ManifestKey, Value: manifest})
		}
		return resp, nil
	}
	for _, hash := range req.GetKeys() {
		if raw := state.BucketBytes(hash); raw != nil {
			resp.Values = append(resp.Values, &cwproto.KeyValue{Key: cwconfig.BucketKeyPrefix + hash, Value: raw})
		}
	}
	return resp, nil
}

// FetchPublished returns the changes of the published state after a revision.
func (s *Server) FetchPublished(_ context.Context, req *cwproto.FetchPublishedRequest) (*cwproto.FetchPublishedResponse, error) {
	if s.sources.Published == nil {
		return &cwproto.FetchPublishedResponse{}, nil
	}
	d := s.sources.Published.ChangesSince(cwpublished.Revision(req.GetAfter()))
	resp := &cwproto.FetchPublishedResponse{Current: uint64(d.Revision), Whole: d.IsFull}
	if !d.StoreUnreachableAt.IsZero() {
		resp.Troubled, resp.TroubleAgeMillis = true, uint32(max(time.Since(d.StoreUnreachableAt), 0).Milliseconds())
	}
	for _, item := range d.Items {
		resp.Items = append(resp.Items, &cwproto.PublishedItem{
			Key: item.Key, Value: item.Value, Revision: uint64(item.Revision), Removed: item.IsRemoved,
		})
	}
	return resp, nil
}

// TakeOver makes this instance the owner of another instance's tickets. Accepted is not
// set in the response if it does not take over all of them.
func (s *Server) TakeOver(ctx context.Context, req *cwproto.TakeOverRequest) (*cwproto.TakeOverResponse, error) {
	handovers := make([]cwpolicy.TicketHandover, 0, len(req.GetHandovers()))
	for _, h := range req.GetHandovers() {
		handovers = append(handovers, handoverOf(h))
	}
	accepted := s.traffic.TakeOverTickets(handovers)
	if accepted {
		for _, h := range handovers {
			s.control.Post(ctx, cwcontrol.TicketsMoved{TicketMove: cwpolicy.TicketMove{From: h.Issuer, To: s.Incarnation}})
		}
	}
	return &cwproto.TakeOverResponse{Accepted: accepted, Successor: s.Incarnation}, nil
}

func handoverOf(p *cwproto.Handover) cwpolicy.TicketHandover {
	h := cwpolicy.TicketHandover{Issuer: p.GetIssuer()}
	copy(h.Key[:], p.GetKey())
	for _, u := range p.GetUses() {
		use := cwpolicy.TicketUse{Expiry: time.UnixMilli(u.GetExpiryMillis()), HasEnded: true, Outcome: cwanswer.Outcome(u.GetOutcome())}
		copy(use.ID[:], u.GetId())
		h.Uses = append(h.Uses, use)
	}
	return h
}

func protoHandovers(handovers []cwpolicy.TicketHandover) *cwproto.TakeOverRequest {
	req := &cwproto.TakeOverRequest{}
	for _, h := range handovers {
		p := &cwproto.Handover{Issuer: h.Issuer, Key: h.Key[:]}
		for _, use := range h.Uses {
			p.Uses = append(p.Uses, &cwproto.TicketUse{Id: use.ID[:], ExpiryMillis: use.Expiry.UnixMilli(), Outcome: string(use.Outcome)})
		}
		req.Handovers = append(req.Handovers, p)
	}
	return req
}
