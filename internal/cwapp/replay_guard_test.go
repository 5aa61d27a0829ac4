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

// TestRequestIsNotReplayedAfterConnectionLoss has an endpoint that runs a request and then
// breaks its connection, on which an earlier request went well. net/http would
// send a request with an Idempotency-Key again.
func TestRequestIsNotReplayedAfterConnectionLoss(t *testing.T) {
	for _, body := range []string{`{"truck":4}`, ""} {
		t.Run("body "+body, func(t *testing.T) {
			runInScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
				var runs, broken atomic.Int32
				s.AddEndpoint("north-a", "10.1.0.5", "booking", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/bookings" {
						_, _ = io.WriteString(w, `{"incarnation":1,"slots":9}`)
						return
					}
					_, _ = io.ReadAll(r.Body)
					if runs.Add(1) > 1 {
						broken.Add(1)
						panic(http.ErrAbortHandler)
					}
				}))
				s.Publish()
				i := s.AddInstance("10.1.0.1", "north", "north-a")
				s.AwaitReady()
				c := s.NewCaller()
				send := func() cwscene.Response {
					return c.Do(t.Context(), i, cwscene.Request{
						Method: "POST", Path: "/services/booking/bookings", Body: body,
						Header: []string{cwanswer.HeaderTicket, requestTicket(t.Context(), is, c, i)},
					})
				}
				is.Equal(send().Status, http.StatusOK)
				lost := send()
				is.Equal(int(broken.Load()), 1) // sent once, and not again
				is.True(decodeProblem(lost).Outcome != cwanswer.NotRun)
			})
		})
	}
}
