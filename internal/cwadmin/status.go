package cwadmin

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
)

// Status is the state of an instance, with its view of peers and endpoints and the age
// of that view.
type Status struct {
	// Incarnation identifies the run of the process.
	Incarnation uint64 `json:"incarnation"`
	// Region and Domain are the region and failure domain of the instance.
	Region string `json:"region"`
	Domain string `json:"domain"`
	// IsReady reports whether the instance may serve requests, IsLeaving whether it is
	// shutting down.
	IsReady   bool `json:"ready"`
	IsLeaving bool `json:"leaving"`
	// InFlight is the number of requests in progress.
	InFlight int `json:"inFlight"`
	// Config is the configuration version in force. IsConfigConfirmed reports whether
	// the platform or a peer has confirmed it within the last minute.
	Config            string `json:"config"`
	IsConfigConfirmed bool   `json:"configConfirmed"`
	// Peers and Endpoints are the last known states of the other instances and of the
	// endpoints.
	Peers     []PeerStatus     `json:"peers"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// PeerStatus is the last known state of another instance.
type PeerStatus struct {
	// Address is the peer address of the instance; Region and Domain are its region
	// and failure domain.
	Address string `json:"address"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	// Incarnation identifies the run of the process; 0 if it is not yet known.
	// IsLeaving reports whether the instance is shutting down, IsListed whether the
	// platform lists it.
	Incarnation uint64 `json:"incarnation"`
	IsLeaving   bool   `json:"leaving"`
	IsListed    bool   `json:"listed"`
	// LastContactSecondsAgo is the time in seconds since the last response of
	// the instance.
	LastContactSecondsAgo float64 `json:"heardSecondsAgo"`
	// IsFailing reports whether the last contact failed.
	IsFailing bool `json:"failing"`
}

// EndpointStatus is the last known state of one endpoint of the own failure domain.
type EndpointStatus struct {
	// Address and Pool are the address of the endpoint and the pool that it serves.
	Address string `json:"address"`
	Pool    string `json:"pool"`
	// Incarnation identifies the run of the process; 0 if it is not yet known.
	// IsLeaving reports whether the endpoint is shutting down, IsListed whether the
	// platform lists it, and IsLoading whether it is loading a model.
	Incarnation uint64 `json:"incarnation"`
	IsLeaving   bool   `json:"leaving"`
	IsListed    bool   `json:"listed"`
	IsLoading   bool   `json:"loading"`
	// RunningRequests and Slots, the number of requests that the endpoint can run at
	// once, are from the last load report. ReportSecondsAgo is its age in seconds.
	RunningRequests  int     `json:"running"`
	Slots            int     `json:"slots"`
	ReportSecondsAgo float64 `json:"reportSecondsAgo"`
	// IsFailing reports whether the last contact failed.
	IsFailing bool `json:"failing"`
}

// maxConfirmationAge is the age up to which a confirmation counts for
// Status.IsConfigConfirmed.
const maxConfirmationAge = time.Minute

// Status returns the status at now.
func (h *Handler) Status(now time.Time) Status {
	s := h.control.Snapshot()
	status := Status{
		Incarnation:       h.Incarnation,
		Region:            h.Settings.Region,
		Domain:            h.Settings.Domain,
		IsReady:           s.IsReady,
		IsLeaving:         s.Self.IsLeaving,
		InFlight:          h.dispatcher.InFlight(),
		Config:            s.ConfigTracker.Accepted().String(),
		IsConfigConfirmed: s.ConfigTracker.IsConfirmedWithin(now, maxConfirmationAge),
		Peers:             peerStatuses(s, now),
		Endpoints:         []EndpointStatus{},
	}
	for _, e := range s.Endpoints {
		status.Endpoints = append(status.Endpoints, EndpointStatus{
			Address: e.Address, Pool: e.Pool, Incarnation: e.Incarnation, IsLeaving: e.IsLeaving,
			IsListed: e.IsListed, IsLoading: e.IsLoading, RunningRequests: e.Report.RunningRequests, Slots: e.Report.Slots,
			ReportSecondsAgo: now.Sub(e.Report.ReportedAt).Seconds(), IsFailing: !e.ContactFailedAt.IsZero(),
		})
	}
	return status
}

func peerStatuses(s *cwcontrol.Snapshot, now time.Time) []PeerStatus {
	peers := make([]PeerStatus, 0, len(s.Members))
	for _, m := range s.Members {
		peers = append(peers, PeerStatus{
			Address: m.PeerAddress, Region: m.Region, Domain: m.Domain,
			Incarnation: m.Incarnation, IsLeaving: m.IsLeaving, IsListed: m.IsListed,
			LastContactSecondsAgo: now.Sub(m.LastContactAt).Seconds(), IsFailing: !m.ContactFailedAt.IsZero(),
		})
	}
	return peers
}
