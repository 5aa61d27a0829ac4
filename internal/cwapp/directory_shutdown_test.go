package cwapp_test

import (
	"net/http"
	"strings"
	"sync"
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
		var wg sync.WaitGroup
		errs := make([]error, 350)
		for n := range errs {
			wg.Go(func() {
				transport := &http.Transport{DialContext: s.Net.Host(cwscene.CallerIP).DialContext, DisableKeepAlives: true}
				resp, err := (&http.Client{Transport: transport}).Get("http://" + i.IP + ":8004/v1/resolve?name=" + cwscene.RouteHost + "&region=north&zone=north-a")
				if err == nil {
					_ = resp.Body.Close()
				}
				errs[n] = err
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		answered, refused := 0, 0
		for n, err := range errs {
			switch {
			case err == nil:
				answered++
			case strings.Contains(err.Error(), "connection refused"):
				refused++
			default:
				t.Errorf("query %d ms after the signal: %v", 10*n, err)
			}
		}
		is.True(answered > 0)
		is.True(refused > 0) // the queries continue until the listener is closed
		<-i.Done()
	})
}
