// Package cwendpoint is the interface to endpoints: requests, load reports,
// probes, resumed streams and orders to engines.
package cwendpoint

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	// LoadPath is the path at which an endpoint reports its load.
	LoadPath = "/load"
	// LoadHeader carries the load report in the responses of an endpoint.
	LoadHeader = "Endpoint-Load"
)

// Load is the load report of an endpoint.
type Load struct {
	// Incarnation identifies one run of the endpoint's process.
	Incarnation uint64 `json:"incarnation"`
	// IsLeaving is set once the endpoint shuts down and accepts no new requests.
	IsLeaving bool `json:"leaving,omitempty"`
	// AgeMillis is the age of the counts below.
	AgeMillis int `json:"ageMillis"`
	// RunningRequests, Waiting and Slots count requests.
	RunningRequests int `json:"running"`
	WaitingRequests int `json:"waiting"`
	Slots           int `json:"slots"`
	// WaitingTokens counts prompt tokens not yet processed.
	WaitingTokens int `json:"waitingTokens"`
	// LoadedModels are the models that are ready; IsLoading is set while a model is
	// being loaded.
	LoadedModels []string `json:"loaded,omitempty"`
	IsLoading    bool     `json:"loading,omitempty"`
	// FencingNumber is the highest fencing number that the engine has received.
	FencingNumber uint64 `json:"fence,omitempty"`
}

// HeaderValue returns the short form that is sent in LoadHeader, preceded by the
// version of the format. It lacks LoadedModels, IsLoading and FencingNumber.
func (l *Load) HeaderValue() string {
	return fmt.Sprintf("1 %d %t %d %d %d %d %d", l.Incarnation, l.IsLeaving, l.AgeMillis, l.RunningRequests, l.WaitingRequests, l.Slots, l.WaitingTokens)
}

// ParseLoadHeader parses the short form. It ignores additional fields at the end, and
// fails for another version, a missing field or an invalid number.
func ParseLoadHeader(s string) (Load, error) {
	l := Load{}
	parts := strings.Fields(s)
	if len(parts) < 8 || parts[0] != "1" {
		return l, fmt.Errorf("parse load header: unsupported format %.100q", s)
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return l, fmt.Errorf("parse load header: incarnation %.100q is not a number", parts[1])
	}
	l.Incarnation, l.IsLeaving = incarnation, parts[2] == "true"
	for i, field := range []*int{&l.AgeMillis, &l.RunningRequests, &l.WaitingRequests, &l.Slots, &l.WaitingTokens} {
		n, err := strconv.Atoi(parts[3+i])
		if err != nil || n < 0 {
			return l, fmt.Errorf("parse load header: invalid count %.100q", parts[3+i])
		}
		*field = n
	}
	return l, nil
}

// EndpointReport converts the load for cwcontrol. The time of the report is by this
// instance's clock, and now is when the load was received.
func (l *Load) EndpointReport(address string, now time.Time) cwcontrol.EndpointReport {
	return cwcontrol.EndpointReport{
		Address:     address,
		Incarnation: l.Incarnation,
		IsLeaving:   l.IsLeaving,
		Report: cwpolicy.LoadReport{
			ReportedAt:      now.Add(-time.Duration(l.AgeMillis) * time.Millisecond),
			RunningRequests: l.RunningRequests,
			WaitingRequests: l.WaitingRequests,
			WaitingTokens:   l.WaitingTokens,
			Slots:           l.Slots,
		},
		LoadedModels:  l.LoadedModels,
		IsLoading:     l.IsLoading,
		FencingNumber: l.FencingNumber,
	}
}

// LoadFromResponse returns the load report in the header of a response, or false if
// there is none or it is invalid.
func LoadFromResponse(h http.Header) (Load, bool) {
	value := h.Get(LoadHeader)
	if value == "" {
		return Load{}, false
	}
	l, err := ParseLoadHeader(value)
	return l, err == nil
}
