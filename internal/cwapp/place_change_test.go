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

// TestAllowedRegionsChangeWhileRequestIsQueued takes the place away from a request that is
// already in the queue. Its endpoint is not to blame and stays in use.
func TestAllowedRegionsChangeWhileRequestIsQueued(t *testing.T) {
	runInScene(t, services(cwscene.NewChatService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		engine := cwstandin.NewEngine("engine", cwstandin.EngineOptions{
			Model: "chat-model", Slots: 1, PromptTokensPerSecond: 4000, TokenInterval: 20 * time.Millisecond,
		})
		s.AddEndpoint("north-a", "10.1.0.5", "chat-model", engine.Handler())
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		long, waiting := make(chan cwscene.Response, 1), make(chan cwscene.Response, 5)
		go func() { long <- sendChat(t, s, i, 500) }()
		s.Await(func() bool { return engine.RunningRequests() == 1 })
		for range 5 {
			go func() { waiting <- sendChat(t, s, i, 5) }()
		}
		time.Sleep(time.Second)
		s.EditService("chat", func(c *cwservice.Service) { c.Places = []string{"south"} })
		changed := s.Publish()
		s.Await(func() bool { return i.Control.Snapshot().ConfigTracker.Accepted() == changed })
		checkTokens(is, <-long, 500)
		for range 5 {
			a := <-waiting
			is.Equal(a.Status, http.StatusMisdirectedRequest)
			is.Equal(decodeProblem(a).Outcome, cwanswer.NotRun)
		}
		s.EditService("chat", func(c *cwservice.Service) { c.Places = []string{"north"} })
		changed = s.Publish()
		s.Await(func() bool { return i.Control.Snapshot().ConfigTracker.Accepted() == changed })
		checkTokens(is, sendChat(t, s, i, 5), 5) // at once: the endpoint was not ejected
	})
}
