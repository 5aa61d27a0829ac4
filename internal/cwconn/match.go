package cwconn

// Match is how a response belongs to a request.
type Match int

const (
	// MatchNone means that it belongs to another request.
	MatchNone Match = iota
	// MatchByOrder means that it names no request, and belongs to the one that was sent last.
	MatchByOrder
	// MatchByName means that it names the request.
	MatchByName
)
