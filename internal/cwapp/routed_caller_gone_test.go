package cwapp_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// callerGoneTime is how long after its caller has left a request may still be worked on.
const callerGoneTime = 500 * time.Millisecond

// slowEndpoints are endpoints that need longer than callers wait, and record when they notice that a
// request was given up.
type slowEndpoints struct {
	mu sync.Mutex
	// arrivedAt and endedAt are times by request.
	arrivedAt, endedAt map[string]time.Time
}

func (e *slowEndpoints) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(cwstandin.RequestIDHeader)
	if id == "" {
		return // a health check
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.record(e.arrivedAt, id)
	select {
	case <-r.Context().Done():
	case <-time.After(10 * time.Second):
	}
	e.record(e.endedAt, id)
	w.WriteHeader(http.StatusInternalServerError)
}

func (e *slowEndpoints) record(times map[string]time.Time, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	times[id] = time.Now()
}

// TestWorkEndsSoonAfterCallerLeft guards against endpoints that work on for callers that have left,
// because their calls are kept to learn why they were not answered. Where the exit is far from the entry
// and slow, a call that is kept for a moment lasts too long.
func TestWorkEndsSoonAfterCallerLeft(t *testing.T) {
	const (
		instances  = 10 // of each region
		callers    = 1000
		callerTime = 1200 * time.Millisecond
	)
	for _, kind := range []string{"safe", "streaming"} {
		t.Run(kind, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				endpoints := &slowEndpoints{arrivedAt: map[string]time.Time{}, endedAt: map[string]time.Time{}}
				s.Publish(nil, cwscene.NewRoute("r", kind, cwscene.RoutedRoute{"home-regions": []string{"south"}}))
				var north []*cwscene.RoutedInstance
				for n := range instances {
					for m := range instances {
						s.Net.SetDelay(fmt.Sprintf("10.1.0.%d", n+1), fmt.Sprintf("10.2.0.%d", m+1), 80*time.Millisecond)
					}
					north = append(north, s.AddInstance(fmt.Sprintf("10.1.0.%d", n+1), "north-a"))
					s.AddInstance(fmt.Sprintf("10.2.0.%d", n+1), "south-a")
				}
				for n := range 3 {
					ip := fmt.Sprintf("10.2.1.%d", n+1)
					s.Serve(ip+":8010", endpoints)
					s.RegisterWorker("worker-"+ip, "south-a", ip, nil)
					for m := range instances {
						s.Net.SetDelay(fmt.Sprintf("10.2.0.%d", m+1), ip, 150*time.Millisecond)
					}
				}
				s.AwaitRetries()
				leftAt := make(map[string]time.Time, callers)
				var mu sync.Mutex
				var wg sync.WaitGroup
				for n := range callers {
					wg.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), callerTime)
						defer cancel()
						resp := s.Do(ctx, north[n%len(north)], cwscene.RoutedRequest{Path: "/r/x"})
						mu.Lock()
						defer mu.Unlock()
						leftAt[resp.RequestID] = time.Now()
					})
					time.Sleep(20 * time.Millisecond)
				}
				wg.Wait()
				time.Sleep(12 * time.Second)
				late := 0
				for id := range endpoints.arrivedAt {
					if endpoints.endedAt[id].Sub(leftAt[id]) > callerGoneTime {
						late++
					}
				}
				t.Logf("%d of %d requests were worked on half a second after their callers had left", late, len(endpoints.arrivedAt))
				is.True(len(endpoints.arrivedAt) > callers/2)
				is.True(late <= len(endpoints.arrivedAt)/4)
			})
		})
	}
}
