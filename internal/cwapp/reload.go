package cwapp

import (
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwsite"
)

// reloadInterval is how often the settings are read without a signal. They may change
// without one; nothing depends on a change at once.
const reloadInterval = 10 * time.Second

// WatchSettings reads the settings again at each signal and now and then, until ctx ends.
// Requests in flight are not touched.
func (r *RoutedApp) WatchSettings(ctx context.Context, signals <-chan os.Signal, read func() (*cwsite.Site, error)) {
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-time.After(reloadInterval):
		}
		site, err := read()
		if err != nil {
			r.Log.Warn("settings not reloaded", zap.Error(err))
			continue
		}
		r.applySite(site, signalled)
	}
}

// applySite takes over what can change while the instance runs: seeds and bounds.
// Addresses and place change only with a restart.
func (r *RoutedApp) applySite(site *cwsite.Site, signalled bool) {
	changed := !reflect.DeepEqual(site.SeedPeers, r.seedPeers) || site.Bounds != r.Gate.Bounds()
	if !changed && !signalled {
		return
	}
	r.Log.Info("settings reloaded", zap.Bool("changed", changed), zap.Strings("seeds", site.SeedPeers))
	r.seedPeers = site.SeedPeers
	r.exchanger.SetSeeds(site.SeedPeers)
	r.Gate.SetBounds(site.Bounds)
}
