package cwpublished_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
)

const offeringPeer = "10.0.0.2:8003"

// newLagState returns a state at revision 5 and its log.
func newLagState() (*cwpublished.State, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.WarnLevel)
	common := &cwcommon.Common{Log: zap.New(core), Metrics: tally.NoopScope}
	state := cwpublished.NewState(common, decodeTestItem)
	state.Apply("store", cwpublished.Delta{Revision: 5, IsFull: true})
	return state, logs
}

// TestLateStateIsLogged guards against an instance that serves an old configuration for seconds
// and logs neither that it was offered a newer one nor by whom.
func TestLateStateIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		state, logs := newLagState()
		state.RecordOffer(offeringPeer, 7)
		time.Sleep(5 * time.Second)
		is.Equal(state.Lag().Behind, 5*time.Second)
		is.Equal(logs.Len(), 1) // one line, however long the state is late
		fields := logs.All()[0].ContextMap()
		is.Equal(logs.All()[0].Message, "published state is late")
		is.Equal(fields["source"], offeringPeer)
		is.Equal(fields["offered"], uint64(7))
		is.Equal(fields["revision"], uint64(5))
		state.Apply(offeringPeer, cwpublished.Delta{Revision: 7})
		is.Equal(state.Lag().Behind, time.Duration(0))
	})
}

// TestOrdinaryDelayIsNotLate guards against a state that counts as late while each revision
// arrives in time and the next one is offered before that.
func TestOrdinaryDelayIsNotLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		state, logs := newLagState()
		for revision := cwpublished.Revision(6); revision < 200; revision++ {
			state.RecordOffer(offeringPeer, revision)
			time.Sleep(100 * time.Millisecond)
			if delivered := revision - 5; revision > 10 {
				state.Apply("store", cwpublished.Delta{Revision: delivered})
			}
			is.True(!state.Lag().IsLate())
		}
		is.Equal(logs.Len(), 0)
	})
}
