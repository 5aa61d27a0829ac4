package cwendpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// TestCopyOfEarlierResponseIsNotBelieved guards against an endpoint that sends a second copy of a response,
// late, on a connection in use again: it became the answer of the next caller, or that one was told that
// its request had not run while it ran.
func TestCopyOfEarlierResponseIsNotBelieved(t *testing.T) {
	for _, test := range []struct {
		name string
		// head is the status line and the fields of the response to the first attempt.
		head string
	}{
		{"answer", "HTTP/1.1 200 OK\r\n"},
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\n" + cwanswer.HeaderOutcome + ": " + string(cwanswer.NotRun) + "\r\n"},
	} {
		for _, body := range []string{"", "first"} {
			t.Run(fmt.Sprintf("%s, %d bytes", test.name, len(body)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					n := cwmemnet.NewNetwork()
					defer n.Close()
					l, err := n.Host("10.0.0.1").Listen(context.Background(), "10.0.0.1:80")
					is.NoErr(err)
					defer func() { _ = l.Close() }()
					go serveCopies(l, test.head, body)
					client := cwendpoint.NewClient(n.Host("10.0.0.2"))
					defer client.CloseIdle()
					for _, attempt := range []string{"a", "b", "c"} {
						tracker := &cwnet.SendTracker{}
						resp, err := client.Do(t.Context(), &cwendpoint.Request{
							Address: "10.0.0.1:80", Method: http.MethodPost, Path: "/",
							Header: http.Header{cwendpoint.AttemptHeader: {attempt}}, Body: http.NoBody,
						}, tracker)
						if attempt == "b" {
							is.True(err != nil)
							is.True(!tracker.HasSentNothing()) // the request may have run
							synctest.Wait()
							continue
						}
						is.NoErr(err)
						is.Equal(resp.Header.Get(cwendpoint.AttemptHeader), attempt)
						_, err = io.ReadAll(resp.Body)
						is.NoErr(err)
						_ = resp.Body.Close()
						synctest.Wait()
					}
				})
			})
		}
	}
}

// serveCopies answers the first request on each connection with head and body, and sends that response once
// more before those to the others.
func serveCopies(l net.Listener, head, body string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader, copied := bufio.NewReader(conn), ""
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				fields := fmt.Sprintf("%s: %s\r\nContent-Length: ", cwendpoint.AttemptHeader, r.Header.Get(cwendpoint.AttemptHeader))
				if copied == "" {
					copied = fmt.Sprintf("%s%s%d\r\n\r\n%s", head, fields, len(body), body)
					_, _ = io.WriteString(conn, copied)
					continue
				}
				_, _ = io.WriteString(conn, copied+"HTTP/1.1 200 OK\r\n"+fields+"3\r\n\r\nown")
			}
		}()
	}
}
