package cwserver_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/clementinewell/clementinewell/internal/cwserver"
)

// TestBodyMayBeReadWhileHandlerReturns guards against a data race: a body that is forwarded while
// it arrives is read by the transport, which may still do so when the handler returns.
func TestBodyMayBeReadWhileHandlerReturns(t *testing.T) {
	withLimits(t, func(_ http.ResponseWriter, r *http.Request) {
		begun := make(chan struct{})
		go func() {
			close(begun)
			_, _ = io.Copy(io.Discard, r.Body)
		}()
		<-begun
	}, cwserver.Limits{}, func(s *testServer) {
		for range 50 {
			c := s.dial()
			s.send(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello")
			s.is.Equal(s.readStatusAndBody(c), "200 OK: ")
			s.is.NoErr(c.Close())
		}
	})
}
