package cwserver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwserver"
)

// pipeListener accepts connections without a buffer: a response is written only as far as the
// peer reads it.
type pipeListener struct {
	accepted chan net.Conn
	done     chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestSlowReaderKeepsItsConnection guards against a request that is cancelled because the
// response before it took long to write: the time limit for the rest of a body then ended the
// read that waits for the peer, and with it the context of all further requests.
func TestSlowReaderKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		common, _ := newCommon(cwmemnet.NewNetwork().Host(serverIP))
		s := cwserver.NewServer(common, "caller", serverAddress, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := make([]byte, r.ContentLength)
			_, err := io.ReadFull(r.Body, body)
			if err != nil || r.Context().Err() != nil {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write(body)
		}), cwserver.Limits{})
		l := &pipeListener{accepted: make(chan net.Conn), done: make(chan struct{})}
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		client, server := net.Pipe()
		defer func() {
			_ = client.Close()
			_ = s.Close()
			is.NoErr(<-served)
		}()
		l.accepted <- server
		reader := bufio.NewReader(client)
		for range 2 {
			_, err := io.WriteString(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello")
			is.NoErr(err)
			time.Sleep(2 * time.Second)
			resp, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "hello")
		}
	})
}

// TestLostResponseIsLogged guards against a response that is written by its handler, cannot be sent
// and leaves no trace.
func TestLostResponseIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		common, logs := newCommon(cwmemnet.NewNetwork().Host(serverIP))
		s := cwserver.NewServer(common, "caller", serverAddress, http.HandlerFunc(respondOK), cwserver.Limits{})
		s.RequestID = func(h http.Header) string { return h.Get("Request-Id") }
		l := &pipeListener{accepted: make(chan net.Conn), done: make(chan struct{})}
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		client, server := net.Pipe()
		l.accepted <- server
		_, err := io.WriteString(client, request)
		is.NoErr(err)
		synctest.Wait() // the response waits for its reader
		is.NoErr(client.Close())
		synctest.Wait()
		lines := logs.FilterMessage("response not sent").All()
		is.Equal(len(lines), 1)
		is.Equal(lines[0].ContextMap()["request"], "r1")
		_ = s.Close()
		is.NoErr(<-served)
	})
}
