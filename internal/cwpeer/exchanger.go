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

// Puller fetches newer configuration or published state from peers.
type Puller interface {
	// Pull fetches from the peer at the address if the offered version is newer than the
	// one in force. The number of a version of published state is the store's revision.
	Pull(ctx context.Context, address string, offered cwconfig.Version)
}

// Exchanger periodically exchanges state with other instances.
type Exchanger struct {
	*cwcommon.Common
	control *cwcontrol.Control
	client  *Client
	traffic Traffic
	puller  Puller
	// Crashes holds the evidence about requests that end endpoints; nil if there is none.
	Crashes CrashLedger
	// Quotas holds the spending on client accounts; nil if there are no quotas.
	Quotas QuotaLedger

	mu sync.Mutex
	// inProgress holds the addresses of the peers with an exchange in progress.
	inProgress map[string]bool
	// seeds are addresses of peers to contact while they are not usable members.
	seeds []string
}

// NewExchanger returns an exchanger; Run starts it.
func NewExchanger(common *cwcommon.Common, control *cwcontrol.Control, client *Client, traffic Traffic, puller Puller) *Exchanger {
	return &Exchanger{Common: common, control: control, client: client, traffic: traffic, puller: puller, inProgress: make(map[string]bool), seeds: cwsetting.SplitPeers(common.Settings.Peers)}
}

// SetSeeds replaces the addresses of the peers to contact while they are not usable
// members.
func (x *Exchanger) SetSeeds(seeds []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.seeds = seeds
}

// Run exchanges until ctx ends: with instances of this instance's domain at each exchange
// interval, and with one instance of each selected remote domain at each remote
// interval.
func (x *Exchanger) Run(ctx context.Context) error {
	started := time.Now()
	x.RunRound(ctx, true)
	x.control.Post(ctx, cwcontrol.InitialExchangeDone{})
	// Zero makes the second round remote too, so that it exchanges with the members that
	// the first one found.
	var lastRemote time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jitter(x.Settings.ExchangeInterval)):
		}
		isRemote := time.Since(lastRemote) >= x.remoteInterval(time.Since(started))
		if isRemote {
			lastRemote = time.Now()
		}
		x.startExchanges(ctx, x.selectPeers(isRemote))
	}
}

// nonReaderIntervalFactor is how many times longer the remote interval is for an
// instance that is not a platform reader of its domain. The readers relay the state
// of other domains to it.
const nonReaderIntervalFactor = 5

// startupPeriod is the time after its start during which an instance exchanges with other
// domains as often as a platform reader. Its list of members may still lack the readers,
// and theirs the other domains.
const startupPeriod = 5 * time.Second

func (x *Exchanger) remoteInterval(uptime time.Duration) time.Duration {
	s := x.control.Snapshot()
	if uptime < startupPeriod || cwpolicy.IsReader(s.Self.PeerAddress, s.Self.Domain, s.Members, cwpolicy.PlatformReadersPerDomain, time.Now()) {
		return x.Settings.RemoteInterval
	}
	return nonReaderIntervalFactor * x.Settings.RemoteInterval
}

// RunRound exchanges once with each selected peer and waits until these exchanges end. It
// skips peers with an exchange in progress. A remote round includes other domains.
func (x *Exchanger) RunRound(ctx context.Context, isRemote bool) {
	x.startExchanges(ctx, x.selectPeers(isRemote)).Wait()
}

// Announce exchanges with all usable members at once and waits until the exchanges end.
// It is called when a change, such as this instance leaving, must reach them without
// delay.
func (x *Exchanger) Announce(ctx context.Context) {
	now := time.Now()
	var addresses []string
	for _, m := range x.control.Snapshot().Members {
		if m.IsUsable(now, cwpolicy.MemberContactTimeout) {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	x.startExchanges(ctx, addresses).Wait()
}

// startExchanges starts an exchange with each peer that has none in progress. The
// exchanges run concurrently, so that an unresponsive peer does not delay the others.
// The returned group waits for the started exchanges.
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
			x.Guard("exchange", func() { x.exchange(ctx, address) })
			x.mu.Lock()
			defer x.mu.Unlock()
			delete(x.inProgress, address)
		})
	}
	return wg
}

