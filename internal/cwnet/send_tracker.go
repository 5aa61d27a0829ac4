package cwnet

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// SendTracker records whether any byte of one HTTP request may have been sent.
type SendTracker struct {
	mu              sync.Mutex
	conn            *CountingConn
	sentBytesBefore int64
	isUncertain     bool
}

// Attach returns a context that tracks the request sent with it. The connections of the
// transport must be of type *CountingConn; with others HasSentNothing returns false.
func (s *SendTracker) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

// gotConn is called again if the transport sends the request on another connection.
func (s *SendTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, ok := info.Conn.(*CountingConn)
	if !ok || s.conn != nil && s.conn.SentBytes() != s.sentBytesBefore {
		s.isUncertain = true
		return
	}
	s.conn, s.sentBytesBefore = conn, conn.SentBytes()
}

// HasSentNothing reports whether it is certain that no byte of the request was sent.
func (s *SendTracker) HasSentNothing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUncertain {
		return false
	}
	return s.conn == nil || s.conn.SentBytes() == s.sentBytesBefore
}
