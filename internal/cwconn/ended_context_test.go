package cwconn_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
)

// TestCallWhoseContextHasEndedIsNotSent guards against work for a caller that left before its request was
// sent, on an idle connection or a new one.
func TestCallWhoseContextHasEndedIsNotSent(t *testing.T) {
	for _, isIdle := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := cwmemnet.NewNetwork()
			defer n.Close()
			l, err := n.Host("10.0.0.1").Listen(context.Background(), "10.0.0.1:80")
			is.NoErr(err)
			var arrivals atomic.Int32
			server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrivals.Add(1) })}
			go func() { _ = server.Serve(l) }()
			defer func() { _ = server.Close() }()
			pool := cwconn.NewPool(n.Host("10.0.0.2"))
			if isIdle {
				is.NoErr(pool.Preconnect(t.Context(), "10.0.0.1:80", 0, cwconn.DialTimeout))
			}
			ctx, cancel := context.WithCancelCause(t.Context())
			errLeft := errors.New("left")
			cancel(errLeft)
			_, err = pool.Do(ctx, newCall("10.0.0.1:80"))
			var callErr *cwconn.CallError
			is.True(errors.As(err, &callErr))
			is.True(!callErr.Sent)
			is.True(errors.Is(err, errLeft))
			synctest.Wait()
			is.Equal(int(arrivals.Load()), 0)
			pool.CloseIdle("10.0.0.1:80")
		})
	}
}
