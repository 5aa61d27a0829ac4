package cwapp_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

const (
	// changeApplyTime is the time from the acknowledgement of a change until instances apply it,
	// and contactTime the time from the end of a disruption until that is required again.
	changeApplyTime = 4 * time.Second
	contactTime     = 6 * time.Second
	// heartbeatGap is the time from one heartbeat to the next of 13 endpoints that write one
	// each 1.2 s.
	heartbeatGap = 92 * time.Millisecond
	// regionDelay is the one-way delay between regions.
	regionDelay = 40 * time.Millisecond
	// sweepStep is the time from one time of the change to the next.
	sweepStep = 3 * time.Second
	// keepAliveTime is the time after which keep-alive closes a silent connection: the TCP user
	// timeout of instances.
	keepAliveTime = 5 * time.Second
	// slowStoreDelay makes each answer of the store 60 times as slow as its usual 5 ms.
	slowStoreDelay = 150 * time.Millisecond
)

// lateScene is a fleet of seven instances in three regions, with the store in the region of the
// first three. Endpoints write heartbeats all the time.
type lateScene struct {
	*cwscene.RoutedScene
	// hobart are the three instances beside the store, others the four in two other regions.
	hobart, others []*cwscene.RoutedInstance

	stopHeartbeats chan struct{}
}

// newLateScene starts the fleet and waits until it is ready.
func newLateScene(t *testing.T) *lateScene {
	s := &lateScene{RoutedScene: cwscene.NewRoutedScene(t), stopHeartbeats: make(chan struct{})}
	s.RegionByDomain = map[string]string{"hobart-a": "tas-south", "launceston-a": "tas-north", "burnie-a": "tas-west"}
	s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
	ips := map[string][]string{
		"hobart-a":     {"10.1.0.1", "10.1.0.2", "10.1.0.3", cwscene.StoreIP},
		"launceston-a": {"10.2.0.1", "10.2.0.2"},
		"burnie-a":     {"10.3.0.1", "10.3.0.2"},
	}
	for domain, list := range ips {
		for otherDomain, otherList := range ips {
			for _, a := range list {
				for _, b := range otherList {
					if domain < otherDomain {
						s.Net.SetDelay(a, b, regionDelay)
					}
				}
			}
		}
	}
	for _, ip := range ips["hobart-a"][:3] {
		s.hobart = append(s.hobart, s.AddInstance(ip, "hobart-a"))
	}
	for _, domain := range []string{"launceston-a", "burnie-a"} {
		for _, ip := range ips[domain] {
			s.others = append(s.others, s.AddInstance(ip, domain))
		}
	}
	s.AwaitReady()
	go s.writeHeartbeats()
	return s
}

func (s *lateScene) writeHeartbeats() {
	for sequence := 1; ; sequence++ {
		select {
		case <-s.stopHeartbeats:
			return
		case <-time.After(heartbeatGap):
			s.RegisterWorker(fmt.Sprintf("w-%d", sequence%13), "hobart-a", "10.1.1.1", map[string]any{"sequence": sequence})
		}
	}
}

func (s *lateScene) close() {
	close(s.stopHeartbeats)
	s.Close()
}

// instances returns all instances, those beside the store first.
func (s *lateScene) instances() []*cwscene.RoutedInstance {
	return append(append([]*cwscene.RoutedInstance(nil), s.hobart...), s.others...)
}

// isAt returns a predicate that holds for the addresses of the instances.
func isAt(instances ...*cwscene.RoutedInstance) func(remote string) bool {
	return func(remote string) bool {
		for _, i := range instances {
			if strings.HasPrefix(remote, i.IP+":") {
				return true
			}
		}
		return false
	}
}

// lateScenario is a disruption of a fleet.
type lateScenario struct {
	name     string
	duration time.Duration
	// begin begins the disruption, and end ends it.
	begin, end func(s *lateScene)
	// isBound is set if the disruption excuses no instance.
	isBound bool
}

// partitionStore cuts the first instances off from the store, or connects them again.
func partitionStore(instances func(s *lateScene) []*cwscene.RoutedInstance, isCut bool) func(s *lateScene) {
	return func(s *lateScene) {
		for _, i := range instances(s) {
			s.Net.SetPartitioned(i.IP, cwscene.StoreIP, isCut)
		}
	}
}

func firstAndThird(s *lateScene) []*cwscene.RoutedInstance {
	return []*cwscene.RoutedInstance{s.hobart[0], s.hobart[2]}
}

func hobartOnly(s *lateScene) []*cwscene.RoutedInstance { return s.hobart }

