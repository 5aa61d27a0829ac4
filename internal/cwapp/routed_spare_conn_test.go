package cwapp_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestRelayDoesNotWaitForConnection guards against a relayed request that waits a round trip between
// regions for a connection, because another request occupies the one to the exit until its response
// ends.
func TestRelayDoesNotWaitForConnection(t *testing.T) {
	const (
		oneWay      = 80 * time.Millisecond
		serviceTime = time.Second
	)
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "safe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		s.AddWorker("south-a", "10.2.1.1").SetServiceTime(serviceTime)
		north := s.AddInstance("10.1.0.1", "north-a")
		s.AddInstance("10.2.0.1", "south-a")
		s.Net.SetDelay("10.1.0.1", "10.2.0.1", oneWay)
		s.AwaitReady()
		time.Sleep(3 * time.Second)
		first := make(chan cwscene.RoutedResponse, 1)
		go func() { first <- s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x"}) }()
		time.Sleep(serviceTime / 2)
		startedAt := time.Now()
		second := s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/y"})
		elapsed := time.Since(startedAt)
		is.NoErr(second.Err)
		is.Equal(second.Status, 200)
		is.Equal((<-first).Status, 200)
		is.True(elapsed >= serviceTime+2*oneWay)
		is.True(elapsed < serviceTime+3*oneWay) // another round trip takes 2*oneWay
	})
}
