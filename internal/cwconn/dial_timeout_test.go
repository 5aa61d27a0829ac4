package cwconn_test

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwnet"
)

// earlyTimeoutNet is a network whose dials time out before the context of the dial is done, as
// a net.Dialer's may, which sets a deadline of its own.
type earlyTimeoutNet struct {
	cwnet.Net
}

func (earlyTimeoutNet) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
}

// TestDialTimeoutIsNoAnswer guards against a silent endpoint that counts as one which refuses
// connections, because the dialer noticed the end of the timeout before the context did.
func TestDialTimeoutIsNoAnswer(t *testing.T) {
	is := is.New(t)
	pool := cwconn.NewPool(earlyTimeoutNet{})
	err := pool.Preconnect(t.Context(), "10.1.1.1:8010", 0, time.Minute)
	is.True(errors.Is(err, cwconn.ErrNoAnswer))
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	err = pool.Preconnect(cancelled, "10.1.1.1:8010", 0, time.Minute)
	is.True(!errors.Is(err, cwconn.ErrNoAnswer)) // the caller's end, not the endpoint's silence
}
