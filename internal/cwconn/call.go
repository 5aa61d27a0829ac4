package cwconn

// Call is one request to be sent on a connection.
type Call struct {
	// Address is the peer's host and port.
	Address string
	// ID identifies the request in its responses. A connection carries an identifier once: the copy of a
	// refusal can't be told from the response to the same request sent again. Empty if responses
	// name no request.
	ID string
	// Method is the request method. The head contains it too.
	Method string
	// EncodeHead returns the request line and all header fields, up to and including the
	// empty line. It is called once the connection is open, since the head may state the
	// time that is left.
	EncodeHead func() []byte
	// Admit is called once a new connection is open, if it is not nil. With an error the call is not
	// sent, and the connection is kept for the next one: the reason for the call may have gone
	// while the connection was opened.
	Admit func() error
	// KeepsPending is set if the connection stays open when the context ends before the response
	// begins. The error then has a Pending, which the caller must await or close.
	KeepsPending bool
	// Body is the whole body.
	Body []byte
	// MatchResponse returns whether a response with this status and these fields belongs to the
	// request. Other responses are skipped: endpoints may send a second, late response to an
	// earlier request. If it is nil, every response belongs to the request.
	MatchResponse func(status int, field func(name string) string) Match
	// OnSkip is called with the status and the fields of each response that is skipped; it may be nil.
	OnSkip func(status int, field func(name string) string)
	// NeedsNamedResponses is set if the call must not be sent on a connection on which a response
	// came that named no request: another copy of it can't be told from the response to the call.
	NeedsNamedResponses bool
	// Check tells a refusal of the call from one that belongs to no request; nil if that makes no
	// difference. It is sent after a response that names no request, unless that is the first one on
	// its connection.
	Check *Check
	// ForceNewConn prevents the use of an idle connection.
	ForceNewConn bool
	// MaxConns is the largest number of connections to the address; 0 means no limit.
	MaxConns int
}
