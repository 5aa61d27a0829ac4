package cwserver_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
)

// TestPanicIsAnswered guards against callers whose connection is closed without a response
// because of a fault of the program. A response that has begun is broken off instead, so that
// it does not look complete.
func TestPanicIsAnswered(t *testing.T) {
	for _, test := range []struct {
		name       string
		before     func(w http.ResponseWriter)
		isAnswered bool
	}{
		{name: "nothing written", isAnswered: true, before: func(http.ResponseWriter) {}},
		{name: "fields set", isAnswered: true, before: func(w http.ResponseWriter) {
			w.Header().Set("Retry-After", "1")
			w.Header().Set("Content-Length", "1000")
		}},
		{name: "interim response", isAnswered: true, before: func(w http.ResponseWriter) { w.WriteHeader(http.StatusEarlyHints) }},
		{name: "head written", before: func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) }},
		{name: "body begun", before: func(w http.ResponseWriter) { _, _ = io.WriteString(w, "o") }},
		{name: "head flushed", before: func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			withServer(t, func(w http.ResponseWriter, _ *http.Request) {
				test.before(w)
				panic("fault in the handler")
			}, func(s *testServer) {
				c := s.dial()
				go func() { _, _ = io.WriteString(c, request) }()
				reader := bufio.NewReader(c)
				resp, err := http.ReadResponse(reader, nil)
				if err == nil && resp.StatusCode < http.StatusOK {
					resp, err = http.ReadResponse(reader, nil)
				}
				if test.isAnswered {
					s.is.NoErr(err)
					body, err := io.ReadAll(resp.Body)
					s.is.NoErr(err)
					s.is.Equal(resp.StatusCode, http.StatusInternalServerError)
					s.is.Equal(string(body), "internal error\n")
					s.is.True(resp.Close)
					s.is.Equal(resp.Header.Get("Retry-After"), "") // nothing is promised
				} else if err == nil {
					_, err = io.ReadAll(resp.Body)
					s.is.True(err != nil) // the response does not look complete
				}
				synctest.Wait()
				s.is.Equal(s.logs.FilterMessage("handler panicked").Len(), 1)
			})
		})
	}
}
