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

// fleet is three instances, one in each region, their endpoints, and a network
// that loses messages between cut regions.
type fleet struct {
	now       time.Time
	published cwconfig.Version
	nodes     [3]*node
	cut       [3][3]bool
	alive     map[string]uint64
	leaving   map[string]time.Time
}

type node struct {
	region     string
	order      cwpolicy.ConfigTracker
	membership *cwpolicy.Membership
	station    *cwpolicy.PoolScheduler[int]
	rooms      []cwpolicy.DomainCapacity
	rng        *rand.Rand
	highest    cwconfig.Version
}

func region(i int) string { return fmt.Sprintf("r%d", i) }

func endpointName(i, n int) string { return fmt.Sprintf("10.%d.0.%d:90", i, n) }

const endpointsPerNode = 3

func newFleet() *fleet {
	f := &fleet{now: start, alive: make(map[string]uint64), leaving: make(map[string]time.Time)}
	for i := range f.nodes {
		f.nodes[i] = newNode(i, f.now)
		for n := range endpointsPerNode {
			f.alive[endpointName(i, n)] = 1
		}
	}
	return f
}

func newNode(i int, now time.Time) *node {
	n := &node{
		region: region(i), membership: cwpolicy.NewMembership(region(i)), station: cwpolicy.NewPoolScheduler[int](),
		rng: rand.New(rand.NewPCG(uint64(i), 9)),
	}
	for e := range endpointsPerNode {
		n.station.Add(cwpolicy.NewEndpoint(endpointName(i, e), now))
	}
	return n
}

func drawNode(t *rapid.T, label string) int { return rapid.IntRange(0, 2).Draw(t, label) }

func (f *fleet) pass(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "millis")) * time.Millisecond)
}

func (f *fleet) toggleCut(t *rapid.T) {
	a, b := drawNode(t, "a"), drawNode(t, "b")
	f.cut[a][b] = !f.cut[a][b]
	f.cut[b][a] = f.cut[a][b]
}

func (f *fleet) publish(t *rapid.T) {
	f.published = cwconfig.Version{Number: f.published.Number + 1, Hash: rapid.StringMatching("[a-c]").Draw(t, "hash")}
}

// readPlatform lets a replica answer that may be behind.
func (f *fleet) readPlatform(t *rapid.T) {
	behind := rapid.Uint64Range(0, 3).Draw(t, "behind")
	v := f.published
	v.Number -= min(behind, v.Number)
	n := f.nodes[drawNode(t, "reader")]
	n.order.Accept(v)
	n.order.Confirm(v, f.now)
}

// exchange is one exchange of news between two instances.
func (f *fleet) exchange(t *rapid.T) {
	a, b := drawNode(t, "a"), drawNode(t, "b")
	if a == b || f.cut[a][b] {
		return
	}
	from, to := f.nodes[a], f.nodes[b]
	to.order.Accept(from.order.Accepted())
	from.order.Accept(to.order.Accepted())
	member := cwpolicy.Member{PeerAddress: from.region, Region: from.region, Domain: from.region, Size: 1}
	member.Incarnation = 1
	to.membership.OnSelfReport(member, f.now)
	room := cwpolicy.DomainCapacity{PoolCapacity: from.station.Capacity(f.now), Domain: from.region, Region: from.region, ReportedAt: f.now, RoundTrip: 160 * time.Millisecond}
	for i := range to.rooms {
		if to.rooms[i].Domain == from.region {
			to.rooms[i] = room
			return
		}
	}
	to.rooms = append(to.rooms, room)
}

// report lets an endpoint tell its load, or its contact fail if it is down.
func (f *fleet) report(t *rapid.T) {
	i, e := drawNode(t, "node"), rapid.IntRange(0, endpointsPerNode-1).Draw(t, "endpoint")
	name := endpointName(i, e)
	p := f.nodes[i].station.Endpoint(name)
	if f.alive[name] == 0 {
		p.RecordContactFailure(f.now)
		return
	}
	_, leaving := f.leaving[name]
	p.RecordContact(f.alive[name], leaving, f.now)
	p.OnReport(cwpolicy.LoadReport{ReportedAt: f.now, RunningRequests: rapid.IntRange(0, 20).Draw(t, "running"), Slots: 16})
}

