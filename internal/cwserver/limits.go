package cwserver

import "time"

const (
	// keepAliveTimeout is the least time after which an idle connection is closed.
	keepAliveTimeout = time.Minute
	// lingerTimeout limits how long the rest of a body is read that no handler wants.
	lingerTimeout = 500 * time.Millisecond
)

// Limits bound the use of a server.
type Limits struct {
	// Conns is the largest number of open connections; 0 means no limit. Connections in
	// excess of it are closed.
	Conns int
	// Times returns how long peers may take to send a head and how long a connection may
	// have no request. The server allows at least the header timeout of its settings for a
	// head and for the first request, and keepAliveTimeout for the next ones. Times may be nil.
	Times func() (header, idle time.Duration)
}
