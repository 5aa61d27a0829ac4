package cwapp_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwclient"
)

// TestRequestIsNotReplayedAfterConnectionLoss uses an endpoint that runs a request and then
// closes the connection, which has served an earlier request. net/http retries a request
// with an Idempotency-Key in this case; the instance must not, since the request would run
// twice.
func TestRequestIsNotReplayedAfterConnectionLoss(t *testing.T) {
	for _, body := range []string{`{"truck":4}`, ""} {
		t.Run("body "+body, func(t *testing.T) {
			inScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
				var runs, brokenConns atomic.Int32
				s.AddEndpoint("north-a", "10.1.0.5", "booking", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/bookings" {
						_, _ = io.WriteString(w, `{"incarnation":1,"slots":9}`)
						return
					}
					_, _ = io.ReadAll(r.Body)
					if runs.Add(1) > 1 {
						brokenConns.Add(1)
						panic(http.ErrAbortHandler)
					}
				}))
				s.Publish()
				i := s.AddInstance("10.1.0.1", "north", "north-a")
				s.AwaitReady()
				c := s.NewCaller()
				sendNext := func() cwscene.Response {
					return c.Do(t.Context(), i, cwscene.Request{
						Method: "POST", Path: "/services/booking/bookings", Body: body,
						Header: []string{cwanswer.HeaderTicket, requestTicket(t.Context(), is, c, i)},
					})
				}
				is.Equal(sendNext().Status, http.StatusOK)
				lostResp := sendNext()
				is.Equal(int(brokenConns.Load()), 1) // not sent a second time
				is.True(decodeProblem(lostResp).Outcome != cwanswer.NotRun)
			})
		})
	}
}

// TestLostResponseIsNotReplayedBeyondAttempts guards against a request that runs once more than its
// service allows, and outside the retry budget: net/http sends a request without a body again by
// itself if the method or a key makes it idempotent and a kept connection ends without a response.
func TestLostResponseIsNotReplayedBeyondAttempts(t *testing.T) {
	for _, sc := range []struct {
		name, method string
		header       []string
	}{
		{"GET", http.MethodGet, nil},
		{"HEAD", http.MethodHead, nil},
		{"OPTIONS", http.MethodOptions, nil},
		{"POST with a key of another form", http.MethodPost, []string{"X-Idempotency-Key", "k"}},
	} {
		t.Run(sc.name, func(t *testing.T) {
			service := cwscene.NewLookupService("north")
			service.Retries.MaxAttempts = 1
			inScene(t, services(service), func(t *testing.T, is *is.I, s *cwscene.Scene) {
				var runs atomic.Int32
				s.AddEndpoint("north-a", "10.1.0.5", "lookup", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/x" {
						_, _ = io.WriteString(w, `{"incarnation":1,"slots":9}`)
						return
					}
					if runs.Add(1) > 1 {
						panic(http.ErrAbortHandler)
					}
				}))
				s.Publish()
				i := s.AddInstance("10.1.0.1", "north", "north-a")
				s.AwaitReady()
				request := cwscene.Request{Method: sc.method, Path: "/services/lookup/x", Header: sc.header}
				is.Equal(s.NewCaller().Do(t.Context(), i, request).Status, http.StatusOK)
				is.Equal(s.NewCaller().Do(t.Context(), i, request).Status, http.StatusBadGateway)
				is.Equal(runs.Load(), int32(2)) // one for each request
			})
		})
	}
}

// TestClientLibrarySendsNoMoreThanItsAttempts guards against the same at the client library.
func TestClientLibrarySendsNoMoreThanItsAttempts(t *testing.T) {
	const maxAttempts = 4 // as documented at Client.Call
	for _, method := range []string{http.MethodGet, http.MethodHead} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/services/") && sent.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			client := cwclient.NewClient([]string{server.Listener.Addr().String()}, "key")
			request := cwclient.Request{Service: "lookup", Method: method, Path: "/x"}
			resp, err := client.Call(t.Context(), request)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			_, err = client.Call(t.Context(), request) // on the kept connection
			is.True(err != nil)
			is.Equal(sent.Load(), int32(1+maxAttempts))
		})
	}
}
