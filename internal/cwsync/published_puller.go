package cwsync

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// watchGracePeriod is how long an instance that watches the store may be behind a peer
// before it pulls: the interval between two of its watches plus a round trip.
const watchGracePeriod = 900 * time.Millisecond

// overduePullTime is the time after which a pull in progress keeps no other one from starting:
// its peer may be silent, and changes must be in force within 4 s. It is longer than
// watchGracePeriod and than most pulls across regions take.
const overduePullTime = time.Second

// PublishedPuller fetches published state from peers if this instance does not get it from
// the store.
type PublishedPuller struct {
	*cwcommon.Common
	state    *cwpublished.State
	client   *cwpeer.Client
	follower *cwpublished.Follower

	mu sync.Mutex
	// pulls is the number of pulls in progress. There is at most one that is not overdue.
	pulls int
	// pullBeganAt is when the latest pull began to wait for the watch, or to fetch.
	pullBeganAt time.Time
}

// NewPublishedPuller returns a puller that applies what it fetches to state.
func NewPublishedPuller(common *cwcommon.Common, state *cwpublished.State, client *cwpeer.Client, follower *cwpublished.Follower) *PublishedPuller {
	return &PublishedPuller{Common: common, state: state, client: client, follower: follower}
}

// Pull fetches the published state of the peer at the address if this instance is behind
// the offered version, whose number is a revision of the published state and whose hash names a
// configuration that the store has lost. If this instance watches the store, it first waits for its own
// watch to deliver the revision.
func (p *PublishedPuller) Pull(ctx context.Context, address string, offered cwconfig.Version) {
	p.state.RecordOffer(address, cwpublished.Revision(offered.Number))
	lacksConfig := p.lacksConfig(offered)
	if !p.beginPull(cwpublished.Revision(offered.Number), lacksConfig) {
		return
	}
	defer p.endPull()
	if lacksConfig {
		p.pullAll(ctx, address)
		return
	}
	if p.expectsFromWatch() {
		cwcommon.Sleep(ctx, watchGracePeriod)
		if p.state.Revision() >= cwpublished.Revision(offered.Number) {
			return
		}
		p.recordFetch()
		p.Log.Info("watch has not delivered an offered revision; pulling", zap.String("peer", address),
			zap.Uint64("offered", cwpublished.Revision(offered.Number).StoreRevision()), zap.Uint64("revision", p.state.Revision().StoreRevision()))
	}
	before := p.state.Revision()
	delta, err := p.client.FetchPublished(ctx, address, before)
	if err != nil {
		p.Log.Warn("published state not pulled", zap.String("peer", address), zap.Uint64("revision", before.StoreRevision()), zap.Error(err))
		return
	}
	if delta.Revision <= before {
		return
	}
	p.state.Apply(address, delta)
	if p.follower.IsReader() {
		// The watch of this instance should have delivered the changes but has not.
		p.follower.Restart()
	}
}

// lacksConfig reports whether a peer at the same revision has a newer configuration, which the store has
// lost.
func (p *PublishedPuller) lacksConfig(offered cwconfig.Version) bool {
	config := p.state.View().Config
	return config != nil && cwpublished.Revision(offered.Number) == p.state.Revision() && cwpolicy.ParseKeptConfig(offered.Hash) > config.Version
}

// pullAll fetches all items of a peer: what the store has lost is in no change since a revision.
func (p *PublishedPuller) pullAll(ctx context.Context, address string) {
	delta, err := p.client.FetchPublished(ctx, address, 0)
	if err != nil {
		p.Log.Warn("published state not pulled", zap.String("peer", address), zap.Uint64("revision", 0), zap.Error(err))
		return
	}
	p.state.Apply(address, delta)
}

// expectsFromWatch reports whether this instance's watch of the store should deliver
// the missing changes.
func (p *PublishedPuller) expectsFromWatch() bool {
	return p.state.Revision() > 0 && p.follower.IsReader() && !p.state.IsStoreUnreachable()
}

// beginPull marks a pull as in progress. It returns false, and marks nothing, if one that is
// not overdue already is in progress, or if this instance is not behind the offered revision and does not
// lack a configuration.
func (p *PublishedPuller) beginPull(offered cwpublished.Revision, lacksConfig bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isBusy := p.pulls > 0 && time.Since(p.pullBeganAt) < overduePullTime
	if isBusy || offered <= p.state.Revision() && !lacksConfig {
		return false
	}
	p.pulls++
	p.pullBeganAt = time.Now()
	return true
}

// recordFetch records that the pull in progress begins to fetch after its wait.
func (p *PublishedPuller) recordFetch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pullBeganAt = time.Now()
}

func (p *PublishedPuller) endPull() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pulls--
}
