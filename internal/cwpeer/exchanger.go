package cwpeer

import (
	"context"
	"math/rand/v2"
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
}

// NewExchanger returns an exchanger that has not started.
func NewExchanger(common *cwcommon.Common, control *cwcontrol.Control, client *Client, traffic Traffic, puller Puller) *Exchanger {
	return &Exchanger{Common: common, control: control, client: client, traffic: traffic, puller: puller}
}

// Run exchanges until ctx ends: with the own domain each interval, with one
// instance of each followed domain each remote interval.
func (x *Exchanger) Run(ctx context.Context) error {
	x.Round(ctx, true)
	x.control.Post(ctx, cwcontrol.RoundDone{})
	lastRemote := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jitter(x.Settings.ExchangeInterval)):
		}
		remote := time.Since(lastRemote) >= x.Settings.RemoteInterval
		if remote {
			lastRemote = time.Now()
		}
		x.Round(ctx, remote)
	}
}

// Round exchanges once with every chosen peer at the same time.
func (x *Exchanger) Round(ctx context.Context, remote bool) {
	var wg sync.WaitGroup
	for _, address := range x.peers(remote) {
		wg.Go(func() { x.exchange(ctx, address) })
	}
	wg.Wait()
}

func (x *Exchanger) peers(remote bool) []string {
	s := x.control.Snapshot()
	now := time.Now()
	var chosen []string
	byDomain := make(map[string][]cwpolicy.Member)
	for _, m := range s.Members {
		switch {
		case m.Domain == s.Self.Domain || m.Domain == "":
			// An exchange goes both ways: one of the two need begin it.
			if now.Sub(m.HeardAt) >= x.Settings.ExchangeInterval/2 || m.Incarnation == 0 {
				chosen = append(chosen, m.Address)
			}
		case remote:
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	for _, domain := range followedDomains(s, byDomain, x.Settings.RemoteDomains) {
		chosen = append(chosen, pickExit(byDomain[domain], now).Address)
	}
	if len(s.Members) == 0 {
		chosen = append(chosen, cwsetting.PeerList(x.Settings.Peers)...)
	}
	return chosen
}

// pickExit draws a member at random, a usable one if there is any.
func pickExit(members []cwpolicy.Member, now time.Time) cwpolicy.Member {
	var usable []cwpolicy.Member
	for _, m := range members {
		if m.Usable(now, cwpolicy.MemberSilence) {
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
	news := newsOf(s, x.traffic, x.sameDomain(s, address), now)
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
		x.control.Post(ctx, cwcontrol.ConfigSeen{Version: offered})
	}
}

func (x *Exchanger) sameDomain(s *cwcontrol.Snapshot, address string) bool {
	for i := range s.Members {
		if s.Members[i].Address == address {
			return s.Members[i].Domain == s.Self.Domain
		}
	}
	return false
}

// jitter spreads an interval by a fifth, so that instances don't fall in step.
func jitter(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}
