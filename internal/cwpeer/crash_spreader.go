package cwpeer

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	// crashFanOut is the number of instances that an instance tells of new evidence, each of
	// which tells as many others: with 8 all but one in 3,000 instances hear of it without
	// waiting for an exchange.
	crashFanOut = 8
	// crashRoundsPerSecond and crashRoundBurst bound the rounds in which evidence is told. What
	// comes between two rounds is told together.
	crashRoundsPerSecond = 1
	crashRoundBurst      = 4
	// maxSharedCrashes bounds the records that are told in one round.
	maxSharedCrashes = 32
)

// CrashSpreader tells other instances about new evidence against requests that end endpoints,
// sooner than the exchanges do.
type CrashSpreader struct {
	*cwcommon.Common
	control *cwcontrol.Control
	client  *Client
	ledger  CrashLedger
	limiter *rate.Limiter
}

// NewCrashSpreader returns a spreader; Run starts it.
func NewCrashSpreader(common *cwcommon.Common, control *cwcontrol.Control, client *Client, ledger CrashLedger) *CrashSpreader {
	return &CrashSpreader{Common: common, control: control, client: client, ledger: ledger, limiter: rate.NewLimiter(crashRoundsPerSecond, crashRoundBurst)}
}

// Run tells of new evidence until ctx ends.
func (s *CrashSpreader) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.ledger.Changed():
		}
		cwcommon.Sleep(ctx, s.limiter.Reserve().Delay())
		for _, address := range s.selectPeers() {
			s.Go("shareCrashes", func() { s.share(ctx, address) })
		}
	}
}

// selectPeers returns the addresses of up to crashFanOut usable instances, chosen at random.
func (s *CrashSpreader) selectPeers() []string {
	now := time.Now()
	var addresses []string
	for _, m := range s.control.Snapshot().Members {
		if m.IsUsable(now, cwpolicy.MemberContactTimeout) {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), crashFanOut)]
}

func (s *CrashSpreader) share(ctx context.Context, address string) {
	if err := s.client.ShareCrashes(ctx, address, s.ledger.Reports(time.Now(), maxSharedCrashes)); err != nil {
		// Exchanges tell the instance later; one of an older version does not know the call.
		s.Log.Debug("crash evidence not shared", zap.String("peer", address), zap.Error(err))
		s.Metrics.Counter("crash_share_failures").Inc(1)
	}
}