// selectPeers returns the addresses of the peers to exchange with in a round. It omits
// members of this domain with a recent contact: an exchange transfers state in both
// directions, so only one of two instances needs to start it. Unusable members are tried
// only in remote rounds, and seeds that are not usable members only in remote rounds or
// while there are no members.
func (x *Exchanger) selectPeers(isRemote bool) []string {
	s := x.control.Snapshot()
	now := time.Now()
	var local []cwpolicy.Member
	usable := make(map[string]bool, len(s.Members)+1)
	usable[s.Self.PeerAddress] = true
	byDomain := make(map[string][]cwpolicy.Member)
	for _, m := range s.Members {
		isUsable := m.IsUsable(now, cwpolicy.MemberContactTimeout)
		usable[m.PeerAddress] = isUsable
		switch {
		case m.Domain == s.Self.Domain || m.Domain == "":
			isDue := now.Sub(m.LastContactAt) >= x.Settings.ExchangeInterval/2 || m.Incarnation == 0
			if isDue && (isUsable || isRemote) {
				local = append(local, m)
			}
		case isRemote:
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	selected := leastRecentlyContacted(local, x.Settings.ExchangePeers)
	for _, domain := range selectRemoteDomains(s, byDomain, x.Settings.RemoteDomains) {
		selected = append(selected, pickMember(byDomain[domain], now).PeerAddress)
	}
	if !isRemote && len(s.Members) > 0 {
		return selected
	}
	x.mu.Lock()
	seeds := x.seeds
	x.mu.Unlock()
	for _, seed := range seeds {
		if !usable[seed] && !slices.Contains(selected, seed) {
			selected = append(selected, seed)
		}
	}
	return selected
}

// leastRecentlyContacted returns the addresses of at most limit members, those
// with the oldest contact first. The limit bounds the exchanges per round in a large
// domain.
func leastRecentlyContacted(members []cwpolicy.Member, limit int) []string {
	slices.SortFunc(members, func(a, b cwpolicy.Member) int { return a.LastContactAt.Compare(b.LastContactAt) })
	var addresses []string
	for _, m := range members[:min(len(members), limit)] {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses
}

// pickMember returns a random usable member, or any random member if none is usable.
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
	message := buildExchangeMessage(s, x.traffic, region, domain, cwpolicy.IsKnown(s.Members, address, 0), now)
	if x.Crashes != nil {
		message.Crashes = protoCrashRecords(x.Crashes.Reports(now, maxExchangedCrashes), now)
	}
	message.Quotas = quotaReportTo(x.Quotas, address, domain, now)
	response, roundTrip, err := x.client.Exchange(ctx, address, message)
	if err != nil {
		x.Log.Debug("exchange failed", zap.String("peer", address), zap.Error(err))
		x.Metrics.Counter("exchange_failures").Inc(1)
		x.control.Post(ctx, cwcontrol.PeerFailed{Address: address})
		return
	}
	x.control.Post(ctx, eventOf(response, roundTrip, time.Now()))
	receiveQuotas(x.Quotas, response, time.Now())
	if x.Crashes != nil {
		x.Crashes.Merge(crashReportsOf(response.GetCrashes(), time.Now()), time.Now())
	}
	offered := versionOf(response.GetConfig())
	x.puller.Pull(ctx, address, offered)
	if response.GetConfigConfirmed() {
		x.control.Post(ctx, cwcontrol.ConfigConfirmed{Version: offered})
	}
}

// locationOf returns the region and domain of a peer, or empty strings if the peer is not
// a member yet.
func locationOf(s *cwcontrol.Snapshot, address string) (region, domain string) {
	for i := range s.Members {
		if s.Members[i].PeerAddress == address {
			return s.Members[i].Region, s.Members[i].Domain
		}
	}
	return "", ""
}

// jitter returns a random duration that differs from d by at most a tenth, so that the
// exchanges of different instances do not synchronize.
func jitter(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}
