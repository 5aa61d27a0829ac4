package cwapp_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// releaseSchedule is a random sequence of streams beside faults and a release.
type releaseSchedule struct {
	name string
	// fault is what happens between the nth stream and its take-up, and replace the next step of the
	// release.
	fault, replace func(f *versionedFleet, rng *rand.Rand, n int)
	// minGoneOn is the smallest share of the take-ups that must go on.
	minGoneOn float64
	// seeds is the number of seeds, from 1 on.
	seeds uint64
}

// TestStreamsKeepTheirVersionsThroughReleases guards against streams of two versions beside
// releases in series, kills and cuts of instances, and losses of the whole fleet: callers take their
// streams up anywhere, some of them twice, at instances that have just started too.
func TestStreamsKeepTheirVersionsThroughReleases(t *testing.T) {
	for _, sc := range []releaseSchedule{
		{"kills and cuts", (*versionedFleet).killOrCut, (*versionedFleet).replaceWorker, 0.5, 4},
		// Nobody remembers the streams that began before a loss.
		{"losses of the whole fleet", (*versionedFleet).loseFleet, (*versionedFleet).replaceWorker, 0.3, 2},
		{"losses of the whole fleet and of the version", (*versionedFleet).loseFleetAndVersion, (*versionedFleet).replaceWorker, 0.3, 2},
	} {
		sc.check(t)
	}
}

// TestStreamsKeepTheirVersionsThroughUnnoticedRestarts guards against streams of two versions after
// an endpoint has restarted with another version under its identifier, before its new entry arrives:
// no instance, or only some, met it while it was down, or those that did were lost.
func TestStreamsKeepTheirVersionsThroughUnnoticedRestarts(t *testing.T) {
	for _, sc := range []releaseSchedule{
		{"no request", (*versionedFleet).noFault, (*versionedFleet).restartWorker, 0.5, 1},
		{"some instances notice", (*versionedFleet).noFault, (*versionedFleet).restartWorkerUnderLoad, 0.5, 1},
		{"losses of the whole fleet", (*versionedFleet).loseFleet, (*versionedFleet).restartWorkerUnderLoad, 0.3, 2},
	} {
		sc.check(t)
	}
}

// check plays the schedule with several seeds and checks that no stream has events of two versions.
func (sc releaseSchedule) check(t *testing.T) {
	for seed := uint64(1); seed <= sc.seeds; seed++ {
		t.Run(fmt.Sprintf("%s, seed %d", sc.name, seed), func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				rng := rand.New(rand.NewPCG(seed, 0))
				f := newVersionedFleet(s, cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true}))
				const streams = 120
				mixed, takeUps, results := 0, 0, make(map[string]int)
				for n := range streams {
					if n%10 == 9 {
						sc.replace(f, rng, n)
					}
					b := f.begin(t, f.drawInstance(rng))
					sc.fault(f, rng, n)
					ids := []string{b.RequestID}
					for range 1 + n%2 {
						time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
						resp := f.takeUp(t, f.drawInstance(rng), b)
						ids = append(ids, resp.RequestID)
						results[fmt.Sprint(resp.Status, " ", reasonOf(resp))]++
						takeUps++
					}
					if len(f.versionsOf(ids...)) > 1 {
						mixed++
						t.Logf("two versions: %v", ids)
					}
				}
				t.Logf("%d streams of two versions; take-ups: %v", mixed, results)
				is.Equal(mixed, 0)
				is.True(float64(results["200 "]) >= sc.minGoneOn*float64(takeUps))
			})
		})
	}
}

// reasonOf returns the reason that a refusal names.
func reasonOf(resp cwscene.RoutedResponse) string {
	if resp.Status == http.StatusOK {
		return ""
	}
	return strings.TrimSpace(resp.Body)
}

func (f *versionedFleet) instances() []*cwscene.RoutedInstance {
	return append(slices.Clone(f.north), f.south...)
}

func (f *versionedFleet) drawInstance(rng *rand.Rand) *cwscene.RoutedInstance {
	instances := f.instances()
	return instances[rng.IntN(len(instances))]
}

func (f *versionedFleet) noFault(*rand.Rand, int) {}

// killOrCut kills an instance for good, or cuts one off from the others.
func (f *versionedFleet) killOrCut(_ *rand.Rand, n int) {
	switch {
	case n%40 == 20:
		if len(f.north) > 1 {
			f.Kill(f.north[0])
			f.north = f.north[1:]
		} else {
			f.Kill(f.south[0])
			f.south = f.south[1:]
		}
	case n%40 == 30:
		instances := f.instances()
		first := instances[len(instances)-1]
		for _, i := range instances[:len(instances)-1] {
			f.Net.SetPartitioned(first.IP, i.IP, n%80 == 30)
		}
	}
}

// fleetLossInterval is the number of streams from one loss of the whole fleet to the next.
const fleetLossInterval = 15

