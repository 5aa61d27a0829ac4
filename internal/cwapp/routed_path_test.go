package cwapp_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// startOneRegion is an instance before two workers.
func startOneRegion(s *cwscene.RoutedScene, routes ...cwscene.RoutedRoute) (*cwscene.RoutedInstance, []*cwstandin.Worker) {
	s.Publish(nil, routes...)
	workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")}
	i := s.AddInstance("10.1.0.1", "north-a")
	s.AwaitReady()
	return i, workers
}

func collectRuns(workers []*cwstandin.Worker) []cwstandin.WorkerRun {
	var runs []cwstandin.WorkerRun
	for _, w := range workers {
		runs = append(runs, w.Runs()...)
	}
	return runs
}

// TestRoutedEndpointFaults has each fault of an endpoint, for requests that may be repeated
// and for those that may not.
func TestRoutedEndpointFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  string
		fault cwstandin.WorkerFault
		// status is the answer's, and runs the number of workers that ran the request.
		status, runs int
	}{
		{"well", "unsafe", cwstandin.FaultNone, 200, 1},
		{"rejected, so another may run it", "unsafe", cwstandin.FaultReject, 200, 1},
		{"failed, passed on", "unsafe", cwstandin.FaultServerError, 500, 1},
		{"failed, run again", "safe", cwstandin.FaultServerError, 200, 2},
		{"answer lost, not run again", "unsafe", cwstandin.FaultLoseResponse, 502, 1},
		{"answer lost, run again", "safe", cwstandin.FaultLoseResponse, 200, 2},
		{"answer cut, not passed on", "unsafe", cwstandin.FaultTruncateResponse, 502, 1},
		{"answer cut, run again", "safe", cwstandin.FaultTruncateResponse, 200, 2},
		{"second answer", "unsafe", cwstandin.FaultExtraResponse, 200, 1},
		{"answer of another first", "unsafe", cwstandin.FaultUnexpectedResponse, 200, 1},
		{"no signature", "unsafe", cwstandin.FaultOmitSignature, 502, 1},
		{"no signature, run again", "safe", cwstandin.FaultOmitSignature, 200, 2},
		{"hangs, run again", "safe", cwstandin.FaultHang, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				i, workers := startOneRegion(s, cwscene.NewRoute("r", c.kind, nil))
				cwstandin.SetFirstRequestFault(workers, c.fault)
				answer := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "question"})
				is.Equal(answer.Status, c.status)
				is.Equal(len(collectRuns(workers)), c.runs)
				for _, run := range collectRuns(workers) {
					is.Equal(run.RequestID, answer.RequestID)
					is.Equal(run.Body, "question")
				}
				if c.status == 200 {
					is.NoErr(answer.Err)
					is.True(strings.HasSuffix(answer.Body, " to "+answer.RequestID)) // its own answer
				}
				if c.status == 502 {
					is.Equal(answer.Header.Get("Clementinewell-Response-Signature"), "")
				}
				// What was left on connections harms no later request.
				again := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "question"})
				is.True(strings.HasSuffix(again.Body, " to "+again.RequestID))
			})
		})
	}
}

func TestGatewayHeadersFromCallersAreDropped(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"timeout-ms": 2000}))
		a := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x?q=%2F", Header: []string{
			"Clementinewell-Hold", "h", "Clementinewell-Pin-Ms", "9", "Clementinewell-Kv-Backup", "b", "Kv-From", "k",
			"Clementinewell-Expected-Instance", "other", "Clementinewell-Relayed-Ms", "1", "X-Own", "kept",
		}})
		is.Equal(a.Status, 200)
		run := collectRuns(workers)[0]
		is.Equal(run.Path, "/r/x?q=%2F")
		for _, name := range []string{"Clementinewell-Hold", "Clementinewell-Pin-Ms", "Clementinewell-Kv-Backup", "Kv-From", "Clementinewell-Relayed-Ms"} {
			is.Equal(run.Header.Get(name), "")
		}
		is.Equal(run.Header.Get("X-Own"), "kept")
		is.True(strings.HasPrefix(run.Header.Get("Clementinewell-Expected-Instance"), "worker-"))
		left := run.Header.Get("Clementinewell-Deadline-Ms")
		is.True(len(left) == 4 && left < "2001") // the route's time, not the caller's 5 s
	})
}

func TestBadRoutedInput(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
		for _, c := range []struct {
			name    string
			request cwscene.RoutedRequest
			status  int
		}{
			{"no route", cwscene.RoutedRequest{Path: "/other/x"}, http.StatusNotFound},
			{"prefix without its slash", cwscene.RoutedRequest{Path: "/r"}, http.StatusNotFound},
			{"bad deadline", cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Clementinewell-Deadline-Ms", "soon"}}, http.StatusBadRequest},
			{"bad tokens", cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Clementinewell-Token-Count", "many"}}, http.StatusBadRequest},
			{"bad parts", cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Clementinewell-Token-Count", "1,1", "Clementinewell-Prompt-Prefix", "zz"}}, http.StatusBadRequest},
			{"no identifier", cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Clementinewell-Request-Id", ""}}, http.StatusBadRequest},
			{"body too large", cwscene.RoutedRequest{Path: "/r/x", Body: strings.Repeat("x", 1<<20+1)}, http.StatusRequestEntityTooLarge},
		} {
			is.Equal(s.Do(t.Context(), i, c.request).Status, c.status) // status of the named case
		}
		is.Equal(len(collectRuns(workers)), 0)
	})
}

func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true}),
			cwscene.NewRoute("once", "streaming", nil))
		workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")}
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultTruncateStream)
		a := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
		is.NoErr(a.Err)
		want := ""
		for _, n := range []string{"1", "2", "3", "4", "5", "6"} {
			want += "id: " + n + "\ndata: piece " + n + "\n\n"
		}
		is.Equal(a.Body, want)
		is.Equal(len(collectRuns(workers)), 2)

		// One that can't be resumed must not look complete, and runs once.
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultTruncateStream)
		a = s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/once/x", Header: newPromptHeader()})
		is.True(a.Err != nil)
		is.Equal(len(collectRuns(workers)), 3)
	})
}

