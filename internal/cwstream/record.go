package cwstream

import "time"

// Record is the origin of one stream. It is kept until the caller's deadline.
type Record struct {
	ID        ID
	Origin    Origin
	ExpiresAt time.Time
}
