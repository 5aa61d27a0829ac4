// Package cwtrace replays recorded traces of events through cwpolicy and compares
// what it decides with the outcomes that the trace states.
package cwtrace

// Step is one line of a trace: an event at an instance and, where it leads to a
// decision, the outcome that must follow.
type Step struct {
	// AtMillis is the time since the start of the trace, by the instance's clock.
	AtMillis int64 `json:"atMillis"`
	// Event names the event.
	Event string `json:"do"`
	// Instance is where it happens.
	Instance string `json:"instance,omitempty"`
	// Expect is the outcome, if the event has one.
	Expect string `json:"expect,omitempty"`
	// Note says why the step is there.
	Note string `json:"note,omitempty"`

	// Ticket, From and Outcome belong to events of tickets.
	Ticket       string `json:"ticket,omitempty"`
	FromInstance string `json:"from,omitempty"`
	Outcome      string `json:"outcome,omitempty"`
	// ConfigNumber and Hash belong to events of configurations.
	ConfigNumber uint64 `json:"number,omitempty"`
	ConfigHash   string `json:"hash,omitempty"`
	// Member, Members, Domain, Incarnation and Leaving belong to events of
	// membership; Endpoint names an endpoint instead of a member.
	Member      string   `json:"member,omitempty"`
	Members     []string `json:"members,omitempty"`
	Domain      string   `json:"domain,omitempty"`
	Endpoint    string   `json:"endpoint,omitempty"`
	Incarnation uint64   `json:"incarnation,omitempty"`
	IsLeaving   bool     `json:"leaving,omitempty"`
	// AllowedRegions, Home and Region belong to events of placing.
	AllowedRegions []string `json:"places,omitempty"`
	Home           string   `json:"home,omitempty"`
	Region         string   `json:"region,omitempty"`
	// RunningRequests, Slots and WaitingTokens are a load report.
	RunningRequests int `json:"running,omitempty"`
	Slots           int `json:"slots,omitempty"`
	WaitingTokens   int `json:"waitingTokens,omitempty"`
	// PromptTokens, TargetMillis and DeadlineMillis are a request.
	PromptTokens           int   `json:"tokens,omitempty"`
	FirstTokenTargetMillis int64 `json:"targetMillis,omitempty"`
	TimeoutMillis          int64 `json:"deadlineMillis,omitempty"`
	// HopBudget is a forwarding budget, and Kind serve or ticket.
	HopBudget string `json:"hop,omitempty"`
	HopKind   string `json:"kind,omitempty"`
}