// setStoreDelay sets the one-way delay between the store and all instances, beyond that between
// regions.
func setStoreDelay(delay time.Duration) func(s *lateScene) {
	return func(s *lateScene) {
		for _, i := range s.hobart {
			s.Net.SetDelay(i.IP, cwscene.StoreIP, delay)
		}
		for _, i := range s.others {
			s.Net.SetDelay(i.IP, cwscene.StoreIP, delay+regionDelay)
		}
	}
}

func stallStoreConns(instances func(s *lateScene) []*cwscene.RoutedInstance) func(s *lateScene) {
	return func(s *lateScene) {
		for _, i := range instances(s) {
			s.Net.StallOpenConns(i.IP, cwscene.StoreIP)
		}
	}
}

// stallPeerConns makes all open connections between instances silent.
func stallPeerConns(s *lateScene) {
	for n, a := range s.instances() {
		for _, b := range s.instances()[n+1:] {
			s.Net.StallOpenConns(a.IP, b.IP)
		}
	}
}

// stallPeerConnsUntilKeepAlive makes all open connections between instances silent, until keep-alive
// closes them.
func stallPeerConnsUntilKeepAlive(s *lateScene) {
	stallPeerConns(s)
	time.AfterFunc(keepAliveTime, s.Net.CloseStalledConns)
}

// stallAllConns makes all open connections between instances and to the store silent.
func stallAllConns(s *lateScene) {
	stallStoreConns((*lateScene).instances)(s)
	stallPeerConns(s)
}

func refuseAt(instances func(s *lateScene) []*cwscene.RoutedInstance) func(s *lateScene) {
	return func(s *lateScene) { s.Store.RefuseIf(isAt(instances(s)...)) }
}

func hangAt(instances func(s *lateScene) []*cwscene.RoutedInstance) func(s *lateScene) {
	return func(s *lateScene) { s.Store.HangIf(isAt(instances(s)...)) }
}

func silence(n int, acceptsConns bool) func(s *lateScene) {
	return func(s *lateScene) { s.Net.SilenceHost(s.hobart[n].IP, acceptsConns) }
}

func endSilence(n int) func(s *lateScene) {
	return func(s *lateScene) { s.Net.EndSilence(s.hobart[n].IP) }
}

// both returns a function that calls both.
func both(a, b func(s *lateScene)) func(s *lateScene) {
	return func(s *lateScene) {
		a(s)
		b(s)
	}
}

// restart restarts the first and the third instance.
func restart(s *lateScene) {
	for _, n := range []int{0, 2} {
		ip := s.hobart[n].IP
		s.Kill(s.hobart[n])
		s.Net.RestoreHost(ip)
		s.hobart[n] = s.AddInstance(ip, "hobart-a")
	}
}

// publishOther publishes a change that the change under test replaces.
func publishOther(s *lateScene) {
	s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil), cwscene.NewRoute("other", "unsafe", nil))
}

func nothing(*lateScene) {}

func answerAll(s *lateScene) { s.Store.HangIf(nil) }

func serveAll(s *lateScene) { s.Store.RefuseIf(nil) }

