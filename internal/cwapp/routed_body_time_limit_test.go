package cwapp_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestBodyAfterTheTimeLimit guards against a request that is held after its time limit because
// the rest of its body does not arrive.
func TestBodyAfterTheTimeLimit(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, _ := startOneRegion(s, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"timeout-ms": 2000}))
		body, rest := io.Pipe()
		go func() {
			_, _ = io.WriteString(rest, "first ")
			time.Sleep(10 * time.Second)
			_ = rest.Close()
		}()
		resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", BodyReader: body})
		is.NoErr(resp.Err)
		is.Equal(resp.Status, http.StatusRequestTimeout)
		is.True(resp.Elapsed <= 2*time.Second)
	})
}

// TestTimeLimitOfBodyEndsWithIt guards against a request, or the next one of its connection, that
// is dropped because the time limit for its body still holds when the body is complete.
func TestTimeLimitOfBodyEndsWithIt(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, _ := startOneRegion(s, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"timeout-ms": 2000}))
		c := dialCaller(t, is, s, i)
		responses := bufio.NewReader(c)
		for range 3 {
			_, err := io.WriteString(c, "POST /r/x HTTP/1.1\r\nHost: "+cwscene.RouteHost+"\r\n"+cwstandin.RequestIDHeader+": 1\r\nContent-Length: 6\r\n\r\nfir")
			is.NoErr(err)
			time.Sleep(1500 * time.Millisecond)
			_, err = io.WriteString(c, "st ")
			is.NoErr(err)
			resp, err := http.ReadResponse(responses, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			_, err = io.ReadAll(resp.Body)
			is.NoErr(err)
			time.Sleep(1500 * time.Millisecond)
		}
	})
}