// loseFleet kills all instances at once. They are started again at once, and take requests as soon
// as the first of them is ready.
func (f *versionedFleet) loseFleet(rng *rand.Rand, n int) {
	if n%fleetLossInterval != fleetLossInterval-1 {
		return
	}
	for _, i := range f.instances() {
		f.Kill(i)
	}
	for k := range f.north {
		f.north[k] = f.restart(f.north[k], "north-a")
		f.south[k] = f.restart(f.south[k], "south-a")
	}
	f.Await(f.drawInstance(rng).IsReady)
}

func (f *versionedFleet) restart(i *cwscene.RoutedInstance, domain string) *cwscene.RoutedInstance {
	i.Stop()
	<-i.Done()
	f.Net.RestoreHost(i.IP)
	return f.AddInstance(i.IP, domain)
}

// replaceWorker replaces a worker by one of a version that it draws.
func (f *versionedFleet) replaceWorker(rng *rand.Rand, n int) {
	f.Store.Remove(cwstandin.WorkerKeyPrefix + f.drawWorker(rng).ID)
	region := rng.IntN(2)
	f.addWorker([]string{"north-a", "south-a"}[region], fmt.Sprintf("10.%d.1.%d", 1+region, 10+n), fmt.Sprint("v", 1+rng.IntN(3)))
}

func (f *versionedFleet) drawWorker(rng *rand.Rand) *cwstandin.Worker {
	workers := keysOf(f.workers)
	slices.SortFunc(workers, func(a, b *cwstandin.Worker) int { return strings.Compare(a.ID, b.ID) })
	return workers[rng.IntN(len(workers))]
}

const (
	// workerDownTime is how long a worker that restarts is down, and entryDelay the time after which
	// its entry names its new version.
	workerDownTime = 1500 * time.Millisecond
	entryDelay     = 2 * time.Second
)

// restartWorker restarts a worker with another version under its identifier and address.
func (f *versionedFleet) restartWorker(rng *rand.Rand, _ int) {
	f.restartWorkerBeside(rng, func() { time.Sleep(workerDownTime) })
}

// restartWorkerUnderLoad does that while instances send requests to the worker.
func (f *versionedFleet) restartWorkerUnderLoad(rng *rand.Rand, _ int) {
	const requests = 20
	f.restartWorkerBeside(rng, func() {
		for range requests {
			// Without shared parts any endpoint may get the request.
			f.Do(context.Background(), f.drawInstance(rng), cwscene.RoutedRequest{Path: "/r/x", Header: []string{"Clementinewell-Token-Count", "90,30"}})
			time.Sleep(workerDownTime / requests)
		}
	})
}

func (f *versionedFleet) restartWorkerBeside(rng *rand.Rand, whileDown func()) {
	old := f.drawWorker(rng)
	f.Net.KillHost(ipOf(old))
	whileDown()
	f.returnAt(old, map[string]string{"v1": "v2", "v2": "v1"}[f.workers[old]], entryDelay)
}

func ipOf(w *cwstandin.Worker) string {
	return strings.TrimPrefix(w.ID, "worker-")
}

func (f *versionedFleet) domainOf(w *cwstandin.Worker) string {
	return map[bool]string{true: "north-a", false: "south-a"}[strings.HasPrefix(ipOf(w), "10.1.")]
}

// restartAt restarts a worker with a version under its identifier and address. It is down for a time,
// and its entry names the version at once.
func (f *versionedFleet) restartAt(old *cwstandin.Worker, version string, downFor time.Duration) {
	f.Net.KillHost(ipOf(old))
	time.Sleep(downFor)
	f.returnAt(old, version, 0)
}

// returnAt starts a killed worker again with a version under its identifier and address; its entry
// names the version after a time.
func (f *versionedFleet) returnAt(old *cwstandin.Worker, version string, entryDelay time.Duration) {
	ip, domain := ipOf(old), f.domainOf(old)
	f.Net.RestoreHost(ip)
	w := cwstandin.NewWorker(old.ID)
	f.Serve(ip+":8010", w)
	f.workers[w] = version
	time.AfterFunc(entryDelay, func() { f.RegisterWorker(w.ID, domain, ip, map[string]any{"version": version}) })
}

// loseFleetAndVersion kills all instances when a release ends: only its version is left.
func (f *versionedFleet) loseFleetAndVersion(rng *rand.Rand, n int) {
	if n%fleetLossInterval == fleetLossInterval-1 {
		f.replaceAllWorkers(n)
	}
	f.loseFleet(rng, n)
}

// replaceAllWorkers replaces all workers by those of a version of its own.
func (f *versionedFleet) replaceAllWorkers(n int) {
	for w := range f.workers {
		f.Store.Remove(cwstandin.WorkerKeyPrefix + w.ID)
	}
	for k := range 4 {
		f.addWorker([]string{"north-a", "south-a"}[k%2], fmt.Sprintf("10.%d.2.%d", 1+k%2, 10+n+k), fmt.Sprint("v", n))
	}
}
