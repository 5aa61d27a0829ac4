package cwconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestCutResponseIsNotComplete guards against a caller that gets a success with an empty or short body,
// framed as whole, because the endpoint ended in the middle of the head, of the body or of its framing.
func TestCutResponseIsNotComplete(t *testing.T) {
	const (
		status  = "HTTP/1.1 200 OK\r\n"
		fields  = "Content-Type: text/plain\r\n" + cwstandin.RequestIDHeader + ": 1\r\nX-Last: a: b\r\n"
		events  = "id: 1\ndata: {\"n\":1}\n\nid: 2\ndata: {\"n\":2}\n\n"
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(events))
	chunked := fmt.Sprintf("%x\r\n%s\r\n%x;name=value\r\n%s\r\n0\r\n\r\n", 8, events[:8], len(events)-8, events[8:])
	for _, sc := range []struct {
		name, head, body string
		// endsWithConn is set if the end of the connection marks that of the body.
		endsWithConn bool
	}{
		{name: "length", head: status + fields + length + "\r\n", body: events},
		{name: "length first", head: status + length + fields + "\r\n", body: events},
		{name: "length in bare line feeds", head: strings.ReplaceAll(status+fields+length+"\r\n", "\r\n", "\n"), body: events},
		{name: "length 0", head: status + fields + "Content-Length: 0\r\n\r\n"},
		{name: "chunks", head: status + fields + "Transfer-Encoding: chunked\r\n\r\n", body: chunked},
		{name: "no length", head: status + fields + "\r\n", body: events, endsWithConn: true},
		{name: "after an interim head", head: interim + interim + status + fields + length + "\r\n", body: events},
		{name: "folded field", head: status + "X-Folded: a\r\n  b\r\n" + fields + length + "\r\n", body: events},
	} {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", sc.name, isReset), func(t *testing.T) {
				is := is.New(t)
				whole := sc.head + sc.body
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer func() { _ = l.Close() }()
				go serveCut(l, whole, isReset)
				pool := cwconn.NewPool(cwnet.NewTCP())
				for n := range len(whole) {
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					body, err := fetch(ctx, pool, l.Addr().String())
					cancel()
					isComplete := sc.endsWithConn && !isReset && n >= len(sc.head)
					if (err == nil) != isComplete {
						t.Errorf("cut after %d of %d bytes, %q: complete %t, body %q, %v", n, len(whole), whole[max(n-20, 0):n], err == nil, body, err)
					}
				}
			})
		}
	}
}

// serveCut answers the connections of a listener with one byte more of the response each, and ends them.
func serveCut(l net.Listener, whole string, isReset bool) {
	for n := 0; ; n++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if isReset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		// A caller that fails is what the test looks for.
		_, _ = io.WriteString(c, whole[:n])
		_ = c.Close()
	}
}

// fetch returns the body of a response that was read to its end.
func fetch(ctx context.Context, pool *cwconn.Pool, address string) (string, error) {
	call := newCall(address)
	call.ForceNewConn = true
	response, err := pool.Do(ctx, call)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}
