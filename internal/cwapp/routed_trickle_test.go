package cwapp_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestTrickleIsNoProgressOfStream guards against a stalled stream that is kept until its deadline
// because its endpoint sends something now and then that completes no event. A stream that can be
// resumed goes on at another endpoint before its caller abandons it; any other ends at its deadline.
func TestTrickleIsNoProgressOfStream(t *testing.T) {
	const (
		interval   = 200 * time.Millisecond
		timeout    = 5 * time.Second
		firstEvent = "id: 1\ndata: piece 1\n\n"
	)
	allEvents := ""
	for n := range 6 {
		allEvents += fmt.Sprintf("id: %d\ndata: piece %d\n\n", n+1, n+1)
	}
	for _, sc := range []struct{ name, start, repeated string }{
		{"comments before the first event", "", ": still here\n\n"},
		{"comment lines before the first event", "", ": still here\n"},
		{"empty lines before the first event", "", "\n"},
		{"bytes of the first event", "data: ", "x"},
		{"comments after an event", firstEvent, ": still here\n\n"},
		{"comments of another line end after an event", firstEvent, ": still here\r\n\r\n"},
		{"comment lines after an event", firstEvent, ": still here\n"},
		{"empty lines after an event", firstEvent, "\n"},
		{"bytes of an event after an event", firstEvent + "data: ", "x"},
	} {
		for _, isResumable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, resumable=%t", sc.name, isResumable), func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": isResumable}))
					response := cwstandin.StreamResponse(sc.name, sc.start, sc.repeated)
					response.Interval = interval
					var hasBegun atomic.Bool
					for _, ip := range []string{"10.1.1.1", "10.1.1.2"} {
						sound := cwstandin.NewWorker("worker-" + ip)
						s.Serve(ip+":8010", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
							if hasBegun.CompareAndSwap(false, true) {
								response.ServeHTTP(w, r)
								return
							}
							sound.ServeHTTP(w, r)
						}))
						s.RegisterWorker(sound.ID, "north-a", ip, nil)
					}
					i := s.AddInstance("10.1.0.1", "north-a")
					s.AwaitReady()
					resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader(), Timeout: timeout})
					if isResumable {
						is.NoErr(resp.Err)
						is.Equal(resp.Status, http.StatusOK)
						is.Equal(fieldLines(resp.Body), fieldLines(allEvents))
						is.True(resp.Elapsed < streamAbandonTime)
						return
					}
					is.True(resp.Err != nil || resp.Status == http.StatusGatewayTimeout)
					is.True(resp.Elapsed <= timeout)
					is.Equal(i.Budget.UsedBytes(), int64(0))
				})
			})
		}
	}
}

// fieldLines returns the lines of a stream without comments and empty lines.
func fieldLines(stream string) []string {
	return slices.DeleteFunc(strings.Fields(strings.ReplaceAll(stream, " ", "_")), func(line string) bool {
		return strings.HasPrefix(line, ":")
	})
}

// TestSlowStreamIsKept guards against a sound stream that is ended, or begun again at another
// endpoint, because its events are as far apart as its route and the silence of a sound endpoint allow.
func TestSlowStreamIsKept(t *testing.T) {
	for _, isResumable := range []bool{true, false} {
		t.Run(fmt.Sprintf("resumable=%t", isResumable), func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": isResumable, "timeout-ms": 20000}))
				workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")}
				for _, w := range workers {
					w.SetPartInterval(1400 * time.Millisecond)
				}
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader(), Timeout: 20 * time.Second})
				is.NoErr(resp.Err)
				is.Equal(strings.Count(resp.Body, "data: "), 6)
				is.Equal(len(collectRuns(workers)), 1)
			})
		})
	}
}
