package cwconn_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestResponsesToOthersDoNotEndCall guards against an endpoint that sends several responses too many: the
// call ended after three, though its own response came next, and its caller was told that the request
// may have run. Without a bound, an endpoint that sends nothing else would hold the call.
func TestResponsesToOthersDoNotEndCall(t *testing.T) {
	const otherRefusal = "HTTP/1.1 503 Service Unavailable\r\n" + cwstandin.RequestIDHeader + ": 2\r\nContent-Length: 0\r\n\r\n"
	longAnswer := "HTTP/1.1 200 OK\r\n" + cwstandin.RequestIDHeader + ": 2\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200_000)
	var limitErr *cwlimit.Error
	for _, test := range []struct {
		name    string
		answers []string
		isError func(error) bool
	}{
		{"none", []string{ownAnswer}, nil},
		{"three answers", []string{strings.Repeat(otherAnswer, 3) + ownAnswer}, nil},
		{"a copy of each refusal before it", []string{strings.Repeat(otherRefusal, cwconn.MaxCallsPerConn) + ownAnswer}, nil},
		{"three during a check", []string{otherAnswer + bareRefusal, strings.Repeat(otherRefusal, 3) + ownAnswer}, nil},
		{"some long ones", []string{strings.Repeat(longAnswer, 4) + ownAnswer}, nil},
		{"too many", []string{strings.Repeat(otherRefusal, cwconn.MaxCallsPerConn+1) + ownAnswer}, func(err error) bool { return errors.Is(err, cwconn.ErrOnlyOthers) }},
		{"too many bytes", []string{strings.Repeat(longAnswer, 8) + ownAnswer}, func(err error) bool { return errors.As(err, &limitErr) }},
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
				resp, err := pool.Do(t.Context(), newCheckedCall("10.0.0.1:80"))
				if test.isError != nil {
					is.True(test.isError(err))
					return
				}
				is.NoErr(err)
				body, err := io.ReadAll(resp)
				is.NoErr(err)
				is.Equal(string(body), "own")
			})
		})
	}
}
