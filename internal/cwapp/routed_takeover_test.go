package cwapp_test

import (
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

// directoryCaller is a caller of the region north that asks the directory for addresses and
// keeps them as long as it may.
type directoryCaller struct {
	s         *cwscene.RoutedScene
	rng       *rand.Rand
	addresses []string
	resolveAt time.Time
}

// send sends a request to one of the addresses, and to others if that one is not reachable. It
// returns the response, and the address to which the request was sent last.
func (c *directoryCaller) send(t *testing.T, instances map[string]*cwscene.RoutedInstance, order []string) (cwscene.RoutedResponse, string) {
	for {
		if len(c.addresses) == 0 || !time.Now().Before(c.resolveAt) {
			for _, ip := range order {
				if i := instances[ip]; i != nil && !isDone(i) {
					c.addresses, c.resolveAt = c.s.QueryDirectory(i, "north", "north-a"), time.Now().Add(2*time.Second)
					break
				}
			}
		}
		n := c.rng.IntN(len(c.addresses))
		ip, _, _ := strings.Cut(c.addresses[n], ":")
		resp := c.s.Do(t.Context(), instances[ip], cwscene.RoutedRequest{Path: "/r/x"})
		if resp.Err == nil || !strings.Contains(resp.Err.Error(), "connection refused") {
			return resp, ip
		}
		c.addresses = slices.Delete(c.addresses, n, n+1)
	}
}

func isDone(i *cwscene.RoutedInstance) bool {
	select {
	case <-i.Done():
		return true
	default:
		return false
	}
}

// TestRegionOfLeavingInstancesKeepsItsCallers guards against callers who are sent to another
// region while the instances of their own one are restarted one after the other: the first is
// not back yet when the last begins to leave, which still accepts connections.
func TestRegionOfLeavingInstancesKeepsItsCallers(t *testing.T) {
	for name, gap := range map[string]time.Duration{"1 s apart": time.Second, "3 s apart": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				const away = "10.2.0.1"
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": []string{"north"}}))
				worker := s.AddWorker("north-a", "10.1.1.1")
				north := []string{"10.1.0.1", "10.1.0.2"}
				instances := map[string]*cwscene.RoutedInstance{away: s.AddInstance(away, "south-a")}
				for _, ip := range north {
					instances[ip] = s.AddInstance(ip, "north-a")
				}
				s.AwaitReady()
				caller := &directoryCaller{s: s, rng: rand.New(rand.NewPCG(1, 1))}
				// One request in progress holds the first instance for a part of its grace.
				worker.QueueFaults(cwstandin.FaultHang)
				go s.Do(t.Context(), instances[north[0]], cwscene.RoutedRequest{Path: "/r/x"})
				time.Sleep(100 * time.Millisecond)
				start := time.Now()
				stopped, restarted, sent, sentAway := 0, 0, 0, 0
				for now := time.Duration(0); now < 15*time.Second; now = time.Since(start) {
					if stopped < len(north) && now >= time.Duration(stopped)*gap {
						instances[north[stopped]].Stop()
						stopped++
					}
					if restarted < stopped && isDone(instances[north[restarted]]) {
						instances[north[restarted]] = s.AddInstance(north[restarted], "north-a")
						restarted++
					}
					resp, ip := caller.send(t, instances, append(slices.Clone(north), away))
					is.NoErr(resp.Err)
					sent++
					if ip == away {
						sentAway++
					} else {
						is.Equal(resp.Status, http.StatusOK)
					}
					time.Sleep(50 * time.Millisecond)
				}
				is.Equal(restarted, len(north))
				is.Equal(sentAway, 0)
				is.True(sent > 250)
			})
		})
	}
}
