package cwapp_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
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
