package cwadmin

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
)

// Status is what an instance believes, and how old each belief is.
type Status struct {
	// Incarnation identifies the process life.
	Incarnation uint64 `json:"incarnation"`
	// Region and Domain say where the instance runs.
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Ready and Leaving are the instance's own state.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// InFlight is the number of requests that it works on.
	InFlight int `json:"inFlight"`
	// Config is the version in force; ConfigConfirmed is set if the platform or a
	// peer confirmed it within a minute.
	Config          string `json:"config"`
	ConfigConfirmed bool   `json:"configConfirmed"`
	// Peers and Endpoints are what it believes of others.
	Peers     []PeerStatus     `json:"peers"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// PeerStatus is another instance.
type PeerStatus struct {
	// Address, Region and Domain say which.
	Address string `json:"address"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	// Incarnation, Leaving and Listed are as last known.
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Listed      bool   `json:"listed"`
	// LastContactSecondsAgo is the age of its last answer.
	LastContactSecondsAgo float64 `json:"heardSecondsAgo"`
	// Failing is set if the last contact failed.
	Failing bool `json:"failing"`
}

// EndpointStatus is one endpoint of the own domain.
type EndpointStatus struct {
	// Address and Pool say which.
	Address string `json:"address"`
	Pool    string `json:"pool"`
	// Incarnation, Leaving, Listed and Loading are as last known.
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Listed      bool   `json:"listed"`
	Loading     bool   `json:"loading"`
	// Running and Slots are from the last report; ReportSecondsAgo is its age.
	Running          int     `json:"running"`
	Slots            int     `json:"slots"`
	ReportSecondsAgo float64 `json:"reportSecondsAgo"`
	// Failing is set if the last contact failed.
	Failing bool `json:"failing"`
}

const maxConfirmationAge = time.Minute

// Status returns the state at this time.
func (h *Handler) Status(now time.Time) Status {
	s := h.control.Snapshot()
	out := Status{
		Incarnation:     h.Incarnation,
		Region:          h.Settings.Region,
		Domain:          h.Settings.Domain,
		Ready:           s.Ready,
		Leaving:         s.Self.IsLeaving,
		InFlight:        h.dispatcher.InFlight(),
		Config:          s.ConfigTracker.Accepted().String(),
		ConfigConfirmed: s.ConfigTracker.IsConfirmedWithin(now, maxConfirmationAge),
		Peers:           peerStatuses(s, now),
		Endpoints:       []EndpointStatus{},
	}
	for _, e := range s.Endpoints {
		out.Endpoints = append(out.Endpoints, EndpointStatus{
			Address: e.Address, Pool: e.Pool, Incarnation: e.Incarnation, Leaving: e.IsLeaving,
			Listed: e.IsListed, Loading: e.Loading, Running: e.Report.RunningRequests, Slots: e.Report.Slots,
			ReportSecondsAgo: now.Sub(e.Report.ReportedAt).Seconds(), Failing: !e.ContactFailedAt.IsZero(),
		})
	}
	return out
}

func peerStatuses(s *cwcontrol.Snapshot, now time.Time) []PeerStatus {
	peers := make([]PeerStatus, 0, len(s.Members))
	for _, m := range s.Members {
		peers = append(peers, PeerStatus{
			Address: m.PeerAddress, Region: m.Region, Domain: m.Domain,
			Incarnation: m.Incarnation, Leaving: m.IsLeaving, Listed: m.IsListed,
			LastContactSecondsAgo: now.Sub(m.LastContactAt).Seconds(), Failing: !m.ContactFailedAt.IsZero(),
		})
	}
	return peers
}
