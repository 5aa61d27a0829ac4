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
// without one, and no change has to take effect immediately.
const reloadInterval = 10 * time.Second

// WatchSettings rereads and applies the settings on each signal, and every reloadInterval
// without one, until ctx is done. Settings that cannot be read leave the previous ones in
// force. Requests in flight are not affected.
func (r *RoutedApp) WatchSettings(ctx context.Context, signals <-chan os.Signal, readSite func() (*cwsite.Site, error)) {
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-time.After(reloadInterval):
		}
		site, err := readSite()
		if err != nil {
			r.Log.Warn("settings not reloaded", zap.Error(err))
			continue
		}
		r.applySite(site, signalled)
	}
}

// applySite applies the settings that can change while the instance runs: the seed peers and
// the bounds, which the gate keeps. A shutdown uses the grace in force when it begins. The window of
// retry budgets, addresses, region and domain change only with a restart.
func (r *RoutedApp) applySite(site *cwsite.Site, signalled bool) {
	changed := !reflect.DeepEqual(site.SeedPeers, r.seedPeers) || site.Bounds != r.gate.Bounds()
	if !changed && !signalled {
		return
	}
	r.Log.Info("settings reloaded", zap.Bool("changed", changed), zap.Strings("seeds", site.SeedPeers))
	r.seedPeers = site.SeedPeers
	r.exchanger.SetSeeds(site.SeedPeers)
	r.gate.SetBounds(site.Bounds)
}
