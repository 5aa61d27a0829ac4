package cwapp_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwgate"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// fetchBlocks returns the blocks that an instance shows to operators.
func fetchBlocks(t *testing.T, s *cwscene.RoutedScene, i *cwscene.RoutedInstance) []cwgate.BlockStatus {
	var blocks []cwgate.BlockStatus
	if err := json.Unmarshal([]byte(s.FetchAdmin(t, i, "/blocks")), &blocks); err != nil {
		t.Fatal(err)
	}
	return blocks
}

// TestOperatorLiftsBlock checks that operators see what is blocked and why, and that lifting a
// block at one instance, from its machine only, ends it at all.
func TestOperatorLiftsBlock(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(newCrashEngineService(), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true}))
		fleet, instances := newCrashFleetScene(s, cwstandin.Crash{
			Matches: func(r *http.Request, body string) bool { return isCrashingPrompt(r.Header, body) },
			After:   120 * time.Millisecond, Prelude: cwstandin.PreludeHead,
		})
		defer fleet.Close()
		l := &crashLoad{scene: s, instances: instances, sound: soundPrompt, crashing: crashingPrompt, crashInterval: 500 * time.Millisecond}
		l.run(t, 10*time.Second, 2*time.Second, 10*time.Second)
		endedBefore := len(fleet.Ends())
		var id string
		for _, i := range instances {
			blocks := fetchBlocks(t, s, i)
			is.Equal(len(blocks), 1)
			is.Equal(blocks[0].Traits, []string{"prompt part " + crashingPart})
			is.Equal(len(blocks[0].Ends), endedBefore)
			is.True(blocks[0].RefusedSecondsAgo != nil)
			id = blocks[0].ID
		}
		is.Equal(s.LiftBlock(t, instances[2], "10.9.9.9", id), http.StatusForbidden)
		is.Equal(s.LiftBlock(t, instances[2], instances[2].IP, "1"), http.StatusNotFound)
		is.Equal(s.LiftBlock(t, instances[2], instances[2].IP, id), http.StatusNoContent)
		time.Sleep(3 * time.Second)
		is.True(!slices.ContainsFunc(instances, func(i *cwscene.RoutedInstance) bool { return len(fetchBlocks(t, s, i)) > 0 }))
		l.run(t, 10*time.Second, 0, 10*time.Second)
		is.True(len(fleet.Ends()) > endedBefore)
		is.Equal(len(fetchBlocks(t, s, instances[0])), 1)
	})
}
