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
	// Batch requests are placed after interactive requests. After a maximum time in
	// the queue they rank equally.
	Batch Class = "batch"
)

// Fencing states how an engine treats the fencing number of an order, which instructs
// the engine to load a model.
type Fencing string

const (
	// FencingChecked means that engines refuse an order with an outdated number.
	FencingChecked Fencing = "checked"
	// FencingIgnored means that engines execute any order.
	FencingIgnored Fencing = "ignored"
)
