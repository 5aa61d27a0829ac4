package cwserver_test

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/clementinewell/clementinewell/internal/cwlimit"
)

// TestHeadsInMemoryAreLimitedTogether guards against heads of very many lines that together exceed
// the memory of the process. A head that finds no memory gets 503 and a time to return, ordinary
// requests are served meanwhile, and what a head took is free once its request or its connection
// has ended.
func TestHeadsInMemoryAreLimitedTogether(t *testing.T) {
	const (
		memoryBytes = 1 << 20 // large heads have an eighth of it
		start       = "GET / HTTP/1.1\r\nHost: a\r\n"
		chunked     = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	)
	manyLines := strings.Repeat("a:\n", 400) // costs more than 100 KB, and is shorter than a read of net/http
	for _, test := range []struct{ name, before, head string }{
		{name: "as the head is read", head: start + manyLines},
		{name: "head over the limit", head: start + strings.Repeat(manyLines, 20)},
		{name: "on a kept connection", before: request, head: start + manyLines},
		{name: "behind a request with chunks", before: chunked, head: start + manyLines},
		{name: "read together with a request with chunks", head: chunked + start + manyLines + "\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			withServer(t, respondOK, func(s *testServer) {
				s.Requests = cwlimit.NewRequestBudget(memoryBytes)
				holder := s.dial()
				s.send(holder, start+manyLines)
				c := s.dial()
				if test.before != "" {
					s.send(c, test.before)
					s.is.Equal(s.readBody(c), "ok")
				}
				go func() { _, _ = io.WriteString(c, test.head) }()
				all, err := io.ReadAll(c)
				s.is.NoErr(err)
				last := string(all)[strings.LastIndex(string(all), "HTTP/1.1"):]
				s.is.True(strings.HasPrefix(last, "HTTP/1.1 503 Service Unavailable\r\n"))
				s.is.True(strings.Contains(last, "\r\nRetry-After: 1\r\n"))
				s.is.True(strings.Contains(last, "\r\nConnection: close\r\n"))
				s.is.True(strings.HasSuffix(last, "\r\n\r\nheadsInMemory\n"))
				synctest.Wait()
				s.is.Equal(s.logs.FilterMessage("head refused for lack of memory").Len(), 1)
				ordinary := s.dial()
				s.send(ordinary, request)
				s.is.Equal(s.readBody(ordinary), "ok")
				s.is.NoErr(holder.Close())
				synctest.Wait()
				s.is.Equal(s.Requests.UsedBytes(), int64(0))
				again := s.dial()
				s.send(again, start+manyLines+"\r\n")
				s.is.Equal(s.readBody(again), "ok")
			})
		})
	}
}
