package cwpeer_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwquota"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// idleTraffic is a traffic path without requests.
type idleTraffic struct{}

func (idleTraffic) Capacities() []cwcontrol.PeerCapacity           { return nil }
func (idleTraffic) LimitDemands() []cwpolicy.LimitDemand           { return nil }
func (idleTraffic) EndpointWork() []cwcontrol.EndpointWork         { return nil }
func (idleTraffic) TakeOverTickets([]cwpolicy.TicketHandover) bool { return false }
func (idleTraffic) Pull(context.Context, string, cwconfig.Version) {}

// quotaPeer is an instance that only exchanges.
type quotaPeer struct {
	*cwpeer.Exchanger
	ledger *cwquota.Ledger
}

const (
	quotaWindow = 8 * time.Second
	quotaAmount = 9_000
)

func startQuotaPeer(t *testing.T, network *cwmemnet.Network, ip, domain, seed string) *quotaPeer {
	t.Helper()
	n := network.Host(ip)
	common := &cwcommon.Common{Log: zap.NewNop(), Settings: &cwsetting.Settings{Peers: seed, ExchangePeers: 8, RemoteDomains: 8}, Metrics: tally.NoopScope, Net: n, Incarnation: 1}
	self := cwpolicy.Member{PeerAddress: ip + ":8003", Region: "r", Domain: domain}
	self.Incarnation = 1
	control := cwcontrol.NewControl(common, self)
	go func() { _ = control.Run(t.Context()) }()
	auth := cwpeer.NewAuth("key")
	p := &quotaPeer{ledger: cwquota.NewLedger(cwquota.Source{Address: self.PeerAddress, Life: 1, Domain: domain}, cwquota.Bounds{Window: quotaWindow}, time.Now())}
	p.Exchanger = cwpeer.NewExchanger(common, control, cwpeer.NewClient(n, auth, cwlimit.NewBudget(0)), idleTraffic{}, idleTraffic{})
	p.Quotas = p.ledger
	server := cwpeer.NewServer(common, control, idleTraffic{}, cwpeer.Sources{Quotas: p.ledger}, idleTraffic{}, auth)
	l, err := n.Listen(t.Context(), self.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: server.Handler()}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return p
}

// TestSpendingReachesOtherInstances guards against quotas that are spent once at each instance,
// because what one has spent is not told in the exchanges, in its domain and in others.
func TestSpendingReachesOtherInstances(t *testing.T) {
	limit := cwquota.Limit{PerSecond: 1, Burst: 10_000}
	for name, domain := range map[string]string{"same domain": "d1", "other domain": "d2"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := cwmemnet.NewNetwork()
				a := startQuotaPeer(t, network, "10.1.0.1", "d1", "")
				b := startQuotaPeer(t, network, "10.1.0.2", domain, "10.1.0.1:8003")
				account := cwquota.AccountID("tenant")
				is.True(a.ledger.TrySpend(account, limit, quotaAmount, time.Now()).IsAllowed)
				b.RunRound(t.Context(), true)
				d := b.ledger.TrySpend(account, limit, quotaAmount, time.Now())
				is.True(!d.IsAllowed) // a has spent it
				is.True(d.RetryAfter > 0)
				time.Sleep(2 * quotaWindow)
				b.RunRound(t.Context(), true)
				is.True(b.ledger.TrySpend(account, limit, quotaAmount, time.Now()).IsAllowed)
				time.Sleep(time.Second)
				b.RunRound(t.Context(), true)
				is.True(!a.ledger.TrySpend(account, limit, quotaAmount, time.Now()).IsAllowed) // b has spent it
			})
		})
	}
}
