package cwserver_test

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestLateHeadIsRefused guards against a caller that is too slow with its head and gets a closed
// connection, or status 400, which callers take for a fault of their request: neither states that
// the request has not run.
func TestLateHeadIsRefused(t *testing.T) {
	for _, test := range []struct {
		name, before, head string
	}{
		{name: "within the first line", head: "GET /"},
		{name: "after a line", head: "GET / HTTP/1.1\r\nHost: a\r\n"},
		{name: "within a field", head: "GET / HTTP/1.1\r\nHost"},
		{name: "on a kept connection", before: request, head: "GET / HTTP/1.1\r\nHost"},
	} {
		t.Run(test.name, func(t *testing.T) {
			withServer(t, respondOK, func(s *testServer) {
				c := s.dial()
				if test.before != "" {
					s.send(c, test.before)
					s.is.Equal(s.readBody(c), "ok")
				}
				s.send(c, test.head)
				start := time.Now()
				all, err := io.ReadAll(c)
				s.is.NoErr(err)
				s.is.Equal(time.Since(start), 5*time.Second)
				s.is.True(strings.HasPrefix(string(all), "HTTP/1.1 408 Request Timeout\r\n"))
				s.is.True(strings.Contains(string(all), "Connection: close\r\n"))
				s.is.Equal(strings.Count(string(all), "HTTP/1.1"), 1) // and nothing after it
				synctest.Wait()
				s.is.Equal(s.logs.FilterMessage("head not received in time").Len(), 1)
			})
		})
	}
}
