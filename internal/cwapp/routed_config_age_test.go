package cwapp_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestMissingRouteIsLoggedWithItsConfig guards against a 404 whose log line does not tell which
// configuration decided, and how long ago the instance last heard that it is the current one.
func TestMissingRouteIsLoggedWithItsConfig(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		core, logs := observer.New(zapcore.InfoLevel)
		s.Log = zap.New(core)
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/other/x"}).Status, http.StatusNotFound)
		lines := logs.FilterMessage("request turned away").All()
		is.Equal(len(lines), 1)
		fields := lines[0].ContextMap()
		is.Equal(fields["config"], uint64(s.ConfigVersion()))
		for _, name := range []string{"revision", "storeAge", "peerAge"} {
			_, isPresent := fields[name]
			is.True(isPresent) // the field is logged
		}
	})
}

// uncertainScene is a domain with four instances and another one with two, of which the first one
// lacks news.
type uncertainScene struct {
	*cwscene.RoutedScene
	north, south []*cwscene.RoutedInstance
}

func newUncertainScene(s *cwscene.RoutedScene) *uncertainScene {
	u := &uncertainScene{RoutedScene: s}
	s.Accounts = []map[string]any{cwstandin.NewPublishedAccount("a", "secret-a")}
	s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
	s.AddWorker("north-a", "10.1.1.1")
	for _, ip := range []string{"10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4"} {
		u.north = append(u.north, s.AddInstance(ip, "north-a"))
	}
	for _, ip := range []string{"10.2.0.1", "10.2.0.2"} {
		u.south = append(u.south, s.AddInstance(ip, "south-a"))
	}
	s.AwaitReady()
	return u
}

// cut cuts the first instances of the domain off from the store and all other instances, or
// connects them again.
func (u *uncertainScene) cut(count int, isCut bool) {
	for _, i := range u.north[:count] {
		u.Net.SetPartitioned(i.IP, cwscene.StoreIP, isCut)
		for _, other := range append(u.north[count:], u.south...) {
			u.Net.SetPartitioned(i.IP, other.IP, isCut)
		}
	}
}

// TestUncertainInstancePromisesInsteadOfDenying guards against an instance that lacks the newest
// configuration, has evidence of that, and answers 404 for a route or 401 for a key that it does not
// have. Callers don't retry after these, though another instance would serve them.
func TestUncertainInstancePromisesInsteadOfDenying(t *testing.T) {
	for _, sc := range []struct {
		name  string
		begin func(u *uncertainScene)
		end   func(u *uncertainScene)
	}{
		{"cut off", func(u *uncertainScene) { u.cut(1, true) }, func(u *uncertainScene) { u.cut(1, false) }},
		{"domain cut off", func(u *uncertainScene) { u.cut(4, true) }, func(u *uncertainScene) { u.cut(4, false) }},
		{"offered revision not delivered", func(u *uncertainScene) {
			u.north[0].State.RecordOffer("10.1.0.9:8003", u.north[0].State.Revision()+2)
		}, func(u *uncertainScene) {
			u.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
			u.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		}},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				u := newUncertainScene(s)
				send := func(path, key string) cwscene.RoutedResponse {
					return s.Do(t.Context(), u.north[0], withKey(path, key))
				}
				sc.begin(u)
				time.Sleep(configApplyTime)
				for _, resp := range []cwscene.RoutedResponse{send("/new/x", "secret-a"), send("/r/x", "secret-new")} {
					is.Equal(resp.Status, http.StatusServiceUnavailable)
					is.True(resp.Header.Get("Retry-After") != "")
				}
				is.Equal(send("/r/x", "secret-a").Status, http.StatusOK)
				sc.end(u)
				time.Sleep(10 * time.Second)
				is.Equal(send("/new/x", "secret-a").Status, http.StatusNotFound)
				is.Equal(send("/r/x", "secret-new").Status, http.StatusUnauthorized)
			})
		})
	}
}

// TestInstancesInContactDeny guards against a 503 for a route that does not exist or a key that is
// not accepted, at instances that are up to date: while nothing changes, while changes come all the
// time, and at one that the store turns away.
func TestInstancesInContactDeny(t *testing.T) {
	for _, sc := range []struct {
		name  string
		begin func(u *uncertainScene)
		gap   time.Duration
	}{
		{"quiet store", func(*uncertainScene) {}, 0},
		{"many changes", func(*uncertainScene) {}, 90 * time.Millisecond},
		{"store refuses three instances", func(u *uncertainScene) { u.Store.RefuseIf(isAt(u.north[:3]...)) }, 90 * time.Millisecond},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				u := newUncertainScene(s)
				sc.begin(u)
				for start, sequence := time.Now(), 0; time.Since(start) < 20*time.Second; sequence++ {
					time.Sleep(max(sc.gap, 90*time.Millisecond))
					if sc.gap > 0 {
						s.RegisterWorker("w", "north-a", "10.1.1.1", map[string]any{"sequence": sequence})
					}
					if time.Since(start) < 5*time.Second || sequence%10 > 0 {
						continue
					}
					for _, i := range append(u.north, u.south...) {
						is.Equal(s.Do(t.Context(), i, withKey("/new/x", "secret-a")).Status, http.StatusNotFound)
						is.Equal(s.Do(t.Context(), i, withKey("/r/x", "secret-new")).Status, http.StatusUnauthorized)
					}
				}
			})
		})
	}
}
