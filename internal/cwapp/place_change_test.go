package cwapp_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// TestPlaceChangesWhileRequestWaits takes the place away from a request that is
// already in the queue. Its endpoint is not to blame and stays in use.
func TestPlaceChangesWhileRequestWaits(t *testing.T) {
	inScene(t, services(cwscene.Chat("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		engine := cwstandin.NewEngine("engine", cwstandin.EngineOptions{
			Model: "chat-model", Slots: 1, PromptTokensPerSecond: 4000, TokenInterval: 20 * time.Millisecond,
		})
		s.AddEndpoint("north-a", "10.1.0.5", "chat-model", engine.Handler())
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		long, waiting := make(chan cwscene.Answer, 1), make(chan cwscene.Answer, 5)
		go func() { long <- chat(t, s, i, 500) }()
		s.Await(func() bool { return engine.Running() == 1 })
		for range 5 {
			go func() { waiting <- chat(t, s, i, 5) }()
		}
		time.Sleep(time.Second)
		s.Change("chat", func(c *cwservice.Service) { c.Places = []string{"south"} })
		changed := s.Publish()
		s.Await(func() bool { return i.Control.Snapshot().ConfigTracker.Accepted() == changed })
		wantTokens(is, <-long, 500)
		for range 5 {
			a := <-waiting
			is.Equal(a.Status, http.StatusMisdirectedRequest)
			is.Equal(problemOf(a).Outcome, cwanswer.NotRun)
		}
		s.Change("chat", func(c *cwservice.Service) { c.Places = []string{"north"} })
		changed = s.Publish()
		s.Await(func() bool { return i.Control.Snapshot().ConfigTracker.Accepted() == changed })
		wantTokens(is, chat(t, s, i, 5), 5) // at once: the endpoint was not ejected
	})
}
