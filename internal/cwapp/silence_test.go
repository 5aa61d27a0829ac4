package cwapp_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// TestSilenceOfEndpointsEndsNoDispatch guards against requests at the product's own interface that
// are given up, refused or run again because their endpoint is silent for a second or so.
func TestSilenceOfEndpointsEndsNoDispatch(t *testing.T) {
	const (
		silence  = 1500 * time.Millisecond
		interval = 100 * time.Millisecond
		plainIP  = "10.1.0.5"
		engineIP = "10.1.0.6"
	)
	for _, acceptsConns := range []bool{true, false} {
		for _, resumes := range []bool{true, false} {
			t.Run(fmt.Sprintf("accepts=%t, resumes=%t", acceptsConns, resumes), func(t *testing.T) {
				chat := cwscene.NewChatService("north")
				chat.Resume = resumes
				inScene(t, services(cwscene.NewBookingService("north"), chat), func(t *testing.T, is *is.I, s *cwscene.Scene) {
					plain, engine := cwstandin.NewPlainService("plain", 300*time.Millisecond), newEngine()
					s.AddEndpoint("north-a", plainIP, "booking", plain.Handler())
					s.AddEndpoint("north-a", engineIP, "chat-model", engine.Handler())
					s.Publish()
					i := s.AddInstance("10.1.0.1", "north", "north-a")
					s.AwaitReady()
					var wg sync.WaitGroup
					wg.Go(func() {
						time.Sleep(time.Second)
						for _, ip := range []string{plainIP, engineIP} {
							s.Net.SilenceHost(ip, acceptsConns)
						}
						time.Sleep(silence)
						for _, ip := range []string{plainIP, engineIP} {
							s.Net.EndSilence(ip)
						}
					})
					for n := range 30 {
						if n%10 == 5 { // the engine has 8 slots
							wg.Go(func() {
								resp := sendChat(t, s, i, 50)
								if resp.Err != nil || resp.Status != 200 || !strings.HasSuffix(resp.Body, "data: [DONE]\n\n") {
									t.Errorf("stream %d: status %d, %v", n, resp.Status, resp.Err)
								}
							})
						}
						wg.Go(func() {
							c := s.NewCaller()
							ticket := requestTicket(t.Context(), is, c, i)
							resp := c.Do(t.Context(), i, cwscene.Request{
								Method: "POST", Path: bookingsPath, Body: `{"truck":4}`, Header: []string{cwanswer.HeaderTicket, ticket},
							})
							if resp.Status != 200 || plain.Runs(ticket) != 1 {
								t.Errorf("booking %d: status %d, %d runs, %s", n, resp.Status, plain.Runs(ticket), resp.Body)
							}
						})
						time.Sleep(interval)
					}
					wg.Wait()
					_, doubled := plain.TotalRuns()
					is.Equal(doubled, 0)
				})
			})
		}
	}
}
