package cwserver_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwserver"
)

// TestDrainAnswersRequestsThatArriveLate guards against requests that are read and dropped
// because their connection had none in progress when the listener was closed.
func TestDrainAnswersRequestsThatArriveLate(t *testing.T) {
	for _, test := range []struct {
		name           string
		before, during string
		hasResponse    bool // to what was sent before
	}{
		{name: "first request", during: request},
		{name: "next request", before: request, during: request, hasResponse: true},
		{name: "rest of a head", before: request[:20], during: request[20:]},
		{name: "body", before: "POST / HTTP/1.1\r\nHost: app.example\r\nContent-Length: 5\r\n\r\n", during: "order"},
	} {
		t.Run(test.name, func(t *testing.T) {
			withServer(t, respondToBody, func(s *testServer) {
				c := s.dial()
				s.send(c, test.before)
				if test.hasResponse {
					s.is.Equal(s.readBody(c), "ok")
				}
				done := s.startDrain(s.t.Context())
				time.Sleep(arrivalTimeout / 2)
				s.send(c, test.during)
				s.is.Equal(s.readBody(c), "ok")
				s.is.NoErr(<-done)
				s.is.Equal(s.countUnanswered(), 0)
			})
		})
	}
}

// TestDrainKeepsHeadInProgress guards against a head that is cut off because its beginning
// was read while the connection was being closed as unused.
func TestDrainKeepsHeadInProgress(t *testing.T) {
	withServer(t, respondOK, func(s *testServer) {
		c := s.dial()
		done := s.startDrain(s.t.Context())
		s.send(c, request[:20])
		time.Sleep(2 * arrivalTimeout)
		s.send(c, request[20:])
		s.is.Equal(s.readBody(c), "ok")
		s.is.NoErr(<-done)
	})
}

// TestDrainClosesUnusedConnections checks that connections without a request, new or idle,
// stay open for the arrival timeout and no longer.
func TestDrainClosesUnusedConnections(t *testing.T) {
	withServer(t, respondOK, func(s *testServer) {
		fresh, idle := s.dial(), s.dial()
		s.send(idle, request)
		s.is.Equal(s.readBody(idle), "ok")
		start := time.Now()
		done := s.startDrain(s.t.Context())
		for _, c := range []net.Conn{fresh, idle} {
			_, err := c.Read(make([]byte, 1))
			s.is.Equal(err, io.EOF)
			s.is.Equal(time.Since(start), arrivalTimeout)
		}
		s.is.NoErr(<-done)
		s.is.Equal(time.Since(start), arrivalTimeout)
		s.is.Equal(s.countUnanswered(), 0)
	})
}

// TestDrainEndsWithTheLastResponse checks that a connection whose response began before the
// drain, and so doesn't announce its end, is closed right after it.
func TestDrainEndsWithTheLastResponse(t *testing.T) {
	respond := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "o")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(3 * time.Second)
		_, _ = io.WriteString(w, "k")
	}
	withServer(t, respond, func(s *testServer) {
		c := s.dial()
		s.send(c, request)
		start := time.Now()
		done := s.startDrain(s.t.Context())
		s.is.Equal(s.readBody(c), "ok")
		s.is.NoErr(<-done)
		s.is.Equal(time.Since(start), 3*time.Second)
	})
}

