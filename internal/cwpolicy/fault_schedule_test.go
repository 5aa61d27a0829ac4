package cwpolicy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// cluster simulates three instances, one in each region, their endpoints, and a
// network that drops all messages between partitioned regions.
type cluster struct {
	now           time.Time
	published     cwconfig.Version
	instances     [3]*instance
	isPartitioned [3][3]bool
	// incarnations are those of the endpoints by address, 0 for a crashed one.
	incarnations map[string]uint64
	leavingSince map[string]time.Time
}

type instance struct {
	region         string
	configTracker  cwpolicy.ConfigTracker
	membership     *cwpolicy.Membership
	scheduler      *cwpolicy.PoolScheduler[int]
	capacities     []cwpolicy.DomainCapacity
	rng            *rand.Rand
	highestVersion cwconfig.Version
}

func regionName(i int) string { return fmt.Sprintf("r%d", i) }

func endpointAddress(i, n int) string { return fmt.Sprintf("10.%d.0.%d:90", i, n) }

const endpointsPerInstance = 3

func newCluster() *cluster {
	c := &cluster{now: start, incarnations: make(map[string]uint64), leavingSince: make(map[string]time.Time)}
	for i := range c.instances {
		c.instances[i] = newInstance(i, c.now)
		for n := range endpointsPerInstance {
			c.incarnations[endpointAddress(i, n)] = 1
		}
	}
	return c
}

func newInstance(i int, now time.Time) *instance {
	inst := &instance{
		region: regionName(i), membership: cwpolicy.NewMembership(regionName(i)), scheduler: cwpolicy.NewPoolScheduler[int](),
		rng: rand.New(rand.NewPCG(uint64(i), 9)),
	}
	for e := range endpointsPerInstance {
		inst.scheduler.Add(cwpolicy.NewEndpoint(endpointAddress(i, e), now))
	}
	return inst
}

func drawInstance(t *rapid.T, label string) int { return rapid.IntRange(0, 2).Draw(t, label) }

func (c *cluster) passTime(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "millis")) * time.Millisecond)
}

func (c *cluster) togglePartition(t *rapid.T) {
	a, b := drawInstance(t, "a"), drawInstance(t, "b")
	c.isPartitioned[a][b] = !c.isPartitioned[a][b]
	c.isPartitioned[b][a] = c.isPartitioned[a][b]
}

func (c *cluster) publish(t *rapid.T) {
	c.published = cwconfig.Version{Number: c.published.Number + 1, Hash: rapid.StringMatching("[a-c]").Draw(t, "hash")}
}

// readPlatform reads the configuration from a platform replica that may be behind.
func (c *cluster) readPlatform(t *rapid.T) {
	behind := rapid.Uint64Range(0, 3).Draw(t, "behind")
	version := c.published
	version.Number -= min(behind, version.Number)
	reader := c.instances[drawInstance(t, "reader")]
	reader.configTracker.Accept(version)
	reader.configTracker.Confirm(version, c.now)
}

// exchange exchanges the configuration, membership and capacity between two
// instances.
func (c *cluster) exchange(t *rapid.T) {
	a, b := drawInstance(t, "a"), drawInstance(t, "b")
	if a == b || c.isPartitioned[a][b] {
		return
	}
	from, to := c.instances[a], c.instances[b]
	to.configTracker.Accept(from.configTracker.Accepted())
	from.configTracker.Accept(to.configTracker.Accepted())
	member := cwpolicy.Member{PeerAddress: from.region, Region: from.region, Domain: from.region, Size: 1}
	member.Incarnation = 1
	to.membership.OnSelfReport(member, c.now)
	capacity := cwpolicy.DomainCapacity{PoolCapacity: from.scheduler.Capacity(c.now), Domain: from.region, Region: from.region, ReportedAt: c.now, RoundTrip: 160 * time.Millisecond}
	for i := range to.capacities {
		if to.capacities[i].Domain == from.region {
			to.capacities[i] = capacity
			return
		}
	}
	to.capacities = append(to.capacities, capacity)
}

// report delivers a load report of an endpoint, or a contact failure if it has crashed.
func (c *cluster) report(t *rapid.T) {
	i, e := drawInstance(t, "instance"), rapid.IntRange(0, endpointsPerInstance-1).Draw(t, "endpoint")
	address := endpointAddress(i, e)
	endpoint := c.instances[i].scheduler.Endpoint(address)
	if c.incarnations[address] == 0 {
		endpoint.RecordContactFailure(c.now)
		return
	}
	_, isLeaving := c.leavingSince[address]
	endpoint.RecordContact(c.incarnations[address], isLeaving, c.now)
	endpoint.OnReport(cwpolicy.LoadReport{ReportedAt: c.now, RunningRequests: rapid.IntRange(0, 20).Draw(t, "running"), Slots: 16})
}

