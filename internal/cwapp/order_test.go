package cwapp_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// TestEnginesAreOrderedToLoadModel checks that an engine with another model is ordered to load
// the model of its service, and is not sent requests before it has.
func TestEnginesAreOrderedToLoadModel(t *testing.T) {
	for _, fencing := range []cwservice.Fencing{cwservice.FencingChecked, cwservice.FencingIgnored} {
		t.Run(string(fencing), func(t *testing.T) {
			service := cwscene.NewChatService("north")
			service.Fencing = fencing
			inScene(t, services(service), func(t *testing.T, is *is.I, s *cwscene.Scene) {
				engine := cwstandin.NewEngine("engine", cwstandin.EngineOptions{
					Model: "another-model", Slots: 4, PromptTokensPerSecond: 4000, Tokens: 2, LoadTime: 3 * time.Second,
					IgnoreFencing: fencing == cwservice.FencingIgnored,
				})
				s.AddEndpoint("north-a", "10.1.0.5", "chat-model", engine.Handler())
				s.Publish()
				i := s.AddInstance("10.1.0.1", "north", "north-a")
				s.AddInstance("10.1.0.2", "north", "north-a")
				s.AwaitReady()
				// No request is sent to the engine while it loads the model.
				is.Equal(sendChat(t, s, i, 2).Status, http.StatusServiceUnavailable)
				s.Await(func() bool { return sendChat(t, s, i, 2).Status == http.StatusOK })
				is.Equal(engine.Load().FencingNumber, uint64(1))
			})
		})
	}
}

// TestEngineRefusesOldOrder checks that the stand-in engine refuses an order with a lower
// fencing number than that of an earlier order.
func TestEngineRefusesOldOrder(t *testing.T) {
	is := is.New(t)
	engine := cwstandin.NewEngine("engine", cwstandin.EngineOptions{Model: "m", Slots: 1})
	post := func(fencingNumber string) int {
		req, _ := http.NewRequest(http.MethodPost, "/orders", strings.NewReader(`{"model":"m","fence":`+fencingNumber+`}`))
		w := newRecorder()
		engine.Handler().ServeHTTP(w, req)
		return w.Code
	}
	is.Equal(post("5"), http.StatusOK)
	is.Equal(post("4"), http.StatusConflict) // an outdated order, for example from an instance that was frozen
}
