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

// behindGrace is how long an instance that watches the store may be behind a peer
// before it pulls: the gap between two of its watches and a round trip.
const behindGrace = 900 * time.Millisecond

// PublishedPuller fetches published state from peers for an instance that the
// store does not answer.
type PublishedPuller struct {
	*cwcommon.Common
	state    *cwpublished.State
	client   *cwpeer.Client
	follower *cwpublished.Follower

	mu      sync.Mutex
	pulling bool
}

// NewPublishedPuller returns a puller.
func NewPublishedPuller(common *cwcommon.Common, state *cwpublished.State, client *cwpeer.Client, follower *cwpublished.Follower) *PublishedPuller {
	return &PublishedPuller{Common: common, state: state, client: client, follower: follower}
}

// Pull fetches what the peer has if this instance is behind. One that watches the
// store itself waits a moment for its own watch.
func (p *PublishedPuller) Pull(ctx context.Context, address string, offered cwconfig.Version) {
	if !p.begin(offered.Number) {
		return
	}
	defer p.end()
	if p.expectsOwn() {
		cwcommon.Pause(ctx, behindGrace)
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

// expectsOwn reports whether the watch of this instance should bring what it lacks.
func (p *PublishedPuller) expectsOwn() bool {
	return p.state.Revision() > 0 && p.follower.IsReader() && !p.state.IsStoreUnreachable()
}

// begin reports whether this instance is behind and no pull is in progress.
func (p *PublishedPuller) begin(offered uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pulling || offered <= p.state.Revision() {
		return false
	}
	p.pulling = true
	return true
}

func (p *PublishedPuller) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pulling = false
}
