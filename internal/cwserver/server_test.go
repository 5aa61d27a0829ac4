package cwserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwserver"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
)

const (
	serverIP       = "10.1.0.1"
	serverAddress  = serverIP + ":8001"
	arrivalTimeout = 400 * time.Millisecond
	request        = "GET / HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r1\r\n\r\n"
)

// testServer is a running server on an in-memory network.
type testServer struct {
	*cwserver.Server
	t       *testing.T
	is      *is.I
	network *cwmemnet.Network
	logs    *observer.ObservedLogs
	served  chan error
}

func newCommon(n cwnet.Net) (*cwcommon.Common, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	return &cwcommon.Common{
		Log: zap.New(core), Settings: &cwsetting.Settings{HeaderTimeout: 5 * time.Second, MaxHeaderBytes: 32 << 10},
		Metrics: tally.NoopScope, Net: n,
	}, logs
}

// withServer runs a test against a server in a synctest bubble.
func withServer(t *testing.T, handler http.HandlerFunc, run func(s *testServer)) {
	t.Helper()
	withLimits(t, handler, cwserver.Limits{}, run)
}

func withLimits(t *testing.T, handler http.HandlerFunc, limits cwserver.Limits, run func(s *testServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := cwmemnet.NewNetwork()
		common, logs := newCommon(network.Host(serverIP))
		s := &testServer{
			Server: cwserver.NewServer(common, "caller", serverAddress, handler, limits),
			t:      t, is: is.New(t), network: network, logs: logs, served: make(chan error, 1),
		}
		s.RequestID = func(h http.Header) string { return h.Get("Request-Id") }
		l, err := common.Net.Listen(t.Context(), serverAddress)
		s.is.NoErr(err)
		go func() { s.served <- s.Serve(l) }()
		defer func() {
			_ = s.Close()
			s.is.NoErr(<-s.served)
			network.Close()
		}()
		run(s)
	})
}

// dial opens a connection and returns once the server has accepted it.
func (s *testServer) dial() net.Conn {
	c, err := s.network.Host("10.9.0.1").DialContext(s.t.Context(), "tcp", serverAddress)
	s.is.NoErr(err)
	synctest.Wait()
	return c
}

func (s *testServer) send(c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	s.is.NoErr(err)
	synctest.Wait()
}

// readBody reads one response and returns its body.
func (s *testServer) readBody(c net.Conn) string {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	s.is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	s.is.NoErr(err)
	return string(body)
}

// readStatusAndBody reads one response. It returns an empty text if the connection ends without
// one.
func (s *testServer) readStatusAndBody(c net.Conn) string {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return ""
	}
	body, err := io.ReadAll(resp.Body)
	s.is.NoErr(err)
	return resp.Status + ": " + string(body)
}

// startDrain drains the server in the background and returns once its listener is closed.
func (s *testServer) startDrain(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.Drain(ctx, arrivalTimeout) }()
	synctest.Wait()
	return done
}

func (s *testServer) countUnanswered() int {
	return s.logs.FilterMessage("connection closed without a response").Len()
}

func respondOK(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok")
}

// respondToBody responds after it has read the request's body.
func respondToBody(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	respondOK(w, r)
}

// TestResponseArrivesBeforeTheBodyIsSent guards against a response that is lost because the
// server closes the connection while the peer is still sending a body that nobody reads.
func TestResponseArrivesBeforeTheBodyIsSent(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
	}
	withServer(t, refuse, func(s *testServer) {
		c := s.dial()
		start := time.Now()
		s.send(c, "POST / HTTP/1.1\r\nHost: app.example\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n")
		s.is.Equal(s.readBody(c), "too large\n")
		s.is.Equal(time.Since(start), time.Duration(0)) // the response does not wait for the body
		s.send(c, strings.Repeat("x", 100_000))
	})
}

// TestResponseReachesPeerThatSendsFirst guards against a response that is lost because the server
// resets a connection whose peer sends its whole body before it reads.
func TestResponseReachesPeerThatSendsFirst(t *testing.T) {
	for name, isLeaving := range map[string]bool{"kept connection": false, "shutdown": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			common, _ := newCommon(cwnet.NewTCP())
			s := cwserver.NewServer(common, "caller", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "too large", http.StatusRequestEntityTooLarge)
			}), cwserver.Limits{})
			l, err := common.Net.Listen(t.Context(), s.Address())
			is.NoErr(err)
			served := make(chan error, 1)
			go func() { served <- s.Serve(l) }()
			if isLeaving {
				s.DisableKeepAlives()
			}
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: app.example\r\nContent-Length: 8000000\r\n\r\n")
			is.NoErr(err)
			_, err = io.WriteString(c, strings.Repeat("x", 8_000_000))
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
			is.NoErr(c.Close())
			is.NoErr(s.Close())
			is.NoErr(<-served)
		})
	}
}

// TestBodyThatIsNeverSentIsNotAwaited checks that a connection whose peer does not send the
// rest of its body is closed.
func TestBodyThatIsNeverSentIsNotAwaited(t *testing.T) {
	withServer(t, respondOK, func(s *testServer) {
		c := s.dial()
		start := time.Now()
		s.send(c, "POST / HTTP/1.1\r\nHost: app.example\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n")
		s.is.Equal(s.readBody(c), "ok")
		_, err := c.Read(make([]byte, 1))
		s.is.Equal(err, io.EOF)
		s.is.True(time.Since(start) <= time.Second)
	})
}

// TestCallerThatLeavesIsNotLogged checks that a connection that the caller closes itself
// does not count as closed without a response.
func TestCallerThatLeavesIsNotLogged(t *testing.T) {
	block := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	withServer(t, block, func(s *testServer) {
		c := s.dial()
		s.send(c, request)
		_ = c.Close()
		synctest.Wait()
		s.is.Equal(s.countUnanswered(), 0)
	})
}

// TestInterimResponseIsNoResponse guards against a request that is dropped without a line in
// the log because its peer was told to send the body.
func TestInterimResponseIsNoResponse(t *testing.T) {
	block := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	withServer(t, block, func(s *testServer) {
		c := s.dial()
		s.send(c, "POST / HTTP/1.1\r\nHost: app.example\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		s.is.NoErr(err)
		s.is.Equal(resp.StatusCode, http.StatusContinue)
		s.send(c, "order")
		_ = s.Close()
		synctest.Wait()
		s.is.Equal(s.countUnanswered(), 1)
	})
}