func lateScenarios() []lateScenario {
	return []lateScenario{
		{"no disruption", 0, nothing, nothing, true},
		{"another change before", 0, publishOther, nothing, true},
		{"two readers restarted", 0, restart, nothing, false},
		{"two readers restarted while the store refuses them", 0, both(refuseAt(firstAndThird), restart), nothing, false},
		{"two readers cut off from the store for 50 ms", 50 * time.Millisecond, partitionStore(firstAndThird, true), partitionStore(firstAndThird, false), false},
		{"two readers cut off from the store for 2 s", 2 * time.Second, partitionStore(firstAndThird, true), partitionStore(firstAndThird, false), false},
		{"domain cut off from the store for 2 s", 2 * time.Second, partitionStore(hobartOnly, true), partitionStore(hobartOnly, false), false},
		{"all cut off from the store for 2 s", 2 * time.Second, partitionStore((*lateScene).instances, true), partitionStore((*lateScene).instances, false), false},
		{"all cut off from the store for 4.5 s", 4500 * time.Millisecond, partitionStore((*lateScene).instances, true), partitionStore((*lateScene).instances, false), false},
		{"connections of two readers to the store silent for good", 0, stallStoreConns(firstAndThird), nothing, false},
		{"connections of all to the store silent for good", 0, stallStoreConns((*lateScene).instances), nothing, false},
		{"all connections silent for good", 0, stallAllConns, nothing, false},
		{"store refuses two readers and connections between instances silent for good", 0, both(refuseAt(firstAndThird), stallPeerConns), nothing, false},
		{"store refuses the domain and connections between instances silent for good", 0, both(refuseAt(hobartOnly), stallPeerConns), nothing, false},
		{"store does not answer two readers and connections between instances silent for good", 0, both(hangAt(firstAndThird), stallPeerConns), nothing, false},
		{"answers of the store lost and connections between instances silent until keep-alive", 1500 * time.Millisecond, func(s *lateScene) {
			stallPeerConnsUntilKeepAlive(s)
			s.Store.SetHanging(true)
		}, answerAll, false},
		{"all answers of the store lost", 4500 * time.Millisecond, func(s *lateScene) { s.Store.SetHanging(true) }, answerAll, false},
		{"a third of the answers of the store lost", 4500 * time.Millisecond, func(s *lateScene) {
			s.Store.HangIf(func(string) bool { return rand.Float64() < 0.35 })
		}, answerAll, false},
		{"slow store", 4500 * time.Millisecond, setStoreDelay(slowStoreDelay), setStoreDelay(0), true},
		{"very slow store", 4500 * time.Millisecond, setStoreDelay(time.Second), setStoreDelay(0), false},
		{"compaction", 0, func(s *lateScene) { s.Store.Compact() }, nothing, true},
		{"store refuses two readers", 9 * time.Second, refuseAt(firstAndThird), serveAll, true},
		{"store refuses the domain", 9 * time.Second, refuseAt(hobartOnly), serveAll, true},
		{"store does not answer two readers", 9 * time.Second, hangAt(firstAndThird), answerAll, true},
		{"store does not answer the domain", 9 * time.Second, hangAt(hobartOnly), answerAll, true},
		{"the other reader is silent", 4 * time.Second, silence(1, false), endSilence(1), false},
		{"the other reader is frozen", 4 * time.Second, silence(1, true), endSilence(1), false},
		{"store does not answer two readers, the other one is frozen", 4 * time.Second, both(hangAt(firstAndThird), silence(1, true)), both(answerAll, endSilence(1)), false},
		{"store refuses two readers, the other one is frozen", 4 * time.Second, both(refuseAt(firstAndThird), silence(1, true)), both(serveAll, endSilence(1)), false},
		{"connections of two readers to the store silent for good, the other one is frozen", 4 * time.Second, both(stallStoreConns(firstAndThird), silence(1, true)), endSilence(1), false},
	}
}

// TestConfigIsInForceInTime guards against instances that are late with a change after, or beside,
// a disruption of the store, of their connections or of the peers that offer them the change.
func TestConfigIsInForceInTime(t *testing.T) {
	for _, c := range lateScenarios() {
		t.Run(c.name, func(t *testing.T) {
			longest := make([]time.Duration, 7)
			for changeAfter := -c.duration - 100*time.Millisecond; changeAfter <= 9*time.Second; changeAfter += sweepStep {
				synctest.Test(t, func(t *testing.T) { measureLateness(t, c, changeAfter, longest) })
			}
			t.Logf("longest time to apply a change, hobart first: %v", longest)
		})
	}
}

// measureLateness publishes a change at the time after the end of the disruption and checks when
// each instance applies it. It raises longest to the times.
func measureLateness(t *testing.T, c lateScenario, changeAfter time.Duration, longest []time.Duration) {
	t.Helper()
	s := newLateScene(t)
	defer s.close()
	time.Sleep(10*time.Second + rand.N(time.Second))
	c.begin(s)
	end := time.Now().Add(c.duration)
	if c.duration > 0 {
		time.AfterFunc(c.duration, func() { c.end(s) })
	}
	time.Sleep(time.Until(end.Add(changeAfter)))
	s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil), cwscene.NewRoute("new", "unsafe", nil))
	acknowledgedAt, bound := time.Now(), changeApplyTime
	if !c.isBound {
		bound = max(bound, time.Until(end.Add(contactTime)))
	}
	s.awaitInForce(t, acknowledgedAt, bound, fmt.Sprintf("change %v after the disruption", changeAfter), longest)
}

// awaitInForce waits until all instances have the latest configuration in force.
func (s *lateScene) awaitInForce(t *testing.T, acknowledgedAt time.Time, bound time.Duration, when string, longest []time.Duration) {
	t.Helper()
	isInForce := make([]bool, len(s.instances()))
	for remaining := len(isInForce); remaining > 0; time.Sleep(10 * time.Millisecond) {
		took := time.Since(acknowledgedAt)
		for n, i := range s.instances() {
			config := i.State.View().Config
			if isInForce[n] || config == nil || config.Version != uint64(s.ConfigVersion()) {
				continue
			}
			isInForce[n] = true
			remaining--
			longest[n] = max(longest[n], took)
			if took > bound {
				t.Errorf("%s: %s applied it after %v instead of %v", when, i.IP, took, bound)
			}
		}
		is.New(t).True(took < time.Minute)
	}
}
