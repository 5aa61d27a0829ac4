package cwstream

import "time"

// Record is the origin of one stream. It is kept until the caller's deadline.
type Record struct {
	ID        ID
	Origin    Origin
	ExpiresAt time.Time
	// IsObserved is set if no instance that served the stream told it: it was seen in progress at an
	// endpoint of this origin. If it was seen at another too, the origin is unknown.
	IsObserved bool
}
