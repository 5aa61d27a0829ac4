package cwconn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	checkID      = "check"
	ownAnswer    = "HTTP/1.1 200 OK\r\n" + cwstandin.RequestIDHeader + ": 1\r\nContent-Length: 3\r\n\r\nown"
	bareRefusal  = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"
	otherAnswer  = "HTTP/1.1 200 OK\r\n" + cwstandin.RequestIDHeader + ": 2\r\nContent-Length: 5\r\n\r\nother"
	bareMismatch = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	checkAnswer  = "HTTP/1.1 421 Misdirected Request\r\n" + cwstandin.RequestIDHeader + ": " + checkID + "\r\nContent-Length: 0\r\n\r\n"
	// hangUp ends the connection in the place of an answer.
	hangUp = ""
)

// newCheckedCall returns a call that must not run twice.
func newCheckedCall(address string) *cwconn.Call {
	call := newCall(address)
	call.NeedsNamedResponses = true
	call.Check = &cwconn.Check{
		Method: http.MethodGet, Head: []byte("GET /health HTTP/1.1\r\nHost: h\r\n" + cwstandin.RequestIDHeader + ": " + checkID + "\r\n\r\n"),
		MatchResponse: func(status int, field func(string) string) cwconn.Match {
			switch id := field(cwstandin.RequestIDHeader); {
			case id == checkID:
				return cwconn.MatchByName
			case id == "" && status == http.StatusMisdirectedRequest:
				return cwconn.MatchByOrder
			}
			return cwconn.MatchNone
		},
	}
	return call
}

// TestRefusalWithoutNameIsChecked guards against an additional refusal of a faulty endpoint, which arrives
// where the response to the next request on the connection is expected: that request was running, and
// was sent to another endpoint too.
func TestRefusalWithoutNameIsChecked(t *testing.T) {
	for _, test := range []struct {
		name string
		// answers are what the server writes after each request that arrives on its connection.
		answers []string
		// calls is the number of calls; the last one is judged.
		calls int
		// status is the status of the last response, 0 if the call fails.
		status int
		// paths are those of the requests that arrive, and conns the number of connections.
		paths []string
		conns int
	}{
		{"first response on a connection", []string{bareRefusal}, 1, 503, []string{"/"}, 1},
		{"refusal of the request", []string{ownAnswer, bareRefusal, bareMismatch}, 2, 503, []string{"/", "/", "/health"}, 1},
		{"refusal of the request, check named", []string{ownAnswer, bareRefusal, checkAnswer}, 2, 503, []string{"/", "/", "/health"}, 1},
		{"additional refusal", []string{ownAnswer, bareRefusal + ownAnswer, bareMismatch}, 2, 200, []string{"/", "/", "/health"}, 1},
		{"additional refusal, then an answer to another request", []string{ownAnswer, bareRefusal + otherAnswer, bareMismatch}, 2, 503, []string{"/", "/", "/health"}, 1},
		{"additional refusal, then the end", []string{ownAnswer, bareRefusal, hangUp}, 2, 0, []string{"/", "/", "/health"}, 1},
		{"two refusals", []string{ownAnswer, bareRefusal + bareRefusal, hangUp}, 2, 0, []string{"/", "/", "/health"}, 1},
		{"refusal after an answer to another request", []string{otherAnswer + bareRefusal, bareMismatch}, 1, 503, []string{"/", "/health"}, 1},
		{"additional mismatch", []string{ownAnswer, bareMismatch + ownAnswer, bareMismatch}, 2, 200, []string{"/", "/", "/health"}, 1},
		{"an answer of the check answers no later call", []string{ownAnswer, bareRefusal + ownAnswer, bareMismatch, ownAnswer}, 3, 200, []string{"/", "/", "/health", "/"}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := cwmemnet.NewNetwork()
				defer n.Close()
				l, err := n.Host("10.0.0.1").Listen(context.Background(), "10.0.0.1:80")
				is.NoErr(err)
				defer func() { _ = l.Close() }()
				server := &scriptedServer{answers: test.answers}
				go server.accept(l)
				pool := cwconn.NewPool(n.Host("10.0.0.2"))
				defer pool.CloseIdle("10.0.0.1:80")
				for range test.calls - 1 {
					resp, err := pool.Do(t.Context(), newCheckedCall("10.0.0.1:80"))
					is.NoErr(err)
					_, err = io.ReadAll(resp)
					is.NoErr(err)
					synctest.Wait()
				}
				resp, err := pool.Do(t.Context(), newCheckedCall("10.0.0.1:80"))
				if test.status == 0 {
					var callErr *cwconn.CallError
					is.True(errors.As(err, &callErr))
					is.True(callErr.Sent)
				} else {
					is.NoErr(err)
					is.Equal(resp.StatusCode, test.status)
					body, err := io.ReadAll(resp)
					is.NoErr(err)
					if test.status == http.StatusOK {
						is.Equal(string(body), "own")
					}
				}
				synctest.Wait()
				is.Equal(server.paths, test.paths)
				is.Equal(server.conns, test.conns)
			})
		})
	}
}

// TestCheckIsNotAnsweredByCopy guards against a caller that has chosen the identifier of a check for its own
// request: the copy of that one's refusal would answer the check.
func TestCheckIsNotAnsweredByCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := cwmemnet.NewNetwork()
		defer n.Close()
		l, err := n.Host("10.0.0.1").Listen(context.Background(), "10.0.0.1:80")
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		server := &scriptedServer{answers: []string{checkAnswer, bareRefusal + checkAnswer + ownAnswer}}
		go server.accept(l)
		pool := cwconn.NewPool(n.Host("10.0.0.2"))
		defer pool.CloseIdle("10.0.0.1:80")
		first, err := pool.Do(t.Context(), newNamedCall("10.0.0.1:80", checkID))
		is.NoErr(err)
		_, err = io.ReadAll(first)
		is.NoErr(err)
		synctest.Wait()
		call := newCheckedCall("10.0.0.1:80")
		call.Check.ID = checkID
		_, err = pool.Do(t.Context(), call)
		is.True(errors.Is(err, cwconn.ErrUnconfirmed))
	})
}

// scriptedServer answers the requests of one connection after the other. synctest.Wait orders its
// fields.
type scriptedServer struct {
	answers []string
	paths   []string
	conns   int
}

func (s *scriptedServer) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.conns++
		s.serve(conn)
	}
}

func (s *scriptedServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for len(s.answers) > 0 {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.paths = append(s.paths, r.URL.Path)
		answer := s.answers[0]
		s.answers = s.answers[1:]
		if answer == hangUp {
			return
		}
		_, _ = io.WriteString(conn, answer)
	}
	_, _ = io.Copy(io.Discard, reader)
}
