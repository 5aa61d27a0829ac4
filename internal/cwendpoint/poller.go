package cwendpoint

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	pollTick  = 250 * time.Millisecond
	pollsOnce = 16
)

// Poller asks endpoints for load reports that no traffic has brought lately. The
// instances of a domain divide the endpoints among themselves by hash and pass
// their reports on.
type Poller struct {
	*cwcommon.Common
	control *cwcontrol.Control
	client  *Client
	asked   map[string]time.Time
}

// NewPoller returns a poller that has not started.
func NewPoller(common *cwcommon.Common, control *cwcontrol.Control, client *Client) *Poller {
	return &Poller{Common: common, control: control, client: client, asked: make(map[string]time.Time)}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.Round(ctx)
		cwcommon.Pause(ctx, pollTick)
	}
	return nil
}

// Round polls the endpoints whose report is due.
func (p *Poller) Round(ctx context.Context) {
	s := p.control.Snapshot()
	now := time.Now()
	var g errgroup.Group
	g.SetLimit(pollsOnce)
	for i := range s.Endpoints {
		r := &s.Endpoints[i]
		if !p.due(s, r, now) {
			continue
		}
		p.asked[r.Address] = now
		g.Go(func() error {
			p.poll(ctx, r.Address)
			return nil
		})
	}
	_ = g.Wait()
}

// due reports whether this instance should ask the endpoint now: it has the
// endpoint by hash, or the instance that has it let the report grow old.
func (p *Poller) due(s *cwcontrol.Snapshot, r *cwcontrol.EndpointRecord, now time.Time) bool {
	age := now.Sub(r.LastContactAt)
	if r.Incarnation == 0 {
		age = now.Sub(p.asked[r.Address])
	}
	if now.Sub(p.asked[r.Address]) < p.Settings.PollInterval/2 {
		return false
	}
	if cwpolicy.IsPoller(s.Self.PeerAddress, s.Self.Domain, r.Address, s.Members, now) {
		return age >= p.Settings.PollInterval || !r.ContactFailedAt.IsZero()
	}
	return age >= 2*p.Settings.PollInterval
}

func (p *Poller) poll(ctx context.Context, address string) {
	load, err := p.client.Load(ctx, address)
	if err != nil {
		p.Metrics.Counter("poll_failures").Inc(1)
		p.control.Post(ctx, cwcontrol.EndpointFailed{Address: address})
		return
	}
	p.control.Post(ctx, cwcontrol.EndpointHeard{EndpointReport: load.Report(address, time.Now())})
}
