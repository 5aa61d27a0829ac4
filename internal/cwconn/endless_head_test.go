package cwconn_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// maxErrorText is the most that an error may quote of a response: some hundred bytes.
const maxErrorText = 600

// countingNet counts the bytes read from the connections that it opens.
type countingNet struct {
	cwnet.Net
	read atomic.Int64
}

func (n *countingNet) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.Net.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, read: &n.read}, nil
}

type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// servePeer serves the handler on the loopback interface and returns its address.
func servePeer(t *testing.T, n cwnet.Net, handler http.Handler) string {
	l, err := n.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func newCall(address string) *cwconn.Call {
	return &cwconn.Call{
		Address: address, Method: http.MethodGet,
		EncodeHead: func() []byte {
			return []byte("GET / HTTP/1.1\r\nHost: h\r\n" + cwstandin.RequestIDHeader + ": 1\r\n\r\n")
		},
		MatchResponse: func(_ int, field func(string) string) cwconn.Match {
			switch field(cwstandin.RequestIDHeader) {
			case "":
				return cwconn.MatchByOrder
			case "1":
				return cwconn.MatchByName
			}
			return cwconn.MatchNone
		},
	}
}

// TestEndlessHeadIsCutOff guards against a peer that never ends a head: the call read until
// its time was over, hundreds of megabytes, and its error quoted what it had read.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for _, response := range cwstandin.EndlessHeads() {
		t.Run(response.Name, func(t *testing.T) {
			is := is.New(t)
			n := &countingNet{Net: cwnet.NewTCP()}
			pool := cwconn.NewPool(n)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			address := servePeer(t, n, response)
			_, err := pool.Do(ctx, newCall(address))
			var callErr *cwconn.CallError
			is.True(errors.As(err, &callErr))
			is.True(callErr.Sent)
			is.True(len(err.Error()) <= maxErrorText)
			is.True(strings.Contains(err.Error(), address))
			is.True(n.read.Load() <= cwlimit.MaxHeadBytes)
			is.Equal(response.NotCutOff(), 0)
			is.NoErr(ctx.Err()) // ended by the limit, not by its time
		})
	}
}

// TestErrorQuotesLittleOfResponse guards against an error, and so a log line, that contains
// all of a malformed line: net/http quotes it in full.
func TestErrorQuotesLittleOfResponse(t *testing.T) {
	line := strings.Repeat("x", cwlimit.MaxHeadBytes/2) + "\r\n"
	for _, response := range []*cwstandin.EndlessResponse{
		{Name: "no HTTP", Start: line, Repeated: "x"},
		{Name: "status", Start: "HTTP/1.1 " + line, Repeated: "x"},
		{Name: "field", Start: "HTTP/1.1 200 OK\r\n" + line, Repeated: "x"},
		{Name: "length", Start: "HTTP/1.1 200 OK\r\nContent-Length: " + line + "\r\n", Repeated: "x"},
		{Name: "encoding", Start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + line + "\r\n", Repeated: "x"},
	} {
		t.Run(response.Name, func(t *testing.T) {
			is := is.New(t)
			n := cwnet.NewTCP()
			_, err := cwconn.NewPool(n).Do(t.Context(), newCall(servePeer(t, n, response)))
			is.True(err != nil)
			is.True(len(err.Error()) <= maxErrorText)
		})
	}
}

// TestEndlessSkippedBodyIsCutOff guards against a response to another request whose body is
// skipped without an end, and against an error of this that names no cause.
func TestEndlessSkippedBodyIsCutOff(t *testing.T) {
	is := is.New(t)
	n := &countingNet{Net: cwnet.NewTCP()}
	address := servePeer(t, n, &cwstandin.EndlessResponse{Start: "HTTP/1.1 200 OK\r\n" + cwstandin.RequestIDHeader + ": another\r\n\r\n", Repeated: "x"})
	_, err := cwconn.NewPool(n).Do(t.Context(), newCall(address))
	var limitErr *cwlimit.Error
	is.True(errors.As(err, &limitErr))
	is.Equal(limitErr.Peer, address)
	is.True(n.read.Load() <= limitErr.LimitBytes+cwlimit.MaxHeadBytes)
}

// TestLargeHeadIsRead guards against a limit that also ends legitimate heads: one of 16 KB
// after interim heads, on a connection that is used again.
func TestLargeHeadIsRead(t *testing.T) {
	is := is.New(t)
	n := cwnet.NewTCP()
	pool := cwconn.NewPool(n)
	address := servePeer(t, n, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", strings.Repeat("l", 8<<10))
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Set("X-Long", strings.Repeat("x", 16<<10))
		_, _ = w.Write([]byte(strings.Repeat("b", 1<<20)))
	}))
	for range 8 {
		resp, err := pool.Do(t.Context(), newCall(address))
		is.NoErr(err)
		is.Equal(len(resp.Header.Get("X-Long")), 16<<10)
		length := 0
		buf := make([]byte, 32<<10)
		for err == nil {
			var got int
			got, err = resp.Read(buf)
			length += got
		}
		is.Equal(length, 1<<20)
		resp.Close()
	}
}
