// Package cwtrace replays recorded traces of events through cwpolicy and compares
// what it decides with the outcomes that the trace states.
package cwtrace

// Step is one line of a trace: an event at an instance and, where it leads to a
// decision, the outcome that must follow.
type Step struct {
	// AtMillis is the time since the start of the trace, by the instance's clock.
	AtMillis int64 `json:"atMillis"`
	// Do names the event.
	Do string `json:"do"`
	// Instance is where it happens.
	Instance string `json:"instance,omitempty"`
	// Expect is the outcome, if the event has one.
	Expect string `json:"expect,omitempty"`
	// Note says why the step is there.
	Note string `json:"note,omitempty"`

	// Ticket, From and Outcome belong to events of tickets.
	Ticket  string `json:"ticket,omitempty"`
	From    string `json:"from,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	// Number and Hash belong to events of configurations.
	Number uint64 `json:"number,omitempty"`
	Hash   string `json:"hash,omitempty"`
	// Member, Members, Domain, Incarnation and Leaving belong to events of
	// membership; Endpoint names an endpoint instead of a member.
	Member      string   `json:"member,omitempty"`
	Members     []string `json:"members,omitempty"`
	Domain      string   `json:"domain,omitempty"`
	Endpoint    string   `json:"endpoint,omitempty"`
	Incarnation uint64   `json:"incarnation,omitempty"`
	Leaving     bool     `json:"leaving,omitempty"`
	// Places, Home and Region belong to events of placing.
	Places []string `json:"places,omitempty"`
	Home   string   `json:"home,omitempty"`
	Region string   `json:"region,omitempty"`
	// Running, Slots and WaitingTokens are a load report.
	Running       int `json:"running,omitempty"`
	Slots         int `json:"slots,omitempty"`
	WaitingTokens int `json:"waitingTokens,omitempty"`
	// Tokens, TargetMillis and DeadlineMillis are a request.
	Tokens         int   `json:"tokens,omitempty"`
	TargetMillis   int64 `json:"targetMillis,omitempty"`
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
	// Hop is a forwarding budget, and Kind serve or ticket.
	Hop  string `json:"hop,omitempty"`
	Kind string `json:"kind,omitempty"`
}
