package cwserver_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestDrainKeepsPipelinedRequest guards against a request that is cancelled because all its
// bytes were read together with the request before it: the connection then counts as unused
// while the handler runs.
func TestDrainKeepsPipelinedRequest(t *testing.T) {
	respond := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(time.Second):
			respondOK(w, r)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	withServer(t, respond, func(s *testServer) {
		c := s.dial()
		s.send(c, request+request)
		responses := make(chan error, 2)
		go func() {
			reader := bufio.NewReader(c)
			for range 2 {
				resp, err := http.ReadResponse(reader, nil)
				if err == nil {
					_, err = io.ReadAll(resp.Body)
				}
				responses <- err
			}
		}()
		s.is.NoErr(<-responses)
		synctest.Wait() // the second request is in progress
		done := s.startDrain(s.t.Context())
		s.is.NoErr(<-responses)
		s.is.NoErr(<-done)
	})
}

// TestDrainKeepsPipelinedHeadInProgress guards against a head that is cut off because its
// beginning was read together with the request before it.
func TestDrainKeepsPipelinedHeadInProgress(t *testing.T) {
	withServer(t, respondOK, func(s *testServer) {
		c := s.dial()
		s.send(c, request+request[:20])
		s.is.Equal(s.readBody(c), "ok")
		done := s.startDrain(s.t.Context())
		time.Sleep(2 * arrivalTimeout)
		s.send(c, request[20:])
		s.is.Equal(s.readBody(c), "ok")
		s.is.NoErr(<-done)
	})
}

// TestHeaderTimeoutOfPipelinedHead guards against a head that has the time of an idle
// connection because its beginning was read together with the request before it.
func TestHeaderTimeoutOfPipelinedHead(t *testing.T) {
	withServer(t, respondOK, func(s *testServer) {
		c := s.dial()
		start := time.Now()
		s.send(c, request+request[:20])
		s.is.Equal(s.readBody(c), "ok")
		_, err := io.ReadAll(c) // net/http may send status 400 for a head that is cut off
		s.is.NoErr(err)
		s.is.Equal(time.Since(start), 5*time.Second)
	})
}

// TestPipelinedRequestsArriveWhole guards against bytes of a request that are lost, or reach
// another request, because they were read together with the request before it.
func TestPipelinedRequestsArriveWhole(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.URL.Path+" "+string(body))
	}
	const (
		get     = "GET /get HTTP/1.1\r\nHost: a\r\n\r\n"
		post    = "POST /post HTTP/1.1\r\nHost: a\r\ncontent-length: 9\r\n\r\nab\r\n\r\ncde"
		chunked = "POST /chunked HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	)
	text := post + get + get + post + post + chunked + get + chunked + post
	want := []string{"/post ab\r\n\r\ncde", "/get ", "/get ", "/post ab\r\n\r\ncde", "/post ab\r\n\r\ncde", "/chunked hello", "/get ", "/chunked hello", "/post ab\r\n\r\ncde"}
	for split := range len(text) {
		withServer(t, echo, func(s *testServer) {
			c := s.dial()
			go func() {
				_, _ = io.WriteString(c, text[:split])
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(c, text[split:])
			}()
			reader := bufio.NewReader(c)
			for _, body := range want {
				resp, err := http.ReadResponse(reader, nil)
				s.is.NoErr(err)
				got, err := io.ReadAll(resp.Body)
				s.is.NoErr(err)
				s.is.Equal(string(got), body)
			}
			s.is.NoErr(c.Close())
		})
	}
}
