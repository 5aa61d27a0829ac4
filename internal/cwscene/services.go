package cwscene

import "github.com/clementinewell/clementinewell/pkg/cwservice"

// NewBookingService returns a plain service whose POST /bookings is not idempotent. A
// booking can be looked up by its key.
func NewBookingService(regions ...string) cwservice.Service {
	return cwservice.Service{
		Name: "booking", Kind: cwservice.Plain, Places: regions, Transit: regions, Class: cwservice.Interactive,
		Targets: cwservice.Targets{FirstTokenMillis: 500, DeadlineMillis: 20000, Objective: 0.99},
		Operations: []cwservice.Operation{
			{Method: "GET", Path: "/bookings/*", Idempotent: true},
			{Method: "POST", Path: "/bookings", Lookup: "/bookings/by-key/{key}"},
		},
		Weights: cwservice.Weights{Tail: 1}, Health: "/healthz",
	}
}

// NewLookupService returns a plain service whose requests are idempotent.
func NewLookupService(regions ...string) cwservice.Service {
	return cwservice.Service{
		Name: "lookup", Kind: cwservice.Plain, Places: regions, Transit: regions, Class: cwservice.Interactive,
		Targets:    cwservice.Targets{FirstTokenMillis: 500, DeadlineMillis: 10000, Objective: 0.99},
		Idempotent: true, Weights: cwservice.Weights{Tail: 1}, Health: "/healthz",
	}
}

// NewChatService returns an engine service with resumable streams.
func NewChatService(regions ...string) cwservice.Service {
	return cwservice.Service{
		Name: "chat", Kind: cwservice.Engine, Model: "chat-model", Places: regions, Transit: regions, Class: cwservice.Interactive,
		Targets:    cwservice.Targets{FirstTokenMillis: 510, BetweenTokensMillis: 47, DeadlineMillis: 60000, Objective: 0.95},
		Idempotent: true, Weights: cwservice.Weights{Tail: 1, Cost: 0.2}, PrefixCache: true, Fencing: cwservice.FencingChecked, Resume: true,
	}
}
