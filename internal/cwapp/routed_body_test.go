package cwapp_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestBodyThatIsNotSentInTimeIsRefused guards against a request that is held beyond its deadline,
// or closed without a response at the end of a shutdown, because its body is never sent.
func TestBodyThatIsNotSentInTimeIsRefused(t *testing.T) {
	for _, test := range []struct {
		name     string
		framing  string
		deadline time.Duration
		stops    bool
		within   time.Duration
	}{
		{name: "deadline, length", framing: "Content-Length: 10\r\n\r\nab", deadline: 2 * time.Second, within: 2 * time.Second},
		{name: "deadline, chunks", framing: "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", deadline: 2 * time.Second, within: 2 * time.Second},
		{name: "shutdown", framing: "Content-Length: 10\r\n\r\nab", deadline: time.Minute, stops: true, within: cwscene.DefaultBounds().ShutdownGrace},
	} {
		t.Run(test.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"timeout-ms": 60_000}))
				s.AddWorker("north-a", "10.1.1.1")
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				c, err := s.Net.Host(cwscene.CallerIP).DialContext(t.Context(), "tcp", i.Settings.CallerAddress)
				is.NoErr(err)
				defer func() { _ = c.Close() }()
				start := time.Now()
				is.NoErr(c.SetReadDeadline(start.Add(test.within)))
				_, err = fmt.Fprintf(c, "POST /r/x HTTP/1.1\r\nHost: %s\r\n%s: r1\r\n%s: %d\r\n%s",
					cwscene.RouteHost, cwstandin.RequestIDHeader, cwstandin.DeadlineHeader, test.deadline.Milliseconds(), test.framing)
				is.NoErr(err)
				synctest.Wait()
				if test.stops {
					i.Stop()
				}
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusRequestTimeout)
				is.True(resp.Close)
			})
		})
	}
}
