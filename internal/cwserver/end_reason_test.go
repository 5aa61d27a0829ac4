package cwserver_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestEachEndHasItsReason guards against connections that end without a response, or within
// one, and leave no trace of the cause and the request.
func TestEachEndHasItsReason(t *testing.T) {
	const (
		unanswered = "connection closed without a response"
		left       = "caller left without a response"
		brokenOff  = "response broken off"
	)
	waitForEnd := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	begin := func(w http.ResponseWriter, r *http.Request) {
		respondOK(w, r)
		_ = http.NewResponseController(w).Flush()
	}
	for _, test := range []struct {
		name            string
		handler         http.HandlerFunc
		sent            string
		end             func(s *testServer, closeConn func())
		message, reason string
		request         string
	}{
		{
			name: "abort", sent: request, message: unanswered, reason: "aborted", request: "r1",
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		},
		{
			name: "abort within a response", sent: request, message: brokenOff, reason: "aborted", request: "r1",
			handler: func(w http.ResponseWriter, r *http.Request) { begin(w, r); panic(http.ErrAbortHandler) },
		},
		{
			name: "panic within a response", sent: request, message: brokenOff, reason: "panicked", request: "r1",
			handler: func(w http.ResponseWriter, r *http.Request) { begin(w, r); panic("fault") },
		},
		{
			name: "caller left", sent: request, message: left, reason: "callerLeft", request: "r1", handler: waitForEnd,
			end: func(_ *testServer, closeConn func()) { closeConn() },
		},
		{
			name: "caller left within a body", sent: "POST / HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nab", message: left, request: "r1", reason: "callerLeft", handler: respondToBody,
			end: func(_ *testServer, closeConn func()) { closeConn() },
		},
		{
			name: "end of the grace", sent: request, message: unanswered, reason: "graceOver", request: "r1", handler: waitForEnd,
			end: func(s *testServer, _ func()) {
				ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
				defer cancel()
				_ = s.Drain(ctx, arrivalTimeout)
				_ = s.Close()
			},
		},
		{
			name: "end of the grace within a response", sent: request, message: brokenOff, reason: "graceOver", request: "r1",
			handler: func(w http.ResponseWriter, r *http.Request) { begin(w, r); waitForEnd(w, r) },
			end: func(s *testServer, _ func()) {
				ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
				defer cancel()
				_ = s.Drain(ctx, arrivalTimeout)
				_ = s.Close()
			},
		},
		{
			name: "closed", sent: request, message: unanswered, reason: "serverClosed", request: "r1", handler: waitForEnd,
			end: func(s *testServer, _ func()) { _ = s.Close() },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			withServer(t, test.handler, func(s *testServer) {
				c := s.dial()
				s.send(c, test.sent)
				if test.end != nil {
					test.end(s, func() { _ = c.Close() })
				}
				synctest.Wait()
				lines := s.logs.FilterMessage(test.message).All()
				s.is.Equal(len(lines), 1)
				fields := lines[0].ContextMap()
				s.is.Equal(fields["reason"], test.reason)
				s.is.Equal(fields["request"], test.request)
			})
		})
	}
}

// TestPanicIsLogged guards against a fault of the program that leaves no trace because net/http
// reports it to a log that drops it.
func TestPanicIsLogged(t *testing.T) {
	withServer(t, func(http.ResponseWriter, *http.Request) { panic("fault in the handler") }, func(s *testServer) {
		s.send(s.dial(), request)
		lines := s.logs.FilterMessage("handler panicked").All()
		s.is.Equal(len(lines), 1)
		s.is.Equal(lines[0].ContextMap()["panic"], "fault in the handler")
		s.is.Equal(lines[0].ContextMap()["request"], "r1")
	})
}
