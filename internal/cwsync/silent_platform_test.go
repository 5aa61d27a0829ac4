package cwsync_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

const (
	// applyTime is the time within which a change is in force at an instance that reads the
	// platform: from the change, or from the end of a silence.
	applyTime = 5 * time.Second
	// watchPeriod is the time from one watch of a quiet value to the next.
	watchPeriod = 30 * time.Second
)

// TestChangeIsAppliedAfterSilenceOfPlatform guards against watches of the configuration and of lists
// whose request or response was lost in a silence of the platform, and that are awaited for their
// whole wait after it is back. The connections stay open.
func TestChangeIsAppliedAfterSilenceOfPlatform(t *testing.T) {
	for _, sc := range []struct {
		name                 string
		silence, changeAfter time.Duration
	}{
		{"short silence", 50 * time.Millisecond, 1500 * time.Millisecond},
		{"silence of a second", time.Second, 0},
		{"silence of two seconds", 2 * time.Second, 1500 * time.Millisecond},
		{"silence of many seconds", 9500 * time.Millisecond, 500 * time.Millisecond},
		{"silence of two minutes", 2 * time.Minute, 0},
	} {
		t.Run(sc.name, func(t *testing.T) {
			// A change before the silence makes watches begin or end within it.
			for changeBefore := time.Duration(0); changeBefore <= watchPeriod+time.Second; changeBefore += 2 * time.Second {
				synctest.Test(t, func(t *testing.T) { checkSilentPlatform(t, sc.silence, sc.changeAfter, changeBefore) })
			}
		})
	}
}

// checkSilentPlatform changes the configuration and a list before a silence of the platform and again
// after it, and checks when the instance applies the latter change.
func checkSilentPlatform(t *testing.T, silence, changeAfter, changeBefore time.Duration) {
	t.Helper()
	s := cwscene.NewScene(t, cwscene.NewLookupService("north"))
	defer s.Close()
	s.Publish()
	i := s.AddInstance("10.1.0.1", "north", "north-a")
	s.AwaitReady()
	silentFrom := time.Now().Add(watchPeriod + 2*time.Second)
	time.Sleep(time.Until(silentFrom.Add(-changeBefore)))
	change := func(ip string) (hasApplied func() bool) {
		version := s.Publish()
		s.AddEndpoint("north-a", ip, "lookup", http.NotFoundHandler())
		endpoints := int(ip[len(ip)-1] - '0')
		return func() bool {
			snapshot := i.Control.Snapshot()
			return snapshot.ConfigTracker.Accepted() == version && len(snapshot.Endpoints) == endpoints
		}
	}
	change("10.1.1.1")
	time.Sleep(time.Until(silentFrom))
	s.Platform.SetSilent(true)
	time.Sleep(silence)
	s.Platform.SetSilent(false)
	time.Sleep(changeAfter)
	hasApplied := change("10.1.1.2")
	time.Sleep(applyTime)
	if !hasApplied() {
		t.Errorf("change %v before the silence: the change after it is not applied within %v", changeBefore, applyTime)
	}
}

// TestCallsToQuietPlatform guards against probes that cost more than one call in two seconds beside
// each watch.
func TestCallsToQuietPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const quiet = time.Minute
		s := cwscene.NewScene(t, cwscene.NewLookupService("north"))
		defer s.Close()
		s.Publish()
		s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		before := s.Platform.Calls()
		time.Sleep(quiet)
		calls := s.Platform.Calls() - before
		t.Logf("%d calls in %v", calls, quiet)
		const watches = 3
		is.New(t).True(calls <= watches*int(quiet/watchPeriod+quiet/(2*time.Second))+watches)
	})
}
