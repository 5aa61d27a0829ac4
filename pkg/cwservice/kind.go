package cwservice

// Kind tells model engines from plain services.
type Kind string

const (
	// Engine is a model engine that streams tokens.
	Engine Kind = "engine"
	// Plain is any other HTTP service.
	Plain Kind = "plain"
)

// Class orders requests that wait.
type Class string

const (
	// Interactive requests go first.
	Interactive Class = "interactive"
	// Batch requests wait for interactive ones, up to an age bound.
	Batch Class = "batch"
)

// Fencing says what an engine does with the fencing number of an order.
type Fencing string

const (
	// FencingChecked engines refuse an order that carries an old number.
	FencingChecked Fencing = "checked"
	// FencingIgnored means that engines follow any order.
	FencingIgnored Fencing = "ignored"
)
