package cwserver

// endReason is why a connection ended before a response to a request was complete.
type endReason string

const (
	// endPanicked: the handler panicked. endAborted: it ended with http.ErrAbortHandler.
	endPanicked endReason = "panicked"
	endAborted  endReason = "aborted"
	// endCallerLeft: the peer closed the connection, or it broke.
	endCallerLeft endReason = "callerLeft"
	// endConnLimit: there were too many connections.
	endConnLimit endReason = "connectionLimit"
	// endGraceOver: the time for a drain was over. endServerClosed: the server was closed
	// without a drain, or after a complete one.
	endGraceOver    endReason = "graceOver"
	endServerClosed endReason = "serverClosed"
	// endUnread: the connection was closed as unused while a request waited in the socket's
	// buffer.
	endUnread endReason = "unread"
	// endUnknown: none of the above.
	endUnknown endReason = "unknown"
)
