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
	pollTickInterval   = 250 * time.Millisecond
	maxConcurrentPolls = 16
)

// Poller fetches the load of endpoints whose latest load report is too old, because
// no recent response carried one. Hashing assigns each endpoint to one instance of
// the domain, which polls it and relays the reports to the others.
type Poller struct {
	*cwcommon.Common
	control  *cwcontrol.Control
	client   *Client
	polledAt map[string]time.Time
}

// NewPoller returns a poller that has not started.
func NewPoller(common *cwcommon.Common, control *cwcontrol.Control, client *Client) *Poller {
	return &Poller{Common: common, control: control, client: client, polledAt: make(map[string]time.Time)}
}

// Run polls the due endpoints every pollTickInterval until ctx is done. It always
// returns nil.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.PollDue(ctx)
		cwcommon.Sleep(ctx, pollTickInterval)
	}
	return nil
}

// PollDue polls the endpoints for which a report is due, and returns when all polls
// have ended.
func (p *Poller) PollDue(ctx context.Context) {
	s := p.control.Snapshot()
	now := time.Now()
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for i := range s.Endpoints {
		r := &s.Endpoints[i]
		if !p.isDue(s, r, now) {
			continue
		}
		p.polledAt[r.Address] = now
		g.Go(func() error {
			p.poll(ctx, r.Address)
			return nil
		})
	}
	_ = g.Wait()
}

// isDue reports whether this instance should poll the endpoint now. An endpoint that
// is assigned to this instance is due after one poll interval without contact, or once
// contact has failed. Any other is due after two intervals, since the assigned instance
// has relayed no report. This instance polls an endpoint at most twice per interval.
func (p *Poller) isDue(s *cwcontrol.Snapshot, r *cwcontrol.EndpointRecord, now time.Time) bool {
	age := now.Sub(r.LastContactAt)
	if r.Incarnation == 0 {
		age = now.Sub(p.polledAt[r.Address])
	}
	if now.Sub(p.polledAt[r.Address]) < p.Settings.PollInterval/2 {
		return false
	}
	if cwpolicy.IsPoller(s.Self.PeerAddress, s.Self.Domain, r.Address, s.Members, now) {
		return age >= p.Settings.PollInterval || !r.ContactFailedAt.IsZero()
	}
	return age >= 2*p.Settings.PollInterval
}

func (p *Poller) poll(ctx context.Context, address string) {
	load, err := p.client.FetchLoad(ctx, address)
	if err != nil {
		p.Metrics.Counter("poll_failures").Inc(1)
		p.control.Post(ctx, cwcontrol.EndpointFailed{Address: address})
		return
	}
	p.control.Post(ctx, cwcontrol.EndpointReported{EndpointReport: load.EndpointReport(address, time.Now())})
}
