package cwroute

// Kind is how the requests of a route may be retried and are answered.
type Kind int

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered with a stream of events. They run at most once
	// unless the route is resumable.
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	}
	return "unsafe"
}