func (c *cluster) leave(t *rapid.T) {
	i, e := drawInstance(t, "instance"), rapid.IntRange(0, endpointsPerInstance-1).Draw(t, "endpoint")
	address := endpointAddress(i, e)
	if _, isLeaving := c.leavingSince[address]; isLeaving || c.incarnations[address] == 0 {
		return
	}
	c.leavingSince[address] = c.now
	// The instance receives this report within a poll interval.
	c.instances[i].scheduler.Endpoint(address).RecordContact(c.incarnations[address], true, c.now)
}

func (c *cluster) crash(t *rapid.T) {
	i, e := drawInstance(t, "instance"), rapid.IntRange(0, endpointsPerInstance-1).Draw(t, "endpoint")
	c.incarnations[endpointAddress(i, e)] = 0
}

func (c *cluster) restart(t *rapid.T) {
	i, e := drawInstance(t, "instance"), rapid.IntRange(0, endpointsPerInstance-1).Draw(t, "endpoint")
	address := endpointAddress(i, e)
	c.incarnations[address] = uint64(c.now.UnixMilli())
	delete(c.leavingSince, address)
}

// request places a request and checks the decision of each instance that it visits.
func (c *cluster) request(t *rapid.T) {
	at := drawInstance(t, "at")
	home := rapid.SampledFrom([]string{"", "r0", "r1", "r2"}).Draw(t, "home")
	regions := cwpolicy.NewAllowedRegions([]string{"r0", "r1"}, home)
	hop := cwpolicy.NewHopBudget(uint64(at + 1))
	for visit := 1; ; visit++ {
		if visit > 3 {
			t.Fatal("the request visited more than 3 instances")
		}
		current := c.instances[at]
		requirements := &cwpolicy.Requirements{PromptTokens: 100, FirstTokenTarget: time.Second, Weights: cwservice.Weights{Tail: 1}}
		incoming := &cwpolicy.IncomingRequest{Requirements: requirements, Deadline: c.now.Add(10 * time.Second), Region: current.region, AllowedRegions: regions}
		if hop.ServeHopsLeft > 0 {
			incoming.Domains = current.capacities
		}
		decision := current.scheduler.Place(incoming, c.now, current.rng)
		switch decision.Action {
		case cwpolicy.ActionDispatch:
			c.checkDispatch(t, current, regions, decision.Choice)
			decision.Choice.Endpoint.OnEnd(decision.Choice.UncachedTokens, 0, c.now)
			return
		case cwpolicy.ActionForward:
			to := current.capacities[decision.Domain].Region
			if !regions.Contains(to) {
				t.Fatalf("forwarded to %s outside %v", to, regions)
			}
			next := int(to[1] - '0')
			var err error
			if hop, err = hop.Spend(cwpolicy.HopServe, uint64(next+1)); err != nil || c.isPartitioned[at][next] {
				return
			}
			at = next
		default:
			c.checkRefusal(t, current, regions)
			return
		}
	}
}

func (c *cluster) checkDispatch(t *rapid.T, inst *instance, regions cwpolicy.AllowedRegions, choice cwpolicy.EndpointChoice) {
	if !regions.Contains(inst.region) {
		t.Fatalf("served in %s outside %v", inst.region, regions)
	}
	if choice.Endpoint.IsLeaving {
		t.Fatalf("request dispatched to leaving endpoint %s", choice.Endpoint.Address)
	}
}

// checkRefusal is called for a request that the instance neither dispatches nor
// forwards. It checks that, if its region is allowed, no usable endpoint there has a
// free slot while the queue is empty, even if the region is partitioned from the others.
func (c *cluster) checkRefusal(t *rapid.T, inst *instance, regions cwpolicy.AllowedRegions) {
	if !regions.Contains(inst.region) {
		return
	}
	for _, e := range inst.scheduler.Endpoints() {
		if e.IsUsable(c.now, cwpolicy.EndpointContactTimeout) && e.FreeSlots(e.EstimateLoad(c.now)) > 0 && inst.scheduler.Queue.Len() == 0 {
			t.Fatalf("refused in %s although endpoint %s has a free slot", inst.region, e.Address)
		}
	}
}

// check is called after every step. It checks that the accepted configuration never
// goes back to an older version.
func (c *cluster) check(t *rapid.T) {
	for _, inst := range c.instances {
		version := inst.configTracker.Accepted()
		if version.Compare(inst.highestVersion) < 0 {
			t.Fatalf("instance in %s went back from configuration %s to %s", inst.region, inst.highestVersion, version)
		}
		inst.highestVersion = version
	}
}

// TestClusterUnderAnySchedule runs random schedules of faults, reports and requests.
// It guards against configurations that go back to an older version, requests that
// loop, leave their allowed regions or go to leaving endpoints, and refusals while a
// slot is free.
func TestClusterUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster()
		t.Repeat(map[string]func(*rapid.T){
			"passTime": c.passTime, "cut": c.togglePartition, "publish": c.publish, "readPlatform": c.readPlatform, "exchange": c.exchange,
			"report": c.report, "leave": c.leave, "crash": c.crash, "restart": c.restart, "request": c.request, "": c.check,
		})
	})
}
