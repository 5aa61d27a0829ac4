package cwapp_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// refusingNet refuses connections to endpoints while isRefusing is set.
type refusingNet struct {
	cwnet.Net
	isRefusing *atomic.Bool
}

func (n refusingNet) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if n.isRefusing.Load() && strings.Contains(address, ".1.") && strings.HasSuffix(address, ":8010") {
		return nil, errors.New("connection refused")
	}
	return n.Net.DialContext(ctx, network, address)
}

const (
	cutContact = 6 * time.Second // the time from which the rule on cut-off instances holds
	cutTime    = 12 * time.Second
	// cutReturnTime is the time after a cut in which nothing of it may be left.
	cutReturnTime = 2 * time.Second
	cutLoadPause  = 40 * time.Millisecond
)

// cutCount counts requests at the instances of a group within a part of the scene.
type cutCount struct{ all, served int }

// TestCutOffInstancesServeTheirCallers guards against callers who are refused because their instance
// reaches no endpoint, and against refusals at instances with all their links, which believed what
// the others failed to reach.
func TestCutOffInstancesServeTheirCallers(t *testing.T) {
	for _, form := range []string{"silent", "reset", "refused", "new connections refused"} {
		for _, cut := range [][2]int{{1, 1}, {2, 2}, {3, 0}, {2, 0}} {
			for _, kind := range []string{"unsafe", "streaming"} {
				t.Run(fmt.Sprintf("%s, %d and %d of 3 instances, %s", form, cut[0], cut[1], kind), func(t *testing.T) {
					inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
						var homes []string
						if cut[1] == 0 && cut[0] < 3 {
							homes = []string{"north"} // no other region may help
						}
						during, after := playCut(t, s, form, cut, kind, homes)
						t.Logf("during: cut off %v, others %v; after: %v", during[true], during[false], after)
						atCut, atOthers := during[true], during[false]
						is.Equal(atOthers.served, atOthers.all)
						is.True(atCut.all-atCut.served <= 10+(atCut.all+atOthers.all)/50)
						is.Equal(after.served, after.all)
					})
				})
			}
		}
	}
}

// playCut cuts the first instances of each region off from all endpoints, and returns the first
// attempts from cutContact to the end of the cut, by whether their instance is cut off, and those
// of all instances from cutReturnTime after it.
func playCut(t *testing.T, s *cwscene.RoutedScene, form string, cut [2]int, kind string, homes []string) (map[bool]*cutCount, *cutCount) {
	var isRefusing [6]atomic.Bool
	isCutOff := func(n int) bool { return n%3 < cut[n/3] }
	count := 0
	s.WrapNet = func(n cwnet.Net) cwnet.Net {
		count++
		return refusingNet{n, &isRefusing[count-1]}
	}
	services, header := []map[string]any(nil), []string(nil)
	if kind == "streaming" {
		services, header = cwscene.NewEngineService(1.5), newPromptHeader()
	}
	s.Publish(services, cwscene.NewRoute("r", kind, cwscene.RoutedRoute{"resumable": true, "home-regions": homes}))
	var endpoints []string
	var instances []*cwscene.RoutedInstance
	for region, domain := range []string{"north-a", "south-a"} {
		for n := range 4 {
			ip := fmt.Sprintf("10.%d.1.%d", region+1, n+1)
			endpoints = append(endpoints, ip)
			s.AddWorker(domain, ip).SetServiceTime(30 * time.Millisecond)
		}
		for n := range 3 {
			instances = append(instances, s.AddInstance(fmt.Sprintf("10.%d.0.%d", region+1, n+1), domain))
		}
	}
	s.AwaitReady()
	time.Sleep(10 * time.Second)
	setCut := func(isCut bool) {
		for n, i := range instances {
			if !isCutOff(n) {
				continue
			}
			isRefusing[n].Store(isCut && form != "silent")
			switch {
			case form == "silent":
				for _, ip := range endpoints {
					s.Net.SetPartitioned(i.IP, ip, isCut)
				}
			case form == "reset" && isCut:
				s.Net.ResetConns(i.IP)
			case form == "refused" && isCut:
				for _, ip := range endpoints {
					s.Net.StallOpenConns(i.IP, ip)
				}
			}
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	during, after := map[bool]*cutCount{true: {}, false: {}}, &cutCount{}
	cutAt := time.Now().Add(time.Second)
	wg.Go(func() {
		time.Sleep(time.Until(cutAt))
		setCut(true)
		time.Sleep(cutTime)
		setCut(false)
	})
	for n := 0; time.Now().Before(cutAt.Add(cutTime + 5*time.Second)); n++ {
		i, sentAt := n%len(instances), time.Since(cutAt)
		wg.Go(func() {
			r := s.Do(t.Context(), instances[i], cwscene.RoutedRequest{Path: "/r/x", Header: header})
			mu.Lock()
			defer mu.Unlock()
			c := &cutCount{}
			switch {
			case sentAt >= cutContact && sentAt < cutTime:
				c = during[isCutOff(i)]
			case sentAt >= cutTime+cutReturnTime:
				c = after
			}
			c.all++
			if r.Err == nil && r.Status == http.StatusOK {
				c.served++
			}
		})
		time.Sleep(cutLoadPause)
	}
	wg.Wait()
	return during, after
}