func (f *fleet) leave(t *rapid.T) {
	i, e := drawNode(t, "node"), rapid.IntRange(0, endpointsPerNode-1).Draw(t, "endpoint")
	name := endpointName(i, e)
	if _, already := f.leaving[name]; already || f.alive[name] == 0 {
		return
	}
	f.leaving[name] = f.now
	// The report that says so comes within the poll interval.
	f.nodes[i].station.Endpoint(name).RecordContact(f.alive[name], true, f.now)
}

func (f *fleet) crash(t *rapid.T) {
	i, e := drawNode(t, "node"), rapid.IntRange(0, endpointsPerNode-1).Draw(t, "endpoint")
	f.alive[endpointName(i, e)] = 0
}

func (f *fleet) restart(t *rapid.T) {
	i, e := drawNode(t, "node"), rapid.IntRange(0, endpointsPerNode-1).Draw(t, "endpoint")
	name := endpointName(i, e)
	f.alive[name] = uint64(f.now.UnixMilli())
	delete(f.leaving, name)
}

// request places a request and checks where it goes, hop by hop.
func (f *fleet) request(t *rapid.T) {
	at := drawNode(t, "at")
	home := rapid.SampledFrom([]string{"", "r0", "r1", "r2"}).Draw(t, "home")
	places := cwpolicy.NewAllowedRegions([]string{"r0", "r1"}, home)
	hop := cwpolicy.NewHopBudget(uint64(at + 1))
	for visits := 1; ; visits++ {
		if visits > 3 {
			t.Fatal("the request loops")
		}
		n := f.nodes[at]
		d := &cwpolicy.Requirements{PromptTokens: 100, FirstTokenTarget: time.Second, Weights: cwservice.Weights{Tail: 1}}
		a := &cwpolicy.IncomingRequest{Requirements: d, Deadline: f.now.Add(10 * time.Second), Region: n.region, AllowedRegions: places}
		if hop.ServeHopsLeft > 0 {
			a.Domains = n.rooms
		}
		decision := n.station.Place(a, f.now, n.rng)
		switch decision.Action {
		case cwpolicy.ActionDispatch:
			f.checkDispatch(t, n, places, decision.Choice)
			decision.Choice.Endpoint.OnEnd(decision.Choice.UncachedTokens, 0, f.now)
			return
		case cwpolicy.ActionForward:
			to := n.rooms[decision.Domain].Region
			if !places.Contains(to) {
				t.Fatalf("forwarded to %s outside %v", to, places)
			}
			next := int(to[1] - '0')
			var err error
			if hop, err = hop.Spend(cwpolicy.HopServe, uint64(next+1)); err != nil || f.cut[at][next] {
				return
			}
			at = next
		default:
			f.checkRefusal(t, n, places)
			return
		}
	}
}

func (f *fleet) checkDispatch(t *rapid.T, n *node, places cwpolicy.AllowedRegions, c cwpolicy.EndpointChoice) {
	if !places.Contains(n.region) {
		t.Fatalf("served in %s outside %v", n.region, places)
	}
	if c.Endpoint.IsLeaving {
		t.Fatalf("new work for leaving %s", c.Endpoint.Address)
	}
}

// checkRefusal: a region that has a usable endpoint serves its own callers,
// whatever else is cut off.
func (f *fleet) checkRefusal(t *rapid.T, n *node, places cwpolicy.AllowedRegions) {
	if !places.Contains(n.region) {
		return
	}
	for _, e := range n.station.Endpoints() {
		if e.IsUsable(f.now, cwpolicy.EndpointContactTimeout) && e.FreeSlots(e.EstimateLoad(f.now)) > 0 && n.station.Queue.Len() == 0 {
			t.Fatalf("refused in %s although %s is free", n.region, e.Address)
		}
	}
}

// check holds after every step: no configuration reverts.
func (f *fleet) check(t *rapid.T) {
	for _, n := range f.nodes {
		v := n.order.Accepted()
		if v.Compare(n.highest) < 0 {
			t.Fatalf("%s went back from %s to %s", n.region, n.highest, v)
		}
		n.highest = v
	}
}

func TestFleetUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		t.Repeat(map[string]func(*rapid.T){
			"pass": f.pass, "cut": f.toggleCut, "publish": f.publish, "read": f.readPlatform, "exchange": f.exchange,
			"report": f.report, "leave": f.leave, "crash": f.crash, "restart": f.restart, "request": f.request, "": f.check,
		})
	})
}
