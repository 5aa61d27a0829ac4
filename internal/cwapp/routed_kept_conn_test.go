package cwapp_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestKeptConnectionDuringShutdown guards against requests that are lost because they cross the
// close of a kept connection, whose caller was not told, and against late requests that are cut
// off at the end of the grace.
func TestKeptConnectionDuringShutdown(t *testing.T) {
	for _, test := range []struct {
		name     string
		route    string
		deadline time.Duration
		header   string
		status   int
	}{
		{name: "ends before the grace by its deadline", route: "r", deadline: 2 * time.Second, status: http.StatusOK},
		{name: "is predicted to end before the grace", route: "r", deadline: time.Minute, status: http.StatusOK},
		{name: "stream of a length that is only predicted", route: "s", deadline: time.Minute, header: "Clementinewell-Token-Count: 90,6\r\n", status: http.StatusServiceUnavailable},
		{name: "stream of unknown length", route: "s", deadline: time.Minute, status: http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil), cwscene.NewRoute("s", "streaming", nil))
				w := s.AddWorker("north-a", "10.1.1.1")
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				c, err := s.Net.Host(cwscene.CallerIP).DialContext(t.Context(), "tcp", i.Settings.CallerAddress)
				is.NoErr(err)
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				send := func(route, id string, deadline time.Duration, header string) *http.Response {
					_, err := fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: 5\r\n\r\norder",
						route, cwscene.RouteHost, cwstandin.RequestIDHeader, id, cwstandin.DeadlineHeader, deadline.Milliseconds(), header)
					is.NoErr(err)
					resp, err := http.ReadResponse(reader, nil)
					is.NoErr(err)
					_, err = io.ReadAll(resp.Body)
					is.NoErr(err)
					return resp
				}
				for n := range 20 { // until the service's pace is known
					is.Equal(send("r", fmt.Sprint("first-", n), time.Second, "").StatusCode, http.StatusOK)
				}
				// Another request keeps the instance from ending.
				w.QueueFaults(cwstandin.FaultHang)
				go s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Timeout: time.Minute})
				synctest.Wait()
				i.Stop()
				time.Sleep(4 * time.Second)
				resp := send(test.route, "late", test.deadline, test.header)
				is.Equal(resp.StatusCode, test.status)
				is.True(resp.Close)
				is.Equal(resp.Header.Get("Retry-After") != "", test.status == http.StatusServiceUnavailable)
				<-i.Done()
			})
		})
	}
}

// TestLateStreamIsServedIfItsDeadlineFits guards against late streams that are refused though they
// will be finished in time, or taken and cut off at the end of the grace because their length
// was only predicted.
func TestLateStreamIsServedIfItsDeadlineFits(t *testing.T) {
	for _, test := range []struct {
		name, tokens string
		deadline     time.Duration
		status       int
	}{
		{name: "deadline within the grace", tokens: "900,60", deadline: 4 * time.Second, status: http.StatusOK},
		{name: "predicted to be short", tokens: "900,60", deadline: time.Minute, status: http.StatusServiceUnavailable},
		{name: "predicted to be long", tokens: "900,60000", deadline: time.Minute, status: http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"timeout-ms": 60_000}))
				w := s.AddWorker("north-a", "10.1.1.1")
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				c, err := s.Net.Host(cwscene.CallerIP).DialContext(t.Context(), "tcp", i.Settings.CallerAddress)
				is.NoErr(err)
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				send := func(id, tokens string, deadline time.Duration) *http.Response {
					_, err := fmt.Fprintf(c, "POST /r/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nClementinewell-Model: m\r\n"+
						"Clementinewell-Token-Count: %s\r\nClementinewell-Prompt-Prefix: a1:500,b2:400\r\nContent-Length: 5\r\n\r\norder",
						cwscene.RouteHost, cwstandin.RequestIDHeader, id, cwstandin.DeadlineHeader, deadline.Milliseconds(), tokens)
					is.NoErr(err)
					resp, err := http.ReadResponse(reader, nil)
					is.NoErr(err)
					_, err = io.ReadAll(resp.Body)
					is.NoErr(err) // the stream is complete
					return resp
				}
				for n := range 20 { // until the engine's pace is known
					is.Equal(send(fmt.Sprint("first-", n), "900,60", time.Minute).StatusCode, http.StatusOK)
				}
				w.QueueFaults(cwstandin.FaultHang)
				go s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Timeout: time.Minute, Header: newPromptHeader()})
				synctest.Wait()
				i.Stop()
				time.Sleep(3 * time.Second)
				resp := send("late", test.tokens, test.deadline)
				is.Equal(resp.StatusCode, test.status)
				is.True(resp.Close)
				<-i.Done()
			})
		})
	}
}
