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

	mu sync.Mutex
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
	if !p.due(offered.Number, time.Now()) {
		return
	}
	before := p.state.Revision()
	items, current, whole, err := p.client.FetchPublished(ctx, address, before)
	if err != nil {
		p.Log.Warn("published state not pulled", zap.String("peer", address), zap.Uint64("revision", before), zap.Error(err))
		return
	}
	if current <= before {
		return
	}
	p.state.Apply(address, items, current, whole)
	p.follower.Restart()
}

func (p *PublishedPuller) due(offered uint64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.state.Revision()
	if offered <= held {
		return false
	}
	if held == 0 {
		return true
	}
	if p.behindRevision <= held {
		p.behindSince, p.behindRevision = now, offered
		return false
	}
	return now.Sub(p.behindSince) >= behindGrace
}
