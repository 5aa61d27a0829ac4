package cwapp_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	brittleEndpoints, brittleSlots = 8, 2
	brittleServiceTime             = 400 * time.Millisecond
	// soundQueue is the number of requests that an endpoint lets wait, brittleQueue that from
	// brittleAfter on.
	soundQueue, brittleQueue = 8, 2
	brittleAfter             = 6 * time.Second
	brittleReturn            = 3 * time.Second
	brittlePeriod            = 40 * time.Second
)

// brittleFleet is a service whose endpoints say that they are brittle.
type brittleFleet struct {
	scene *cwscene.RoutedScene
	// most is the number of requests that an endpoint may turn away within a second.
	most int
	// slots is the number of requests that an endpoint runs at once, each for serviceTime.
	slots       int
	serviceTime time.Duration
	startedAt   time.Time

	mu            sync.Mutex
	starts, falls int
	isOver        bool
}

// brittleEndpoint is one life of an endpoint.
type brittleEndpoint struct {
	*cwstandin.Worker
	fleet *brittleFleet
	ip    string

	mu              sync.Mutex
	running, queued int
	rejectedAt      []time.Time
	hasFallen       bool
	slots           chan struct{}
}

func (f *brittleFleet) start(ip string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isOver {
		return
	}
	f.starts++
	w := cwstandin.NewWorker(fmt.Sprintf("worker-%s-%d", ip, f.starts))
	w.SetServiceTime(f.serviceTime)
	f.scene.Net.RestoreHost(ip)
	f.scene.Serve(ip+":8010", &brittleEndpoint{Worker: w, fleet: f, ip: ip, slots: make(chan struct{}, f.slots)})
	f.scene.RegisterWorker(w.ID, "north-a", ip, map[string]any{"slots": f.slots, "born": time.Now().UnixMilli()})
}

func (e *brittleEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Brittle", fmt.Sprint(e.fleet.most))
	if !e.enter() {
		w.Header().Set("Clementinewell-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	e.Worker.ServeHTTP(w, r)
}

// enter admits a request. It turns it away for want of room, and then falls over if that happened
// too often.
func (e *brittleEndpoint) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	room := soundQueue
	now := time.Now()
	if now.Sub(e.fleet.startedAt) >= brittleAfter {
		room = brittleQueue
	}
	if e.running < e.fleet.slots+room {
		e.running++
		return true
	}
	recent := e.rejectedAt[:0]
	for _, at := range append(e.rejectedAt, now) {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	e.rejectedAt = recent
	if len(recent) > e.fleet.most && !e.hasFallen {
		e.hasFallen = true
		go e.fleet.fall(e)
	}
	return false
}

func (e *brittleEndpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// fall ends an endpoint. It is back under a new entry.
func (f *brittleFleet) fall(e *brittleEndpoint) {
	f.mu.Lock()
	f.falls++
	f.mu.Unlock()
	f.scene.Net.KillHost(e.ip)
	f.scene.Store.Remove(cwstandin.WorkerKeyPrefix + e.ID)
	time.Sleep(brittleReturn)
	f.start(e.ip)
}

// TestBrittleEndpointsStayUp guards against endpoints that fall over because they have to turn away
// more requests than they say they can.
func TestBrittleEndpointsStayUp(t *testing.T) {
	const capacity = brittleEndpoints * brittleSlots * float64(time.Second) / float64(brittleServiceTime)
	for _, most := range []int{1, 8} {
		for _, load := range []float64{0.8, 1.5, 4} {
			t.Run(fmt.Sprintf("at most %d, load %g", most, load), func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
					f := &brittleFleet{scene: s, most: most, slots: brittleSlots, serviceTime: brittleServiceTime, startedAt: time.Now().Add(5 * time.Second)}
					for n := range brittleEndpoints {
						f.start(fmt.Sprintf("10.1.1.%d", n+1))
					}
					var instances []*cwscene.RoutedInstance
					for n := range 6 {
						instances = append(instances, s.AddInstance(fmt.Sprintf("10.1.0.%d", n+1), "north-a"))
					}
					s.AwaitReady()
					time.Sleep(5 * time.Second)
					var wg sync.WaitGroup
					var mu sync.Mutex
					all, served := 0, 0
					for start := time.Now(); time.Since(start) < brittlePeriod; time.Sleep(time.Duration(float64(time.Second) / capacity / load)) {
						i := instances[all%len(instances)]
						all++
						wg.Go(func() {
							r := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
							mu.Lock()
							defer mu.Unlock()
							if r.Err == nil && r.Status == http.StatusOK {
								served++
							}
						})
					}
					wg.Wait()
					f.mu.Lock()
					f.isOver = true
					falls := f.falls
					f.mu.Unlock()
					t.Logf("%d falls, %d of %d served; capacity %.0f", falls, served, all, capacity*brittlePeriod.Seconds())
					is.True(10*falls <= 20+brittleEndpoints) // the users' bound: 2 and a tenth of the number
					is.True(float64(served) >= 0.5*min(float64(all), capacity*brittlePeriod.Seconds()))
				})
			})
		}
	}
}

// TestSlotsOfLeavingInstanceStayReserved guards against endpoints that fall over because the other
// instances take over the slots of one that is leaving while its requests still run there.
func TestSlotsOfLeavingInstanceStayReserved(t *testing.T) {
	const (
		endpoints, slots = 6, 16
		serviceTime      = 3 * time.Second
		loadTenths       = 15
		stopAfter        = 12 * time.Second
		period           = 20 * time.Second
	)
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		f := &brittleFleet{scene: s, most: 2, slots: slots, serviceTime: serviceTime, startedAt: time.Now().Add(5 * time.Second)}
		for n := range endpoints {
			f.start(fmt.Sprintf("10.1.1.%d", n+1))
		}
		var instances []*cwscene.RoutedInstance
		for n := range 3 {
			instances = append(instances, s.AddInstance(fmt.Sprintf("10.1.0.%d", n+1), "north-a"))
		}
		s.AwaitReady()
		time.Sleep(5 * time.Second)
		var wg sync.WaitGroup
		interval := serviceTime * 10 / (endpoints * slots * loadTenths)
		n, fallsBefore := 0, 0
		for start := time.Now(); time.Since(start) < period; time.Sleep(interval) {
			if len(instances) == 3 && time.Since(start) >= stopAfter {
				instances[2].Stop()
				instances = instances[:2]
				f.mu.Lock()
				fallsBefore = f.falls
				f.mu.Unlock()
			}
			i := instances[n%len(instances)]
			n++
			wg.Go(func() { s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}) })
		}
		wg.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.isOver = true
		falls := f.falls - fallsBefore
		t.Logf("%d falls, %d before the stop", falls, fallsBefore)
		is.True(10*falls <= 20+endpoints) // the users' bound: 2 and a tenth of the number
	})
}
