package cwsync

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// watchGracePeriod is how long an instance that watches the store may be behind a peer
// before it pulls: the gap between two of its watches and a round trip.
const watchGracePeriod = 900 * time.Millisecond

// PublishedPuller fetches published state from peers for an instance that the
// store does not answer.
type PublishedPuller struct {
	*cwcommon.Common
	state    *cwpublished.State
	client   *cwpeer.Client
	follower *cwpublished.Follower

	mu        sync.Mutex
	isPulling bool
}

// NewPublishedPuller returns a puller.
func NewPublishedPuller(common *cwcommon.Common, state *cwpublished.State, client *cwpeer.Client, follower *cwpublished.Follower) *PublishedPuller {
	return &PublishedPuller{Common: common, state: state, client: client, follower: follower}
}

// Pull fetches what the peer has if this instance is behind. One that watches the
// store itself waits a moment for its own watch.
func (p *PublishedPuller) Pull(ctx context.Context, address string, offered cwconfig.Version) {
	if !p.beginPull(offered.Number) {
		return
	}
	defer p.endPull()
	if p.expectsFromWatch() {
		cwcommon.Sleep(ctx, watchGracePeriod)
		if p.state.Revision() >= offered.Number {
			return
		}
	}
	before := p.state.Revision()
	d, err := p.client.FetchPublished(ctx, address, before)
	if err != nil {
		p.Log.Warn("published state not pulled", zap.String("peer", address), zap.Uint64("revision", before), zap.Error(err))
		return
	}
	if d.Revision <= before {
		return
	}
	p.state.Apply(address, d)
	if p.follower.IsReader() {
		// Its own watch should have brought this.
		p.follower.Restart()
	}
}

// expectsFromWatch reports whether the watch of this instance should bring what it lacks.
func (p *PublishedPuller) expectsFromWatch() bool {
	return p.state.Revision() > 0 && p.follower.IsReader() && !p.state.IsStoreUnreachable()
}

// beginPull reports whether this instance is behind and no pull is in progress.
func (p *PublishedPuller) beginPull(offered uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isPulling || offered <= p.state.Revision() {
		return false
	}
	p.isPulling = true
	return true
}

func (p *PublishedPuller) endPull() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isPulling = false
}
