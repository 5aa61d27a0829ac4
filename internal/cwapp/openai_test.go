package cwapp_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/sashabaranov/go-openai"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestOpenAIClientWorksUnchanged checks that an OpenAI client library works with the gateway
// if only its base URL and key are changed.
func TestOpenAIClientWorksUnchanged(t *testing.T) {
	inScene(t, services(cwscene.NewChatService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		s.AddEndpoint("north-a", "10.1.0.5", "chat-model", newEngine().Handler())
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		cfg := openai.DefaultConfig(cwscene.CallerKey)
		cfg.BaseURL = "http://" + i.Settings.CallerAddress + "/services/chat/v1"
		cfg.HTTPClient = &http.Client{Transport: &http.Transport{DialContext: s.Net.Host(cwscene.CallerIP).DialContext, DisableKeepAlives: true}}
		client := openai.NewClientWithConfig(cfg)
		request := openai.ChatCompletionRequest{
			Model: "chat-model", MaxTokens: 5,
			Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "hello"}},
		}
		completion, err := client.CreateChatCompletion(t.Context(), request)
		is.NoErr(err)
		is.Equal(completion.Choices[0].Message.Content, "t0 t1 t2 t3 t4 ")
		stream, err := client.CreateChatCompletionStream(t.Context(), request)
		is.NoErr(err)
		defer stream.Close()
		text := ""
		for {
			chunk, err := stream.Recv()
			if errors.Is(err, io.EOF) {
				break
			}
			is.NoErr(err)
			text += chunk.Choices[0].Delta.Content
		}
		is.Equal(text, completion.Choices[0].Message.Content)
		is.Equal(fmt.Sprint(completion.Usage.CompletionTokens), "5")
	})
}
