package cwapp_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestStreamResumesAfterLastCompleteEvent truncates a stream within an event. The caller must
// get every event once and complete, from a second endpoint.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true}),
			cwscene.NewRoute("once", "streaming", nil))
		workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")}
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitRetries()
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultTruncateStream)
		resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
		is.NoErr(resp.Err)
		want := ""
		for _, n := range []string{"1", "2", "3", "4", "5", "6"} {
			want += "id: " + n + "\ndata: piece " + n + "\n\n"
		}
		is.Equal(resp.Body, want)
		is.Equal(len(collectRuns(workers)), 2)

		// A stream that cannot be resumed must not look complete, and runs once.
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultTruncateStream)
		resp = s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/once/x", Header: newPromptHeader()})
		is.True(resp.Err != nil)
		is.Equal(len(collectRuns(workers)), 3)
	})
}

// TestStreamThatCannotGoOnIsCutOff guards against the text of an error in the middle of a stream, or
// against its end as if it were complete, if the stream breaks off and the next endpoint answers with
// something else than the rest.
func TestStreamThatCannotGoOnIsCutOff(t *testing.T) {
	for _, isRelayed := range []bool{false, true} {
		for name, fault := range map[string]cwstandin.WorkerFault{
			"rejected": cwstandin.FaultReject, "error": cwstandin.FaultServerError, "response lost": cwstandin.FaultLoseResponse,
			"no signature": cwstandin.FaultOmitSignature, "broken again": cwstandin.FaultTruncateStream, "response to another request": cwstandin.FaultUnexpectedResponse,
			"endless head": cwstandin.FaultEndlessHead, "no response": cwstandin.FaultEndlessLine,
		} {
			t.Run(fmt.Sprintf("%s, relayed=%t", name, isRelayed), func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true, "home-regions": []string{"north"}}))
					workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")}
					i := s.AddInstance("10.1.0.1", "north-a")
					if isRelayed {
						i = s.AddInstance("10.2.0.1", "south-a")
					}
					s.AwaitReady()
					time.Sleep(4 * time.Second)
					for _, w := range workers {
						w.SetDefaultFault(fault)
					}
					cwstandin.SetFirstRequestFault(workers, cwstandin.FaultTruncateStream)
					resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
					whole := ""
					for n := range 6 {
						whole += fmt.Sprintf("id: %d\ndata: piece %d\n\n", n+1, n+1)
					}
					is.Equal(resp.Status, http.StatusOK)
					is.True(strings.HasPrefix(whole, resp.Body))
					is.True(strings.HasPrefix(resp.Body, "id: 1\n"))
					is.Equal(resp.Err == nil, resp.Body == whole)
				})
			})
		}
	}
}

// TestLongRunningStreamResumes checks that a stream that is truncated long after its first
// byte was due is resumed at another endpoint.
func TestLongRunningStreamResumes(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true, "timeout-ms": 20000}))
		workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")}
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultTruncateSlowStream)
		resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader(), Timeout: 20 * time.Second})
		is.NoErr(resp.Err)
		is.Equal(strings.Count(resp.Body, "data:"), 6)
		is.Equal(len(collectRuns(workers)), 2)
	})
}

// TestPausedStreamMovesOnlyIfAlternativeExists checks that a paused stream is resumed at
// another endpoint if there is one, and otherwise waited for.
func TestPausedStreamMovesOnlyIfAlternativeExists(t *testing.T) {
	for _, endpoints := range []int{1, 2} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true}))
				var workers []*cwstandin.Worker
				for n := range endpoints {
					workers = append(workers, s.AddWorker("north-a", fmt.Sprintf("10.1.1.%d", n+1)))
				}
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitRetries()
				cwstandin.SetFirstRequestFault(workers, cwstandin.FaultPauseStream)
				resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader(), Timeout: 10 * time.Second})
				is.NoErr(resp.Err)
				is.True(strings.HasSuffix(resp.Body, "id: 6\ndata: piece 6\n\n"))
				is.Equal(strings.Count(resp.Body, "data:"), 6)
				is.Equal(len(collectRuns(workers)), endpoints)
				is.Equal(resp.Elapsed < cwstandin.StreamPause, endpoints > 1)
			})
		})
	}
}
