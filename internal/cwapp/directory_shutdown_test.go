package cwapp_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestDirectoryQueryAtTheEndOfShutdownIsAnswered guards against queries that get no response
// because the directory closes a connection that it has accepted while its first request is
// on its way.
func TestDirectoryQueryAtTheEndOfShutdownIsAnswered(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "safe", nil))
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		s.Net.SetDelay(cwscene.CallerIP, i.IP, 80*time.Millisecond)
		i.Stop()
		errs := sendAtIntervals(350, 10*time.Millisecond, func(int) error {
			transport := &http.Transport{DialContext: s.Net.Host(cwscene.CallerIP).DialContext, DisableKeepAlives: true}
			resp, err := (&http.Client{Transport: transport}).Get("http://" + i.IP + ":8004/v1/resolve?name=" + cwscene.RouteHost + "&region=north&zone=north-a")
			if err == nil {
				_ = resp.Body.Close()
			}
			return err
		})
		checkAnsweredOrRefused(t, is, errs)
		<-i.Done()
	})
}
