package cwapp_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplatform"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// maxConfigDelay is the time within which a change must reach every instance of a deployment
// on one machine.
const maxConfigDelay = 5 * time.Second

// awaitVersion waits until the instances have accepted the version, and checks that this
// takes at most maxConfigDelay.
func awaitVersion(is *is.I, s *cwscene.Scene, want cwconfig.Version, instances ...*cwscene.Instance) {
	start := time.Now()
	for _, i := range instances {
		s.Await(func() bool { return i.Control.Snapshot().ConfigTracker.Accepted() == want })
	}
	is.True(time.Since(start) <= maxConfigDelay)
}

// TestConfigReachesAllInstances checks that an instance that cannot reach the platform gets a
// new configuration in time from the other.
func TestConfigReachesAllInstances(t *testing.T) {
	scenarios := []struct {
		name  string
		fault func(s *cwscene.Scene, p *instancePair)
	}{
		{"no fault", func(*cwscene.Scene, *instancePair) {}},
		{"first instance partitioned from the platform", func(s *cwscene.Scene, p *instancePair) { s.Net.SetPartitioned(p.a.IP, cwscene.PlatformIP, true) }},
		{"second instance partitioned from the platform", func(s *cwscene.Scene, p *instancePair) { s.Net.SetPartitioned(p.b.IP, cwscene.PlatformIP, true) }},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			inScene(t, services(cwscene.NewLookupService("north")), func(_ *testing.T, is *is.I, s *cwscene.Scene) {
				p := newInstancePair(s, "lookup")
				sc.fault(s, p)
				awaitVersion(is, s, s.Publish(), p.a, p.b)
			})
		})
	}
}

// TestConfigNeverReverts checks that a platform replica that returns an old configuration does
// not replace a newer one.
func TestConfigNeverReverts(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north")), func(_ *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		newest := s.Publish()
		awaitVersion(is, s, newest, p.a, p.b)
		// All instances, including a newly started one, read from a stale platform replica.
		s.Platform.SetStale(true)
		third := s.AddInstance("10.1.0.3", "north", "north-a")
		s.Await(func() bool { return third.Control.Snapshot().IsReady })
		is.Equal(third.Control.Snapshot().ConfigTracker.Accepted(), newest) // ready only with the newest version that it can obtain
		time.Sleep(2 * time.Minute)
		for _, i := range []*cwscene.Instance{p.a, p.b, third} {
			is.Equal(i.Control.Snapshot().ConfigTracker.Accepted(), newest)
		}
	})
}

// TestConfigSurvivesFullReplacementDuringOutage replaces all instances while the platform is
// down. The new instance must get configuration and endpoints from its peers.
func TestConfigSurvivesFullReplacementDuringOutage(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		newest := p.a.Control.Snapshot().ConfigTracker.Accepted()
		s.Platform.SetDown(true)
		third := s.StartInstance("10.1.0.3", "north", "north-a", "--peers=10.1.0.1:7081,10.1.0.2:7081")
		s.Await(func() bool { return third.Control.Snapshot().IsReady })
		is.Equal(third.Control.Snapshot().ConfigTracker.Accepted(), newest)
		p.a.Stop()
		p.b.Stop()
		<-p.a.Done()
		<-p.b.Done()
		resp := s.NewCaller().Do(t.Context(), third, cwscene.Request{Method: "GET", Path: "/services/lookup/x"})
		is.Equal(resp.Status, 200) // the endpoints were also obtained from the peers
	})
}

// TestPublishersWithSameNumberConverge publishes two different configurations with the same
// number. All instances must accept the same one, whichever they read first.
func TestPublishersWithSameNumberConverge(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north")), func(_ *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		number := p.a.Control.Snapshot().ConfigTracker.Accepted().Number + 1
		var sets []cwconfig.Set
		for _, name := range []string{"one", "two"} {
			svc := cwscene.NewLookupService("north")
			svc.Name = name
			set, err := cwconfig.Build(number, []cwservice.Service{svc}, nil)
			is.NoErr(err)
			sets = append(sets, set)
		}
		want := sets[0].Version
		if sets[1].Version.Compare(want) > 0 {
			want = sets[1].Version
		}
		// Only one instance can read the first set before the second overwrites it.
		s.Net.SetPartitioned(p.a.IP, cwscene.PlatformIP, true)
		s.Platform.PutConfig(sets[0])
		time.Sleep(time.Second)
		s.Net.SetPartitioned(p.a.IP, cwscene.PlatformIP, false)
		s.Platform.PutConfig(sets[1])
		awaitVersion(is, s, want, p.a, p.b)
	})
}

// TestNotReadyWithoutConfirmation starts an instance that reaches neither the platform nor a
// peer. It must refuse requests, since its configuration is not confirmed.
func TestNotReadyWithoutConfirmation(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		s.Platform.SetDown(true)
		i := s.StartInstance("10.1.0.1", "north", "north-a")
		time.Sleep(time.Minute)
		is.True(!i.Control.Snapshot().IsReady)
		resp := s.NewCaller().Do(t.Context(), i, cwscene.Request{Method: "GET", Path: "/services/lookup/x"})
		is.Equal(resp.Status, 503)
		is.Equal(decodeProblem(resp).Type, "problems/not-ready")
	})
}

// TestEmptyListsAreIgnored checks that empty lists on the platform remove neither the peers
// nor the endpoints in use.
func TestEmptyListsAreIgnored(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		s.Platform.PutJSON(cwplatform.EntriesKey, []cwplatform.EntryInstance{})
		s.Platform.PutJSON(cwplatform.EndpointsKeyPrefix+"north-a", []cwplatform.ListedEndpoint{})
		time.Sleep(time.Minute)
		is.Equal(len(p.a.Control.Snapshot().Members), 1)
		is.Equal(s.NewCaller().Do(t.Context(), p.a, cwscene.Request{Method: "GET", Path: "/services/lookup/x"}).Status, 200)
	})
}
