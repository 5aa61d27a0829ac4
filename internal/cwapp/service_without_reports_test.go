package cwapp_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// newServiceWithoutReports returns a service without any support for the gateway: it has
// neither a load report nor a health path, and responds after the delay.
func newServiceWithoutReports(delay time.Duration) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/bookings", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(delay)
		_, _ = io.WriteString(w, "booked")
	})
	return mux
}

// TestServiceWithoutLoadReportIsUsed checks that an endpoint that cannot report its load is
// used, and that a slow response is not mistaken for a failure.
func TestServiceWithoutLoadReportIsUsed(t *testing.T) {
	service := cwscene.NewBookingService("north")
	service.Health = ""
	inScene(t, services(service), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		s.AddEndpoint("north-a", "10.1.0.5", "booking", newServiceWithoutReports(4*time.Second))
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		c := s.NewCaller()
		for range 3 {
			// The response takes longer than the probe delay, but the request is not abandoned.
			resp := sendBooking(t.Context(), c, i, requestTicket(t.Context(), is, c, i))
			is.Equal(resp.Status, http.StatusOK)
			is.Equal(resp.Body, "booked")
			time.Sleep(10 * time.Second)
		}
	})
}
