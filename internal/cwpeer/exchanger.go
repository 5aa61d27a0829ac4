package cwpeer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// Puller fetches a newer configuration from a peer.
type Puller interface {
	// Pull fetches the peer's configuration if it is newer than the one in force.
	Pull(ctx context.Context, address string, offered cwconfig.Version)
}

// Exchanger swaps news with other instances at steady intervals.
type Exchanger struct {
	*cwcommon.Common
	control *cwcontrol.Control
	client  *Client
	traffic Traffic
	puller  Puller

	mu sync.Mutex
	// inProgress are the peers with an exchange in progress.
	inProgress map[string]bool
	// seeds are asked while they are no usable members.
	seeds []string
}

// NewExchanger returns an exchanger that has not started.
func NewExchanger(common *cwcommon.Common, control *cwcontrol.Control, client *Client, traffic Traffic, puller Puller) *Exchanger {
	return &Exchanger{Common: common, control: control, client: client, traffic: traffic, puller: puller, inProgress: make(map[string]bool), seeds: cwsetting.SplitPeers(common.Settings.Peers)}
}

// SetSeeds changes the peers that are asked first.
func (x *Exchanger) SetSeeds(seeds []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.seeds = seeds
}

// Run exchanges until ctx ends: with the own domain each interval, with one
// instance of each followed domain each remote interval.
func (x *Exchanger) Run(ctx context.Context) error {
	started := time.Now()
	x.RunRound(ctx, true)
	x.control.Post(ctx, cwcontrol.InitialExchangeDone{})
	var lastRemote time.Time // the members that the first round told of are asked next
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jitter(x.Settings.ExchangeInterval)):
		}
		remote := time.Since(lastRemote) >= x.remoteInterval(time.Since(started))
		if remote {
			lastRemote = time.Now()
		}
		x.startExchanges(ctx, x.selectPeers(remote))
	}
}

// nonReaderIntervalFactor is how much rarer an instance asks other domains that is no reader of
// its own domain: the readers pass on what they hear.
const nonReaderIntervalFactor = 5

// startupPeriod is how long after its start each instance asks other domains itself: until
// then it may not know the readers, nor they the other domains.
const startupPeriod = 5 * time.Second

func (x *Exchanger) remoteInterval(running time.Duration) time.Duration {
	s := x.control.Snapshot()
	if running < startupPeriod || cwpolicy.IsReader(s.Self.PeerAddress, s.Self.Domain, s.Members, cwpolicy.PlatformReadersPerDomain, time.Now()) {
		return x.Settings.RemoteInterval
	}
	return nonReaderIntervalFactor * x.Settings.RemoteInterval
}

// RunRound exchanges once with every chosen peer and waits for all of them.
func (x *Exchanger) RunRound(ctx context.Context, remote bool) {
	x.startExchanges(ctx, x.selectPeers(remote)).Wait()
}

// Announce tells every usable instance at once, such as that this one leaves.
func (x *Exchanger) Announce(ctx context.Context) {
	now := time.Now()
	var all []string
	for _, m := range x.control.Snapshot().Members {
		if m.IsUsable(now, cwpolicy.MemberContactTimeout) {
			all = append(all, m.PeerAddress)
		}
	}
	x.startExchanges(ctx, all).Wait()
}

// startExchanges starts an exchange with each peer that has none in progress: a peer that
// does not answer must not hold up the others.
func (x *Exchanger) startExchanges(ctx context.Context, peers []string) *sync.WaitGroup {
	wg := &sync.WaitGroup{}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, address := range peers {
		if x.inProgress[address] {
			continue
		}
		x.inProgress[address] = true
		wg.Go(func() {
			x.exchange(ctx, address)
			x.mu.Lock()
			defer x.mu.Unlock()
			delete(x.inProgress, address)
		})
	}
	return wg
}

// selectPeers returns those to exchange with in a round. An exchange goes both ways, so
// one of the two need begin it. A silent member and a seed that is no usable member
// are only tried in remote rounds.
func (x *Exchanger) selectPeers(remote bool) []string {
	s := x.control.Snapshot()
	now := time.Now()
	var near []cwpolicy.Member
	usable := make(map[string]bool, len(s.Members)+1)
	usable[s.Self.PeerAddress] = true
	byDomain := make(map[string][]cwpolicy.Member)
	for _, m := range s.Members {
		lives := m.IsUsable(now, cwpolicy.MemberContactTimeout)
		usable[m.PeerAddress] = lives
		switch {
		case m.Domain == s.Self.Domain || m.Domain == "":
			quiet := now.Sub(m.LastContactAt) >= x.Settings.ExchangeInterval/2 || m.Incarnation == 0
			if quiet && (lives || remote) {
				near = append(near, m)
			}
		case remote:
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	chosen := leastRecentlyHeard(near, x.Settings.ExchangePeers)
	for _, domain := range selectRemoteDomains(s, byDomain, x.Settings.RemoteDomains) {
		chosen = append(chosen, pickMember(byDomain[domain], now).PeerAddress)
	}
	if !remote && len(s.Members) > 0 {
		return chosen
	}
	x.mu.Lock()
	seeds := x.seeds
	x.mu.Unlock()
	for _, seed := range seeds {
		if !usable[seed] && !slices.Contains(chosen, seed) {
			chosen = append(chosen, seed)
		}
	}
	return chosen
}

// leastRecentlyHeard returns the addresses of the members that were heard longest ago. In
// a large domain the exchanges of one round are bounded.
func leastRecentlyHeard(members []cwpolicy.Member, most int) []string {
	slices.SortFunc(members, func(a, b cwpolicy.Member) int { return a.LastContactAt.Compare(b.LastContactAt) })
	var list []string
	for _, m := range members[:min(len(members), most)] {
		list = append(list, m.PeerAddress)
	}
	return list
}

// pickMember draws a member at random, a usable one if there is any.
func pickMember(members []cwpolicy.Member, now time.Time) cwpolicy.Member {
	var usable []cwpolicy.Member
	for _, m := range members {
		if m.IsUsable(now, cwpolicy.MemberContactTimeout) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		usable = members
	}
	return usable[rand.IntN(len(usable))]
}

func (x *Exchanger) exchange(ctx context.Context, address string) {
	s := x.control.Snapshot()
	now := time.Now()
	region, domain := locationOf(s, address)
	news := buildNews(s, x.traffic, region, domain, now)
	answer, roundTrip, err := x.client.Exchange(ctx, address, news)
	if err != nil {
		x.Log.Debug("exchange failed", zap.String("peer", address), zap.Error(err))
		x.Metrics.Counter("exchange_failures").Inc(1)
		x.control.Post(ctx, cwcontrol.PeerFailed{Address: address})
		return
	}
	x.control.Post(ctx, eventOf(answer, roundTrip, time.Now()))
	offered := versionOf(answer.GetConfig())
	x.puller.Pull(ctx, address, offered)
	if answer.GetConfigConfirmed() {
		x.control.Post(ctx, cwcontrol.ConfigConfirmed{Version: offered})
	}
}

// locationOf returns the region and domain of a peer, empty if they aren't known yet.
func locationOf(s *cwcontrol.Snapshot, address string) (region, domain string) {
	for i := range s.Members {
		if s.Members[i].PeerAddress == address {
			return s.Members[i].Region, s.Members[i].Domain
		}
	}
	return "", ""
}

// jitter spreads an interval by a fifth, so that instances don't fall in step.
func jitter(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}
