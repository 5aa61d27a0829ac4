package cwroute

// Kind says how the requests of a route may be repeated and answered.
type Kind int

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered by events. They run at most once unless the
	// route is resumable.
	Stream
)

// String returns the kind as logs and metrics name it.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	}
	return "unsafe"
}
