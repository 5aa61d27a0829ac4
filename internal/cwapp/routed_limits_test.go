package cwapp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// dialCaller opens a connection to the caller address of an instance.
func dialCaller(t *testing.T, is *is.I, s *cwscene.RoutedScene, i *cwscene.RoutedInstance) net.Conn {
	c, err := s.Net.Host(cwscene.CallerIP).DialContext(t.Context(), "tcp", i.Settings.CallerAddress)
	is.NoErr(err)
	return c
}

// newRequestText returns the bytes of a request, in two parts.
func newRequestText() (start, rest string) {
	return "GET /r/x HTTP/1.1\r\nHost: " + cwscene.RouteHost + "\r\n", cwstandin.RequestIDHeader + ": 1\r\n" + cwstandin.DeadlineHeader + ": 5000\r\n\r\n"
}

// publishLimits publishes a configuration with other limits on time than the default ones.
func publishLimits(s *cwscene.RoutedScene, headerMillis, idleMillis int) {
	config := cwstandin.NewPublishedConfig(7, []map[string]any{cwstandin.NewPublishedPlainService("app")}, []cwscene.RoutedRoute{cwscene.NewRoute("r", "unsafe", nil)})
	config["limits"] = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": headerMillis, "idle-timeout-ms": idleMillis}
	s.Store.PutJSON(cwstandin.ConfigKey, config)
}

// TestHeaderTimeoutOfConfigIsKept guards against a request that is half read and dropped
// although its caller stays within header-timeout-ms of the configuration.
func TestHeaderTimeoutOfConfigIsKept(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		publishLimits(s, 10000, 15000)
		s.AddWorker("north-a", "10.1.1.1")
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		c := dialCaller(t, is, s, i)
		start, rest := newRequestText()
		_, err := io.WriteString(c, start)
		is.NoErr(err)
		time.Sleep(7 * time.Second)
		_, err = io.WriteString(c, rest)
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	})
}

// TestIdleTimeoutOfConfigIsKept guards against a kept connection that is closed although
// its caller stays within four fifths of idle-timeout-ms, before and after the first request.
func TestIdleTimeoutOfConfigIsKept(t *testing.T) {
	for _, test := range []struct {
		name       string
		idleMillis int
		isFirst    bool
	}{
		{name: "first request", idleMillis: 15000, isFirst: true},
		{name: "next request", idleMillis: 15000},
		{name: "long timeout", idleMillis: 90000},
	} {
		t.Run(test.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				publishLimits(s, 3000, test.idleMillis)
				s.AddWorker("north-a", "10.1.1.1")
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				c := dialCaller(t, is, s, i)
				reader := bufio.NewReader(c)
				start, rest := newRequestText()
				if !test.isFirst {
					_, err := io.WriteString(c, start+rest)
					is.NoErr(err)
					resp, err := http.ReadResponse(reader, nil)
					is.NoErr(err)
					_, err = io.Copy(io.Discard, resp.Body)
					is.NoErr(err)
				}
				time.Sleep(time.Duration(test.idleMillis) * time.Millisecond * 4 / 5)
				_, err := io.WriteString(c, start+rest)
				is.NoErr(err)
				resp, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
			})
		})
	}
}

// TestAnnouncedBodyLengthIsLimited guards against memory that is taken for the length that a
// caller or an instance announces, if the configuration sets no limit for bodies.
func TestAnnouncedBodyLengthIsLimited(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		config := cwstandin.NewPublishedConfig(7, []map[string]any{cwstandin.NewPublishedPlainService("app")}, []cwscene.RoutedRoute{cwscene.NewRoute("r", "unsafe", nil)})
		config["limits"] = map[string]any{}
		s.Store.PutJSON(cwstandin.ConfigKey, config)
		s.AddWorker("north-a", "10.1.1.1")
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		c := dialCaller(t, is, s, i)
		start, rest := newRequestText()
		_, err := io.WriteString(c, strings.Replace(start, "GET", "POST", 1)+"Content-Length: 1000000000000\r\n"+rest)
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err) // refused before the body arrives
		is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	})
}
