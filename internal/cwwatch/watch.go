// Package cwwatch runs calls that wait at a peer, and probes the peer beside them: it may have lost a
// call while the connection stays open.
package cwwatch

import (
	"context"
	"errors"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

// firstProbeDelay is the time from the begin of a call to its first probe. It is short, so that hardly
// any silence of the peer loses the call and not the probe, and longer than a call takes that has
// something to return.
const firstProbeDelay = 100 * time.Millisecond

// Probe asks the peer of a call that waits, cheaply and at once. An error ends the call: the peer may
// have lost it, or has something that the call does not deliver.
type Probe func(ctx context.Context) error

// Do runs a call with probes beside it, the first one soon and then one in each interval. If a probe
// ends the call, Do returns the probe's error.
func Do[T any](ctx context.Context, common *cwcommon.Common, interval time.Duration, probe Probe, call func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	common.Go("probe", func() {
		if err := probeUntilEnd(ctx, interval, probe); err != nil {
			cancel(err)
		}
	})
	result, err := call(ctx)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		err = context.Cause(ctx)
	}
	return result, err
}

func probeUntilEnd(ctx context.Context, interval time.Duration, probe Probe) error {
	for delay := firstProbeDelay; ; delay = interval {
		cwcommon.Sleep(ctx, delay)
		if ctx.Err() != nil {
			return nil
		}
		if err := probe(ctx); err != nil {
			return err
		}
	}
}
