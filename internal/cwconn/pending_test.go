package cwconn_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
)

// TestResponseAfterTheEndOfTheContext guards against a response that is lost because its caller left
// right before it, and against requests that go on after they were to be cancelled.
func TestResponseAfterTheEndOfTheContext(t *testing.T) {
	for _, test := range []struct {
		name         string
		keepsPending bool
		// wait is how long the response is awaited; 0 closes the connection at once.
		wait time.Duration
		// canceledAfter is the time at which the server sees the end of the connection.
		canceledAfter time.Duration
	}{
		{"not kept", false, 0, time.Second},
		{"closed", true, 0, time.Second},
		{"not in time", true, 500 * time.Millisecond, 1500 * time.Millisecond},
		{"in time", true, 1500 * time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := cwmemnet.NewNetwork()
				defer n.Close()
				l, err := n.Host("10.0.0.1").Listen(context.Background(), "10.0.0.1:80")
				is.NoErr(err)
				var canceledAfter atomic.Int64
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					start := time.Now()
					select {
					case <-time.After(2 * time.Second):
						_, _ = io.WriteString(w, "late")
					case <-r.Context().Done():
						canceledAfter.Store(int64(time.Since(start)))
					}
				})}
				go func() { _ = server.Serve(l) }()
				defer func() { _ = server.Close() }()
				pool := cwconn.NewPool(n.Host("10.0.0.2"))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				call := newCall("10.0.0.1:80")
				call.KeepsPending = test.keepsPending
				_, err = pool.Do(ctx, call)
				var callErr *cwconn.CallError
				is.True(errors.As(err, &callErr))
				is.True(callErr.Sent)
				is.Equal(callErr.Pending != nil, test.keepsPending)
				switch {
				case test.wait > 0:
					waitCtx, cancelWait := context.WithTimeout(t.Context(), test.wait)
					defer cancelWait()
					response, err := callErr.Pending.Await(waitCtx)
					is.Equal(err == nil, test.canceledAfter == 0)
					if err == nil {
						body, err := io.ReadAll(response)
						is.NoErr(err)
						is.Equal(string(body), "late")
					}
				case test.keepsPending:
					callErr.Pending.Close()
				}
				time.Sleep(3 * time.Second)
				is.Equal(time.Duration(canceledAfter.Load()), test.canceledAfter)
				pool.CloseIdle("10.0.0.1:80")
			})
		})
	}
}
