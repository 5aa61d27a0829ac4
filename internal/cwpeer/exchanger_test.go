package cwpeer_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
)

// panickingTraffic fails as soon as it is asked for its work at endpoints.
type panickingTraffic struct {
	cwpeer.Traffic
}

func (panickingTraffic) EndpointWork() []cwcontrol.EndpointWork {
	panic("fault in the state of endpoints")
}

// TestPanicInExchangeIsLogged guards against a fault in an exchange that ends the process. An
// exchange applies published changes to the endpoints, as requests do, whose faults are answered.
func TestPanicInExchangeIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core, logs := observer.New(zap.InfoLevel)
		n := cwmemnet.NewNetwork().Host("10.1.0.1")
		common := &cwcommon.Common{Log: zap.New(core), Settings: &cwsetting.Settings{Peers: "10.1.0.2:8003"}, Metrics: tally.NoopScope, Net: n}
		control := cwcontrol.NewControl(common, cwpolicy.Member{PeerAddress: "10.1.0.1:8003"})
		client := cwpeer.NewClient(n, cwpeer.NewAuth("key"), cwlimit.NewBudget(0))
		x := cwpeer.NewExchanger(common, control, client, panickingTraffic{}, nil)
		for range 2 {
			x.RunRound(t.Context(), true)
		}
		lines := logs.FilterMessage("background step panicked").All()
		is.Equal(len(lines), 2) // the peer is not skipped after the first
		is.Equal(lines[0].ContextMap()["step"], "exchange")
		is.Equal(lines[0].ContextMap()["panic"], "fault in the state of endpoints")
	})
}
