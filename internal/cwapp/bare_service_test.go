package cwapp_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// newServiceWithoutReports knows nothing of the gateway: it has neither a load report nor a
// health path, and takes its time.
func newServiceWithoutReports(took time.Duration) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/bookings", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(took)
		_, _ = io.WriteString(w, "booked")
	})
	return mux
}

func TestServiceWithoutLoadReportIsUsed(t *testing.T) {
	service := cwscene.NewBookingService("north")
	service.Health = ""
	runInScene(t, services(service), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		s.AddEndpoint("north-a", "10.1.0.5", "booking", newServiceWithoutReports(4*time.Second))
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		c := s.NewCaller()
		for range 3 {
			// Slower than the time after which it is probed, and not given up.
			a := sendBooking(t.Context(), c, i, requestTicket(t.Context(), is, c, i))
			is.Equal(a.Status, http.StatusOK)
			is.Equal(a.Body, "booked")
			time.Sleep(10 * time.Second)
		}
	})
}
