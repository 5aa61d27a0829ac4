package cwapp_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestStormOfLargeConfigurationsIsFollowed guards against instances that serve an old configuration until the
// store drops its history: a storm of large configurations makes the response to a watch exceed the limit,
// and the same watch is repeated, with a response that only grows.
func TestStormOfLargeConfigurationsIsFollowed(t *testing.T) {
	inRoutedScene(t, func(_ *testing.T, is *is.I, s *cwscene.RoutedScene) {
		const (
			routes        = 100
			routeBytes    = 7 << 10
			versions      = 25
			stormInterval = 60 * time.Millisecond
		)
		publish := func(version int) {
			list := []cwscene.RoutedRoute{cwscene.NewRoute("r", "safe", nil)}
			for n := range routes {
				list = append(list, cwscene.NewRoute(fmt.Sprintf("%s%d-%d", strings.Repeat("x", routeBytes/2), version, n), "safe", nil))
			}
			s.Publish(nil, list...)
		}
		publish(0)
		s.AddWorker("north-a", "10.1.1.1")
		instances := []*cwscene.RoutedInstance{s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.1.0.2", "north-a"), s.AddInstance("10.1.0.3", "north-a"), s.AddInstance("10.2.0.1", "south-a")}
		s.AwaitReady()
		time.Sleep(contactTime)
		for n := range versions {
			publish(n + 1)
			time.Sleep(stormInterval)
		}
		time.Sleep(changeApplyTime)
		for _, i := range instances {
			is.Equal(i.State.View().Config.Version, uint64(s.ConfigVersion()))
		}
	})
}
