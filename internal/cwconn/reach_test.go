package cwconn_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
)

// TestReachWaitsForTheEndOfThePeer guards against a peer that counts as alive because it accepted a
// connection in the moment of its end.
func TestReachWaitsForTheEndOfThePeer(t *testing.T) {
	const lasting = 50 * time.Millisecond
	for _, test := range []struct {
		name string
		// closedAfter is the time after which the peer closes the connection.
		closedAfter time.Duration
		openConns   int
		isReached   bool
	}{
		{"stays", time.Minute, 0, true},
		{"stays, at the limit of connections", time.Minute, 1, true},
		{"ends", 5 * time.Millisecond, 0, false},
		{"ends, at the limit of connections", 5 * time.Millisecond, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := cwmemnet.NewNetwork()
				defer n.Close()
				l, err := n.Host("10.0.0.1").Listen(context.Background(), "10.0.0.1:80")
				is.NoErr(err)
				defer func() { _ = l.Close() }()
				go func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						time.AfterFunc(test.closedAfter, func() { _ = conn.Close() })
					}
				}()
				pool := cwconn.NewPool(n.Host("10.0.0.2"))
				defer pool.CloseIdle("10.0.0.1:80")
				for range test.openConns {
					is.NoErr(pool.Preconnect(t.Context(), "10.0.0.1:80", 1, time.Second))
				}
				start := time.Now()
				err = pool.Reach(t.Context(), "10.0.0.1:80", 1, time.Second, lasting)
				is.Equal(err == nil, test.isReached)
				is.True(time.Since(start) <= lasting)
				if test.isReached {
					// The connection is kept, and takes none beside the limit.
					is.Equal(pool.Preconnect(t.Context(), "10.0.0.1:80", 1, time.Second) != nil, true)
					is.NoErr(pool.Preconnect(t.Context(), "10.0.0.1:80", 2, time.Second))
				}
			})
		})
	}
}
