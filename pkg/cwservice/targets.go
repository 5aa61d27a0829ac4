package cwservice

import "time"

// Targets are the service level targets of a service.
type Targets struct {
	// FirstTokenMillis is the target for the time to the first streamed byte, in
	// milliseconds.
	FirstTokenMillis int `yaml:"firstTokenMillis" json:"firstTokenMillis"`
	// BetweenTokensMillis is the target for the time between tokens, in milliseconds.
	// The gateway checks only that it is not negative.
	BetweenTokensMillis int `yaml:"betweenTokensMillis" json:"betweenTokensMillis,omitempty"`
	// DeadlineMillis limits the time of the whole request, in milliseconds.
	DeadlineMillis int `yaml:"deadlineMillis" json:"deadlineMillis"`
	// Objective is the fraction of requests that must meet the targets, such as 0.95.
	Objective float64 `yaml:"objective" json:"objective"`
}

// FirstToken returns the target for the time to the first streamed byte.
func (t Targets) FirstToken() time.Duration {
	return time.Duration(t.FirstTokenMillis) * time.Millisecond
}

// Deadline returns the limit for the time of the whole request.
func (t Targets) Deadline() time.Duration {
	return time.Duration(t.DeadlineMillis) * time.Millisecond
}
