package cwconn_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwnet"
)

// refusingNet refuses to open connections while isRefusing is set.
type refusingNet struct {
	cwnet.Net
	isRefusing atomic.Bool
}

// DialContext opens a connection unless that is refused.
func (n *refusingNet) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if n.isRefusing.Load() {
		return nil, errors.New("connection refused")
	}
	return n.Net.DialContext(ctx, network, address)
}

// TestRenewKeepsConnectionsThatMayWork guards against idle connections that are closed though they were
// used since, or though no new one can be opened, and against ones that stay beside the new one.
func TestRenewKeepsConnectionsThatMayWork(t *testing.T) {
	const address = "10.0.0.1:80"
	for _, test := range []struct {
		name         string
		stale, newer int
		isRefusing   bool
		// closed is the result, and open the number of connections afterwards.
		closed, open int
	}{
		{"stale ones only", 3, 0, false, 3, 1},
		{"stale and newer ones", 2, 2, false, 2, 3},
		{"newer ones only", 0, 2, false, 0, 2},
		{"no new one", 3, 1, true, 0, 4},
		{"none", 0, 0, false, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := cwmemnet.NewNetwork()
				defer network.Close()
				l, err := network.Host("10.0.0.1").Listen(t.Context(), address)
				is.NoErr(err)
				defer func() { _ = l.Close() }()
				var open atomic.Int64
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						open.Add(1)
						go func() {
							_, _ = c.Read(make([]byte, 1)) // until the other end closes
							open.Add(-1)
							_ = c.Close()
						}()
					}
				}()
				n := &refusingNet{Net: network.Host("10.0.0.2")}
				pool := cwconn.NewPool(n)
				for range test.stale {
					is.NoErr(pool.Preconnect(t.Context(), address, 0, time.Second))
				}
				time.Sleep(time.Second)
				since := time.Now()
				for range test.newer {
					is.NoErr(pool.Preconnect(t.Context(), address, 0, time.Second))
				}
				n.isRefusing.Store(test.isRefusing)
				closed, err := pool.Renew(t.Context(), address, since, time.Second)
				is.Equal(err != nil, test.isRefusing)
				is.Equal(closed, test.closed)
				synctest.Wait()
				is.Equal(open.Load(), int64(test.open))
				pool.CloseIdle(address)
				synctest.Wait()
				is.Equal(open.Load(), int64(0))
			})
		})
	}
}
