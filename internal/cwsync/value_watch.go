package cwsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwplatform"
	"github.com/clementinewell/clementinewell/internal/cwwatch"
)

const (
	// probeInterval is the time from one probe beside a watch to the next. A probe costs a call, and a
	// change must be in force within seconds.
	probeInterval = 2 * time.Second
	// probeTimeout is the time for the response to a probe. The platform responds within milliseconds.
	probeTimeout = 1500 * time.Millisecond
)

var errProbeDelivered = errors.New("a probe has delivered the value")

// watchValue waits for a newer version of a value of the platform. It probes the platform meanwhile,
// which may have lost the watch; a newer version that a probe returns counts as the watch's.
func watchValue(ctx context.Context, common *cwcommon.Common, reader *cwplatform.Reader, key string, after uint64, wait time.Duration) (cwplatform.Value, error) {
	watch := func(ctx context.Context) (cwplatform.Value, error) { return reader.Watch(ctx, key, after, wait) }
	if wait == 0 {
		return watch(ctx)
	}
	var probed cwplatform.Value
	value, err := cwwatch.Do(ctx, common, probeInterval, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		common.Metrics.Counter("platform_probes").Inc(1)
		v, err := reader.Watch(ctx, key, after, 0)
		if err == nil {
			probed = v
			return errProbeDelivered
		}
		if errors.Is(err, context.DeadlineExceeded) {
			return fmt.Errorf("probe during a watch: %w", err)
		}
		return nil // the platform responds
	}, watch)
	if errors.Is(err, errProbeDelivered) {
		return probed, nil
	}
	return value, err
}
