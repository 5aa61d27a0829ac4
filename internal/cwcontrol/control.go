package cwcontrol

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	eventBufferSize = 1024
	// minPublishInterval is the least time between two snapshots.
	minPublishInterval = 10 * time.Millisecond
)

// Control owns the control state.
type Control struct {
	*cwcommon.Common
	events   chan Event
	snapshot atomic.Pointer[Snapshot]
	state    *state
}

// NewControl returns control of the instance that self describes.
func NewControl(common *cwcommon.Common, self cwpolicy.Member) *Control {
	c := &Control{Common: common, events: make(chan Event, eventBufferSize), state: newState(self)}
	c.snapshot.Store(c.state.buildSnapshot(time.Now()))
	return c
}

// Snapshot returns the latest snapshot; it never blocks.
func (c *Control) Snapshot() *Snapshot {
	return c.snapshot.Load()
}

// Post hands an event to the control goroutine. It waits while the buffer is
// full, and gives up when ctx ends.
func (c *Control) Post(ctx context.Context, e Event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// TryPost hands over an event unless the buffer is full. The traffic path uses it,
// since it must not wait for control.
func (c *Control) TryPost(e Event) {
	select {
	case c.events <- e:
	default:
		c.Metrics.Counter("control_events_dropped").Inc(1)
	}
}

// Flush returns once every event posted before it is in a published snapshot.
func (c *Control) Flush(ctx context.Context) {
	done := make(barrier)
	c.Post(ctx, done)
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run applies events until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.events:
			c.applyBatch(e)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(minPublishInterval):
		}
	}
}

// applyBatch applies an event and all that wait behind it, then publishes once.
func (c *Control) applyBatch(e Event) {
	now := time.Now()
	before := c.state.configTracker.Accepted()
	e.apply(c.state, now)
	for range len(c.events) {
		(<-c.events).apply(c.state, now)
	}
	next := c.state.buildSnapshot(now)
	c.snapshot.Store(next)
	for _, b := range c.state.barriers {
		close(b)
	}
	c.state.barriers = nil
	c.Metrics.Gauge("config_number").Update(float64(next.ConfigTracker.Accepted().Number))
	if after := next.ConfigTracker.Accepted(); after != before {
		c.Log.Sugar().Infow("configuration in force", "version", after.String(), "before", before.String())
	}
}
