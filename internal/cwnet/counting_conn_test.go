package cwnet_test

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
)

var errWrite = errors.New("connection reset")

// shortConn accepts a limited number of bytes. The write that exceeds it fails.
type shortConn struct {
	net.Conn
	accepts int
	onWrite func()
}

func (c *shortConn) Write(p []byte) (int, error) {
	c.onWrite()
	n := min(len(p), c.accepts)
	c.accepts -= n
	if n < len(p) {
		return n, errWrite
	}
	return n, nil
}

// TestFailedWriteCountsWhatWasSent guards against a request with an unknown outcome although
// no byte of it was sent, because its connection had been closed before the write.
func TestFailedWriteCountsWhatWasSent(t *testing.T) {
	for _, test := range []struct {
		name    string
		accepts int
		want    int64
	}{
		{name: "closed before", accepts: 0, want: 0},
		{name: "closed within", accepts: 4, want: 4},
		{name: "open", accepts: 10, want: 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			raw := &shortConn{accepts: test.accepts}
			c := &cwnet.CountingConn{Conn: raw}
			raw.onWrite = func() {
				is.Equal(c.SentBytes(), int64(10)) // during the write all bytes may have been sent
			}
			n, err := c.Write(make([]byte, 10))
			is.Equal(int64(n), test.want)
			is.Equal(err != nil, test.want < 10)
			is.Equal(c.SentBytes(), test.want)
		})
	}
}
