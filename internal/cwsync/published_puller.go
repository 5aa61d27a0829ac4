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

// behindGrace is how long this instance may be behind a peer before it pulls. Its
// own watch brings a change within a round trip, unless it is broken.
const behindGrace = 600 * time.Millisecond

// PublishedPuller fetches published state from peers for an instance that the
// store does not answer.
type PublishedPuller struct {
	*cwcommon.Common
	state    *cwpublished.State
	client   *cwpeer.Client
	follower *cwpublished.Follower

	mu      sync.Mutex
	pulling bool
	// behindSince and behindRevision are when a peer first offered more than there
	// was, and how much.
	behindSince    time.Time
	behindRevision uint64
}

// NewPublishedPuller returns a puller.
func NewPublishedPuller(common *cwcommon.Common, state *cwpublished.State, client *cwpeer.Client, follower *cwpublished.Follower) *PublishedPuller {
	return &PublishedPuller{Common: common, state: state, client: client, follower: follower}
}

// Pull fetches what the peer has, if this instance has been behind for a while or
// has nothing yet.
func (p *PublishedPuller) Pull(ctx context.Context, address string, offered cwconfig.Version) {
	if !p.begin(offered.Number, time.Now()) {
		return
	}
	defer p.end()
	before := p.state.Revision()
	d, err := p.client.FetchPublished(ctx, address, before)
	if err != nil {
		p.Log.Warn("published state not pulled", zap.String("peer", address), zap.Uint64("revision", before), zap.Error(err))
		return
	}
	if d.Current <= before {
		return
	}
	p.state.Apply(address, d)
	if p.follower.IsReader() {
		// Its own watch should have brought this.
		p.follower.Restart()
	}
}

// begin reports whether it is time to pull. One pull is in progress at a time.
func (p *PublishedPuller) begin(offered uint64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pulling || !p.due(offered, now) {
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

// due reports whether this instance is behind, and has been for a while if it
// watches the store itself. The caller holds mu.
func (p *PublishedPuller) due(offered uint64, now time.Time) bool {
	held := p.state.Revision()
	if offered <= held {
		return false
	}
	if held == 0 || !p.follower.IsReader() {
		return true
	}
	if p.behindRevision <= held {
		p.behindSince, p.behindRevision = now, offered
		return false
	}
	return now.Sub(p.behindSince) >= behindGrace
}
