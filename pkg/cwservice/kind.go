package cwservice

// Kind is the kind of the endpoints of a service.
type Kind string

const (
	// Engine is a model engine that streams tokens.
	Engine Kind = "engine"
	// Plain is any other HTTP service.
	Plain Kind = "plain"
)

// Class is the priority class of waiting requests.
type Class string

const (
	// Interactive requests are placed before batch requests.
	Interactive Class = "interactive"
	// Batch requests wait for interactive requests, up to a maximum age.
	Batch Class = "batch"
)

// Fencing states how an engine treats the fencing number of an order.
type Fencing string

const (
	// FencingChecked means that engines refuse an order with an outdated number.
	FencingChecked Fencing = "checked"
	// FencingIgnored means that engines execute any order.
	FencingIgnored Fencing = "ignored"
)
