package cwserver

import "time"

const (
	// keepAliveTimeout is the least time after which an idle connection is closed.
	keepAliveTimeout = time.Minute
	// lingerTimeout limits how long the rest of a body is read that no handler wants.
	lingerTimeout = 500 * time.Millisecond
	// maxExcessConns is the number of connections above Limits.Conns that are kept open to refuse
	// their request, and excessTimeout how long each of them may take to begin it.
	maxExcessConns = 128
	excessTimeout  = time.Second
	// excessRetryAfterSeconds is the time after which a refused peer should retry.
	excessRetryAfterSeconds = "1"
)

// Limits bound the use of a server.
type Limits struct {
	// Conns is the largest number of open connections; 0 means no limit. A request on a
	// connection in excess of it is refused with status 503, and not run. Connections above
	// maxExcessConns of these are closed.
	Conns int
	// EvictsUnused is set if a connection in excess of Conns ends the oldest one that has no
	// request, so that peers which send nothing keep nobody out.
	EvictsUnused bool
	// Times returns how long peers may take to send a head and how long a connection may
	// have no request. The server allows at least the header timeout of its settings for a
	// head and for the first request, and keepAliveTimeout for the next ones. Times may be nil.
	Times func() (header, idle time.Duration)
}
