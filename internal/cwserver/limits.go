package cwserver

import "time"

// keepAliveTimeout is the least time after which a connection without a request is closed.
const keepAliveTimeout = time.Minute

// Limits bound the use of a server.
type Limits struct {
	// Conns is the largest number of open connections; 0 means no limit. Connections in
	// excess of it are closed.
	Conns int
	// Times returns how long peers may take to send a head and how long a connection may
	// have no request. The server never allows less than the header timeout of its settings
	// and keepAliveTimeout. Times may be nil.
	Times func() (header, idle time.Duration)
}