// TestDrainKeepsIdleConnectionsWhileItWaits guards against a request that crosses the close of
// a kept connection: its peer was not told that the server stops, and the server runs on for the
// sake of other requests.
func TestDrainKeepsIdleConnectionsWhileItWaits(t *testing.T) {
	respond := func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/slow":
			time.Sleep(5 * time.Second)
		case "/stream":
			_ = http.NewResponseController(w).Flush()
			time.Sleep(2 * time.Second)
		}
		respondOK(w, r)
	}
	withServer(t, respond, func(s *testServer) {
		kept, unused, streaming, busy := s.dial(), s.dial(), s.dial(), s.dial()
		for _, c := range []net.Conn{kept, unused} {
			s.send(c, request)
			s.is.Equal(s.readBody(c), "ok")
		}
		s.send(busy, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
		s.send(streaming, "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n")
		start := time.Now()
		done := s.startDrain(s.t.Context())
		s.is.Equal(s.readBody(streaming), "ok") // its head was sent before, so it was not told either
		time.Sleep(2 * time.Second)
		for _, c := range []net.Conn{kept, streaming} {
			s.send(c, request)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			s.is.NoErr(err)
			s.is.Equal(resp.StatusCode, http.StatusOK)
			s.is.True(resp.Close) // told before the end
		}
		s.is.Equal(s.readBody(busy), "ok")
		s.is.NoErr(<-done) // nobody waits for a request on the last one
		s.is.Equal(time.Since(start), 5*time.Second)
		s.is.Equal(s.countUnanswered(), 0)
	})
}

// TestDrainEndsWithItsContext checks that a request without a response at the end of the
// grace is logged when its connection is closed.
func TestDrainEndsWithItsContext(t *testing.T) {
	block := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	withServer(t, block, func(s *testServer) {
		c := s.dial()
		s.send(c, request)
		ctx, cancel := context.WithTimeout(s.t.Context(), 2*time.Second)
		defer cancel()
		s.is.True(errors.Is(<-s.startDrain(ctx), context.DeadlineExceeded))
		s.is.Equal(s.countUnanswered(), 0)
		_ = s.Close()
		synctest.Wait()
		s.is.Equal(s.countUnanswered(), 1)
	})
}

// TestBodyThatIsNeverSentDoesNotHoldDrain checks that Drain does not wait for a body that the
// handler does not want, after its response was sent.
func TestBodyThatIsNeverSentDoesNotHoldDrain(t *testing.T) {
	for name, fields := range map[string]string{
		"length":                 "Content-Length: 1000\r\n",
		"chunked, closing":       "Connection: close\r\nTransfer-Encoding: chunked\r\n",
		"waits for the continue": "Expect: 100-continue\r\nContent-Length: 1000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, respondOK, func(s *testServer) {
				c := s.dial()
				ctx, cancel := context.WithTimeout(s.t.Context(), time.Minute)
				defer cancel()
				done := s.startDrain(ctx)
				s.send(c, "POST / HTTP/1.1\r\nHost: app.example\r\n"+fields+"\r\n")
				s.is.Equal(s.readBody(c), "ok")
				s.is.NoErr(<-done)
			})
		})
	}
}

// TestDrainAnswersRequestsThatRaceWithIt guards against requests that are read at the moment
// at which connections are closed as unused. It runs over TCP, where a request may wait in
// the socket's buffer.
func TestDrainAnswersRequestsThatRaceWithIt(t *testing.T) {
	const rounds, connsPerRound = 20, 50
	for range rounds {
		is := is.New(t)
		common, logs := newCommon(cwnet.NewTCP())
		s := cwserver.NewServer(common, "caller", "127.0.0.1:0", http.HandlerFunc(respondOK), cwserver.Limits{})
		l, err := common.Net.Listen(t.Context(), s.Address())
		is.NoErr(err)
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		start := make(chan struct{})
		var wg sync.WaitGroup
		for n := range connsPerRound {
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				if n%2 == 0 { // an idle connection
					_, _ = io.WriteString(c, request)
					if resp, err := http.ReadResponse(r, nil); err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
					}
				}
				<-start
				_, _ = io.WriteString(c, request)
				// A connection that is closed before its request was read is allowed.
				if resp, err := http.ReadResponse(r, nil); err == nil {
					body, err := io.ReadAll(resp.Body)
					if err != nil || !strings.HasPrefix(string(body), "ok") {
						t.Errorf("incomplete response %q: %v", body, err)
					}
				}
			})
		}
		close(start)
		is.NoErr(s.Drain(t.Context(), 0))
		is.NoErr(<-served)
		wg.Wait()
		is.Equal(logs.FilterMessage("connection closed without a response").Len(), 0)
	}
}
