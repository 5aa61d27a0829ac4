package cwpublished_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
)

// TestNewestConfigReachesPeersAfterRestore guards against an instance that starts while the
// store has an older configuration again, and gets that one from a peer that has the newest.
func TestNewestConfigReachesPeersAfterRestore(t *testing.T) {
	is := is.New(t)
	newState := func() *cwpublished.State {
		return cwpublished.NewState(&cwcommon.Common{Log: zap.NewNop(), Metrics: tally.NoopScope}, decodeTestItem)
	}
	configAt := func(era, revision uint64, version string) cwpublished.Delta {
		at := cwpublished.NewRevision(era, revision)
		return cwpublished.Delta{Revision: at, IsFull: true, Items: []cwpublished.Item{{Key: configKey, Value: []byte(version), Revision: at}}}
	}
	peer := newState()
	peer.Apply("store", configAt(0, 9, "5"))
	peer.Apply("store", configAt(1, 7, "4"))
	is.Equal(peer.View().Config.Version, uint64(5))
	started := newState()
	started.Apply("peer", peer.ChangesSince(0))
	is.Equal(started.View().Config.Version, uint64(5))
	peer.Apply("store", configAt(1, 8, "6"))
	started.Apply("peer", peer.ChangesSince(started.Revision()))
	is.Equal(started.View().Config.Version, uint64(6))
}
