// Package cwtrace replays recorded traces of events through cwpolicy and compares its
// decisions with the outcomes that the traces expect.
package cwtrace

// Step is one line of a trace: an event at an instance and, if the event leads to a
// decision, its expected outcome.
type Step struct {
	// AtMillis is the time of the event since the start of the trace, by the clock
	// of the instance.
	AtMillis int64 `json:"atMillis"`
	// Event is the name of the event.
	Event string `json:"do"`
	// Instance is the name of the instance at which the event occurs.
	Instance string `json:"instance,omitempty"`
	// Expect is the expected outcome. If it is empty, the outcome is not compared.
	Expect string `json:"expect,omitempty"`
	// Note explains the purpose of the step.
	Note string `json:"note,omitempty"`

	// Ticket, FromInstance and Outcome are for ticket events.
	Ticket       string `json:"ticket,omitempty"`
	FromInstance string `json:"from,omitempty"`
	Outcome      string `json:"outcome,omitempty"`
	// ConfigNumber and ConfigHash are for configuration events.
	ConfigNumber uint64 `json:"number,omitempty"`
	ConfigHash   string `json:"hash,omitempty"`
	// Member, Members, Domain, Incarnation and IsLeaving are for membership events.
	// Endpoint is set instead of Member for events of an endpoint.
	Member      string   `json:"member,omitempty"`
	Members     []string `json:"members,omitempty"`
	Domain      string   `json:"domain,omitempty"`
	Endpoint    string   `json:"endpoint,omitempty"`
	Incarnation uint64   `json:"incarnation,omitempty"`
	IsLeaving   bool     `json:"leaving,omitempty"`
	// AllowedRegions, Home and Region are for placement events.
	AllowedRegions []string `json:"places,omitempty"`
	Home           string   `json:"home,omitempty"`
	Region         string   `json:"region,omitempty"`
	// RunningRequests, Slots and WaitingTokens form a load report.
	RunningRequests int `json:"running,omitempty"`
	Slots           int `json:"slots,omitempty"`
	WaitingTokens   int `json:"waitingTokens,omitempty"`
	// PromptTokens, FirstTokenTargetMillis and TimeoutMillis describe a request.
	PromptTokens           int   `json:"tokens,omitempty"`
	FirstTokenTargetMillis int64 `json:"targetMillis,omitempty"`
	TimeoutMillis          int64 `json:"deadlineMillis,omitempty"`
	// HopBudget is an encoded hop budget, and HopKind is serve or ticket.
	HopBudget string `json:"hop,omitempty"`
	HopKind   string `json:"kind,omitempty"`
}
