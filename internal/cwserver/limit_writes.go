package cwserver

import (
	"context"
	"net/http"
	"time"
)

// lateWriteTimeout is how long a response may take to write after the end of its request. It
// allows for what is left of a long response on a slow link.
const lateWriteTimeout = 4 * time.Second

// LimitWrites sets a time limit for writing the response once ctx has ended: a caller that reads
// nothing would hold its request and its response for as long as it keeps the connection. The
// handler calls the function that it returns when the request ends.
func LimitWrites(ctx context.Context, w http.ResponseWriter) func() {
	limited := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(limited)
		// If a deadline can't be set, the connection is closed already.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(lateWriteTimeout))
	})
	return func() {
		if !stop() {
			// The deadline must not be set while the next request is served.
			<-limited
		}
	}
}
