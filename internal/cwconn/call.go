package cwconn

// Call is one request on a connection.
type Call struct {
	// Address is the peer's host and port.
	Address string
	// Method is the method; the head holds it too.
	Method string
	// Head is the request line and all fields, with the empty line at the end.
	Head []byte
	// Body is the whole body.
	Body []byte
	// MatchesResponse reports whether an answer with these fields belongs to the request. An
	// answer that doesn't is skipped: endpoints may send a second, late answer.
	MatchesResponse func(status int, field func(name string) string) bool
	// ForceNewConn asks for a new connection.
	ForceNewConn bool
	// MaxConns bounds the connections to the address; 0 sets no bound.
	MaxConns int
}
