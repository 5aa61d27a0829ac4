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
	// minPublishInterval is the shortest time between two snapshots.
	minPublishInterval = 10 * time.Millisecond
)

// Control owns the control state. Other goroutines post events to it and read its
// snapshots.
type Control struct {
	*cwcommon.Common
	events   chan Event
	snapshot atomic.Pointer[Snapshot]
	state    *state
}

// NewControl returns the control of this instance, which self describes.
func NewControl(common *cwcommon.Common, self cwpolicy.Member) *Control {
	c := &Control{Common: common, events: make(chan Event, eventBufferSize), state: newState(self)}
	c.snapshot.Store(c.state.buildSnapshot(time.Now()))
	return c
}

// Snapshot returns the latest snapshot; it never blocks.
func (c *Control) Snapshot() *Snapshot {
	return c.snapshot.Load()
}

// Post queues an event for the control goroutine. It blocks while the buffer is
// full. The event is dropped if ctx ends first.
func (c *Control) Post(ctx context.Context, e Event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// TryPost queues an event, or drops it and counts the drop if the buffer is full. It
// is for callers that must not block on the control goroutine, such as the traffic path.
func (c *Control) TryPost(e Event) {
	select {
	case c.events <- e:
	default:
		c.Metrics.Counter("control_events_dropped").Inc(1)
	}
}

// Flush waits until every event posted before the call is in a published snapshot,
// or until ctx ends.
func (c *Control) Flush(ctx context.Context) {
	done := make(barrier)
	c.Post(ctx, done)
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run applies events and publishes snapshots until ctx ends. It always returns nil.
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

// applyBatch applies the event and all events queued behind it, then publishes one
// snapshot.
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
