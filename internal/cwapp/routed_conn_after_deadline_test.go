package cwapp_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestConnectionAfterDeadlineCarriesRequests guards against a response that is lost because a
// time limit for writing, set when an earlier request of its connection ended, is still in force.
func TestConnectionAfterDeadlineCarriesRequests(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		w := s.AddWorker("north-a", "10.1.1.1")
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		c, err := s.Net.Host(cwscene.CallerIP).DialContext(t.Context(), "tcp", i.Settings.CallerAddress)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		w.QueueFaults(cwstandin.FaultHang)
		for n, status := range []int{http.StatusGatewayTimeout, http.StatusOK, http.StatusOK} {
			_, err := fmt.Fprintf(c, "POST /r/x HTTP/1.1\r\nHost: %s\r\n%s: r%d\r\n%s: 1000\r\nContent-Length: 5\r\n\r\norder",
				cwscene.RouteHost, cwstandin.RequestIDHeader, n, cwstandin.DeadlineHeader)
			is.NoErr(err)
			resp, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			_, err = io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, status)
			time.Sleep(5 * time.Second)
		}
	})
}
