package cwconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// newNamedCall returns a call with an identifier, which a response must bear.
func newNamedCall(address, id string) *cwconn.Call {
	call := newCall(address)
	call.ID = id
	call.EncodeHead = func() []byte {
		return []byte("GET / HTTP/1.1\r\nHost: h\r\n" + cwstandin.RequestIDHeader + ": " + id + "\r\n\r\n")
	}
	call.MatchResponse = func(_ int, field func(string) string) cwconn.Match {
		if field(cwstandin.RequestIDHeader) == id {
			return cwconn.MatchByName
		}
		return cwconn.MatchNone
	}
	return call
}

// TestConnectionCarriesIdentifierOnce guards against an endpoint that sends the copy of a refusal when
// the refused request is under way again on the same connection: its identifier is that of the request,
// which runs, and the caller is told that it has not.
func TestConnectionCarriesIdentifierOnce(t *testing.T) {
	for _, test := range []struct {
		name string
		// ids are the identifiers of the calls in their order.
		ids      []string
		maxConns int
		// statuses are those of the responses, and conns the number of connections.
		statuses []int
		conns    int
	}{
		{"the request comes again", []string{"1", "1"}, 0, []int{503, 200}, 2},
		{"after another request", []string{"1", "2", "1"}, 0, []int{503, 503, 200}, 2},
		{"several times", []string{"1", "1", "1"}, 0, []int{503, 200, 200}, 3},
		{"no room for another connection", []string{"1", "1"}, 1, []int{503, 200}, 2},
		{"other requests share a connection", []string{"1", "2", "3"}, 0, []int{503, 503, 503}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := cwmemnet.NewNetwork()
				defer n.Close()
				l, err := n.Host("10.0.0.1").Listen(context.Background(), "10.0.0.1:80")
				is.NoErr(err)
				defer func() { _ = l.Close() }()
				server := &copyingServer{seen: make(map[string]bool)}
				go server.accept(l)
				pool := cwconn.NewPool(n.Host("10.0.0.2"))
				defer pool.CloseIdle("10.0.0.1:80")
				for i, id := range test.ids {
					call := newNamedCall("10.0.0.1:80", id)
					call.MaxConns = test.maxConns
					resp, err := pool.Do(t.Context(), call)
					is.NoErr(err)
					is.Equal(resp.StatusCode, test.statuses[i])
					_, err = io.ReadAll(resp)
					is.NoErr(err)
					synctest.Wait()
				}
				is.Equal(server.conns, test.conns)
			})
		})
	}
}

// TestConnectionCarriesLimitedNumberOfIdentifiers guards against a connection that remembers every request
// of its life.
func TestConnectionCarriesLimitedNumberOfIdentifiers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := cwmemnet.NewNetwork()
		defer n.Close()
		l, err := n.Host("10.0.0.1").Listen(context.Background(), "10.0.0.1:80")
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		server := &copyingServer{seen: make(map[string]bool)}
		go server.accept(l)
		pool := cwconn.NewPool(n.Host("10.0.0.2"))
		defer pool.CloseIdle("10.0.0.1:80")
		for i := range 2*cwconn.MaxCallsPerConn + 1 {
			resp, err := pool.Do(t.Context(), newNamedCall("10.0.0.1:80", fmt.Sprint(i)))
			is.NoErr(err)
			_, err = io.ReadAll(resp)
			is.NoErr(err)
			synctest.Wait()
		}
		is.Equal(server.conns, 3)
	})
}

// TestConnectionCarriesIdentifierOfLateResponse guards against a connection that forgets a request whose
// caller left before its refusal came, and that comes again.
func TestConnectionCarriesIdentifierOfLateResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := cwmemnet.NewNetwork()
		defer n.Close()
		l, err := n.Host("10.0.0.1").Listen(context.Background(), "10.0.0.1:80")
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		server := &copyingServer{seen: make(map[string]bool), delay: time.Second}
		go server.accept(l)
		pool := cwconn.NewPool(n.Host("10.0.0.2"))
		defer pool.CloseIdle("10.0.0.1:80")
		ctx, cancel := context.WithTimeout(t.Context(), server.delay/2)
		defer cancel()
		call := newNamedCall("10.0.0.1:80", "1")
		call.KeepsPending = true
		_, err = pool.Do(ctx, call)
		var callErr *cwconn.CallError
		is.True(errors.As(err, &callErr))
		late, err := callErr.Pending.Await(t.Context())
		is.NoErr(err)
		is.Equal(late.StatusCode, http.StatusServiceUnavailable)
		_, err = io.ReadAll(late)
		is.NoErr(err)
		resp, err := pool.Do(t.Context(), newNamedCall("10.0.0.1:80", "1"))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		resp.Discard()
		is.Equal(server.conns, 2)
	})
}

// copyingServer refuses the first request with an identifier and answers others. If the identifier came
// before on the connection, it sends a copy of the refusal first.
type copyingServer struct {
	mu sync.Mutex
	// seen are the identifiers that have arrived, and conns the number of connections.
	seen  map[string]bool
	conns int
	// delay is the time before each response.
	delay time.Duration
}

func (s *copyingServer) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *copyingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	carried := make(map[string]bool)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(cwstandin.RequestIDHeader)
		s.mu.Lock()
		isNew := !s.seen[id]
		s.seen[id] = true
		s.mu.Unlock()
		refusal := "HTTP/1.1 503 Service Unavailable\r\n" + cwstandin.RequestIDHeader + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
		answer := "HTTP/1.1 200 OK\r\n" + cwstandin.RequestIDHeader + ": " + id + "\r\nContent-Length: 3\r\n\r\nown"
		switch {
		case isNew:
			answer = refusal
		case carried[id]:
			answer = refusal + answer
		}
		carried[id] = true
		time.Sleep(s.delay)
		_, _ = io.WriteString(conn, answer)
	}
}
