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

// TestAllowedRegionsChangeWhileRequestIsQueued removes the only region from the allowed
// regions while requests are queued. They are refused; this does not count as a failure of
// the endpoint, which stays in use.
func TestAllowedRegionsChangeWhileRequestIsQueued(t *testing.T) {
	inScene(t, services(cwscene.NewChatService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		engine := cwstandin.NewEngine("engine", cwstandin.EngineOptions{
			Model: "chat-model", Slots: 1, PromptTokensPerSecond: 4000, TokenInterval: 20 * time.Millisecond,
		})
		s.AddEndpoint("north-a", "10.1.0.5", "chat-model", engine.Handler())
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		longResp, queuedResponses := make(chan cwscene.Response, 1), make(chan cwscene.Response, 5)
		go func() { longResp <- sendChat(t, s, i, 500) }()
		s.Await(func() bool { return engine.RunningRequests() == 1 })
		for range 5 {
			go func() { queuedResponses <- sendChat(t, s, i, 5) }()
		}
		time.Sleep(time.Second)
		s.EditService("chat", func(c *cwservice.Service) { c.Places = []string{"south"} })
		version := s.Publish()
		s.Await(func() bool { return i.Control.Snapshot().ConfigTracker.Accepted() == version })
		checkTokens(is, <-longResp, 500)
		for range 5 {
			resp := <-queuedResponses
			is.Equal(resp.Status, http.StatusMisdirectedRequest)
			is.Equal(decodeProblem(resp).Outcome, cwanswer.NotRun)
		}
		s.EditService("chat", func(c *cwservice.Service) { c.Places = []string{"north"} })
		version = s.Publish()
		s.Await(func() bool { return i.Control.Snapshot().ConfigTracker.Accepted() == version })
		checkTokens(is, sendChat(t, s, i, 5), 5) // served immediately: the endpoint was not ejected
	})
}
