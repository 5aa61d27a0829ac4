package cwserver_test

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwserver"
)

// TestConnLimitRefusesRequests guards against callers above the connection limit whose
// connection is closed without a word: they can't tell whether their request was run.
func TestConnLimitRefusesRequests(t *testing.T) {
	const limit = 2
	for _, test := range []struct {
		name    string
		more    int    // connections above the limit
		closed  int    // connections within the limit that end before the last one sends
		sent    string // on the last connection
		want    string // status line and body of what it gets
		message string // of the line, if one is expected
	}{
		{name: "within the limit", sent: request, want: "200 OK: ok"},
		{name: "above the limit", more: 1, sent: request, want: "503 Service Unavailable: too many connections\n", message: "request refused at the connection limit"},
		{
			name: "with a body", more: 1, sent: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\norder",
			want: "503 Service Unavailable: too many connections\n", message: "request refused at the connection limit",
		},
		{name: "below the limit again", more: 1, closed: 1, sent: request, want: "200 OK: ok"},
		{name: "far above the limit", more: 129, sent: request, message: "connection closed at the connection limit"},
	} {
		t.Run(test.name, func(t *testing.T) {
			withLimits(t, respondOK, cwserver.Limits{Conns: limit}, func(s *testServer) {
				conns := make([]net.Conn, 0, limit+test.more)
				for range limit + test.more {
					conns = append(conns, s.dial())
				}
				for _, c := range conns[:test.closed] {
					s.is.NoErr(c.Close())
				}
				synctest.Wait()
				last := conns[len(conns)-1]
				_, _ = io.WriteString(last, test.sent)
				s.is.Equal(s.readStatusAndBody(last), test.want)
				if test.message != "" {
					s.is.Equal(s.logs.FilterMessage(test.message).Len(), 1)
				}
				if test.more > 0 && test.closed == 0 {
					// A connection above the limit has no request for a second at most.
					start := time.Now()
					_, err := io.ReadAll(conns[limit])
					s.is.NoErr(err)
					s.is.True(time.Since(start) <= time.Second)
				}
			})
		})
	}
}