// TestLongRunningStreamResumes: a stream that breaks off long after its first byte was due goes on
// at another endpoint.
func TestLongRunningStreamResumes(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true, "timeout-ms": 20000}))
		workers := []*cwstandin.Worker{s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")}
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultTruncateSlowStream)
		a := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader(), Timeout: 20 * time.Second})
		is.NoErr(a.Err)
		is.Equal(strings.Count(a.Body, "data:"), 6)
		is.Equal(len(collectRuns(workers)), 2)
	})
}

// TestPausedStreamMovesOnlyIfAlternativeExists: a stream that pauses goes on elsewhere if
// there is another endpoint, and is waited for if there is none.
func TestPausedStreamMovesOnlyIfAlternativeExists(t *testing.T) {
	for _, endpoints := range []int{1, 2} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true}))
				var workers []*cwstandin.Worker
				for n := range endpoints {
					workers = append(workers, s.AddWorker("north-a", fmt.Sprintf("10.1.1.%d", n+1)))
				}
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				cwstandin.SetFirstRequestFault(workers, cwstandin.FaultPauseStream)
				a := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader(), Timeout: 10 * time.Second})
				is.NoErr(a.Err)
				is.True(strings.HasSuffix(a.Body, "id: 6\ndata: piece 6\n\n"))
				is.Equal(strings.Count(a.Body, "data:"), 6)
				is.Equal(len(collectRuns(workers)), endpoints)
				is.Equal(a.Elapsed < cwstandin.StreamPause, endpoints > 1)
			})
		})
	}
}

// TestRejectionAtTheDeadlineArrives: an endpoint that never came to the request says so
// at the end of the time. The caller learns that it has not run.
func TestRejectionAtTheDeadlineArrives(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		w := s.AddWorker("north-a", "10.1.1.1")
		w.SetDefaultFault(cwstandin.FaultRejectAtDeadline)
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		a := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Timeout: 2 * time.Second})
		is.Equal(a.Status, http.StatusServiceUnavailable)
		is.True(a.Elapsed < 2*time.Second)
	})
}

// TestRejectionBehindAnExitArrives: the same where another region serves the request.
func TestRejectionBehindAnExitArrives(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		w := s.AddWorker("south-a", "10.9.1.1")
		w.SetDefaultFault(cwstandin.FaultRejectAtDeadline)
		north, south := s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.2.0.1", "south-a")
		s.Net.SetDelay(north.IP, south.IP, 80*time.Millisecond)
		s.AwaitReady()
		time.Sleep(3 * time.Second)
		a := s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x", Timeout: 2 * time.Second})
		is.Equal(a.Status, http.StatusServiceUnavailable)
		is.True(a.Elapsed < 2*time.Second)
	})
}

// TestRelayedStreamKeepsItsDeadline: an exit doesn't end a stream before its deadline for a
// round trip that was long when it was measured.
func TestRelayedStreamKeepsItsDeadline(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
		w := s.AddWorker("south-a", "10.2.1.1")
		w.SetDefaultFault(cwstandin.FaultPauseStream)
		north, south := s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.2.0.1", "south-a")
		// Measured with a new connection it is twice as long, and must not forbid to relay.
		s.Net.SetDelay(north.IP, south.IP, 300*time.Millisecond)
		s.AwaitReady()
		time.Sleep(5 * time.Second)
		s.Net.SetDelay(north.IP, south.IP, 0)
		a := s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader(), Timeout: cwstandin.StreamPause + time.Second})
		is.Equal(a.Status, http.StatusOK)
		is.NoErr(a.Err)
		is.Equal(strings.Count(a.Body, "data:"), 6)
	})
}

func TestCallerDisconnectCancelsEndpointRequest(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultHang)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		is.True(s.Do(ctx, i, cwscene.RoutedRequest{Path: "/r/x"}).Err != nil)
		s.Await(func() bool { return workers[0].AbortedRequests()+workers[1].AbortedRequests() == 1 })
	})
}

func TestRouteTimeoutBoundsResponse(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"timeout-ms": 1000}))
		cwstandin.SetFirstRequestFault(workers, cwstandin.FaultHang)
		a := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
		is.Equal(a.Status, http.StatusGatewayTimeout)
		is.True(a.Elapsed <= time.Second)
	})
}

func TestRefusalIsImmediateWithRetryAfter(t *testing.T) {
	runInRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		a := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
		is.Equal(a.Status, http.StatusServiceUnavailable)
		is.True(a.Header.Get("Retry-After") != "")
		is.True(a.Elapsed < 50*time.Millisecond)
	})
}
