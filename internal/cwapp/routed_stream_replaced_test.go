package cwapp_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// replaceableWorker is a worker whose process can be replaced in place: another one takes over the listener,
// and the connections end.
type replaceableWorker struct {
	ip      string
	current atomic.Pointer[cwstandin.Worker]

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// addReplaceableWorker starts one with version v1 in the north.
func (f *versionedFleet) addReplaceableWorker(ip string) *replaceableWorker {
	r := &replaceableWorker{ip: ip, conns: make(map[net.Conn]bool)}
	f.renew(r, "v1")
	l, err := f.Net.Host(ip).Listen(context.Background(), ip+":8010")
	if err != nil {
		panic(err)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.current.Load().ServeHTTP(w, req) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.conns[c] = state != http.StateClosed
		},
	}
	go func() { _ = server.Serve(l) }()
	return r
}

// renew replaces the process by one of a version, without its entry.
func (f *versionedFleet) renew(r *replaceableWorker, version string) {
	w := cwstandin.NewWorker("worker-" + r.ip)
	w.SetPartInterval(replacedPartInterval)
	f.workers[w] = version
	r.current.Store(w)
	r.closeConns()
}

// closeConns ends all connections.
func (r *replaceableWorker) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, isOpen := range r.conns {
		if isOpen {
			_ = c.Close()
		}
	}
}

// newReplaceableFleet returns three instances with four replaceable workers.
func newReplaceableFleet(s *cwscene.RoutedScene) (*versionedFleet, []*replaceableWorker) {
	f := &versionedFleet{RoutedScene: s, workers: make(map[*cwstandin.Worker]string)}
	s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true, "timeout-ms": 12000}))
	var workers []*replaceableWorker
	for n := range 4 {
		r := f.addReplaceableWorker(fmt.Sprintf("10.1.1.%d", n+1))
		s.RegisterWorker("worker-"+r.ip, "north-a", r.ip, map[string]any{"version": "v1"})
		workers = append(workers, r)
	}
	for n := range 3 {
		f.north = append(f.north, s.AddInstance(fmt.Sprintf("10.1.0.%d", n+1), "north-a"))
	}
	s.AwaitRetries()
	return f, workers
}

const (
	// replacedPartInterval is the time between two events of these streams.
	replacedPartInterval = 500 * time.Millisecond
	// heartbeatInterval is the time from the start of a worker to its entry.
	heartbeatInterval = 1200 * time.Millisecond
)

// TestStreamsBesideReplacementsInPlace guards against streams of two versions when endpoints are replaced in
// place by another version, one after the other: they refuse no connection, and their entries follow late.
func TestStreamsBesideReplacementsInPlace(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		f, workers := newReplaceableFleet(s)
		const streams = 400
		var wg sync.WaitGroup
		responses := make([]cwscene.RoutedResponse, streams)
		begin := time.Now()
		for n := range streams {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * time.Second / 8)
				responses[n] = s.Do(t.Context(), f.north[n%3], cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader(), Timeout: 12 * time.Second})
			})
		}
		for round := range 5 {
			for n := range 2 {
				r, version := workers[round%2*2+n], fmt.Sprint("v", round/2+2)
				time.Sleep(time.Until(begin.Add(time.Duration(4+9*round+n) * time.Second)))
				f.renew(r, version)
				time.AfterFunc(heartbeatInterval, func() {
					s.RegisterWorker("worker-"+r.ip, "north-a", r.ip, map[string]any{"version": version, "born": 10*round + n + 2})
				})
			}
		}
		wg.Wait()
		mixed, complete := 0, 0
		for _, resp := range responses {
			if len(f.versionsOf(resp.RequestID)) > 1 {
				mixed++
			}
			if resp.Err == nil && resp.Status == http.StatusOK {
				complete++
			}
		}
		t.Logf("%d of %d complete, %d of two versions", complete, streams, mixed)
		is.Equal(mixed, 0)
		is.True(complete >= streams*9/10)
	})
}

// TestStreamsAreTakenUpAfterResetOfConnections guards against streams that can't go on because the connections
// to all endpoints were reset at once: that is no replacement of all of them.
func TestStreamsAreTakenUpAfterResetOfConnections(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		f, workers := newReplaceableFleet(s)
		for w := range f.workers {
			w.SetPartInterval(0)
		}
		var begun []cwscene.RoutedResponse
		for n := range 12 {
			begun = append(begun, f.begin(t, f.north[n%3]))
		}
		for _, r := range workers {
			r.closeConns()
		}
		time.Sleep(200 * time.Millisecond)
		const callsOnIdleConns = 40 // these fail on connections in memory, which tell no close
		for n := range callsOnIdleConns * len(f.north) {
			s.Do(t.Context(), f.north[n%3], cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
		}
		goneOn := 0
		for n, b := range begun {
			if f.takeUp(t, f.north[n%3], b).Status == http.StatusOK {
				goneOn++
			}
		}
		t.Logf("%d of %d went on", goneOn, len(begun))
		is.True(2*goneOn >= len(begun))
	})
}
