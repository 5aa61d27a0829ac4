package cwapp_test

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestHugeBodyLengthWithoutLimit guards against a request whose connection is closed without a
// response, or an instance whose process ends, because there is no memory for the length that a
// request states. The configuration sets no limit.
func TestHugeBodyLengthWithoutLimit(t *testing.T) {
	for _, length := range []int64{1 << 62, 1 << 45} {
		t.Run(strconv.FormatInt(length, 10), func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.PublishLimits(map[string]any{}, nil, cwscene.NewRoute("r", "unsafe", nil))
				s.AddWorker("north-a", "10.1.1.1")
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				c := dialCaller(t, is, s, i)
				_, err := io.WriteString(c, "POST /r/x HTTP/1.1\r\nHost: "+cwscene.RouteHost+"\r\n"+cwstandin.RequestIDHeader+": 1\r\nContent-Length: "+strconv.FormatInt(length, 10)+"\r\n\r\nshort")
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
			})
		})
	}
}
