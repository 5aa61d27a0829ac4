package cwnet

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// IdleCloser is a transport that keeps idle connections.
type IdleCloser interface {
	http.RoundTripper
	CloseIdleConnections()
}

// RenewingTransport closes all idle connections after a request on a kept one that ended without a response
// by a time limit: if that connection has gone silent, the others may have too, and each would cost
// a request its time. After a request on a new connection they stay: it tells of the peer only.
type RenewingTransport struct {
	IdleCloser
}

// RoundTrip implements http.RoundTripper.
func (t *RenewingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var isReused atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { isReused.Store(info.Reused) },
	})
	resp, err := t.IdleCloser.RoundTrip(req.WithContext(ctx))
	// Without a cause of its own, a cancelled request was given up by its caller.
	if cause := context.Cause(ctx); err != nil && isReused.Load() && cause != nil && !errors.Is(cause, context.Canceled) {
		t.CloseIdleConnections()
	}
	return resp, err
}
