package site

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/platform"
)

// reloader reloads the settings on SIGHUP or when the file changes.
type reloader struct {
	options  Options
	settings conf.Site
	// modTime is the modification time of the file when last seen; zero before the first poll.
	modTime  time.Time
	gossiper *gossiper
	client   *platform.Client
	clock    clock.Clock
	logger   *zap.Logger
}

func newReloader(o Options, settings conf.Site, g *gossiper, c *platform.Client, k clock.Clock, logger *zap.Logger) *reloader {
	return &reloader{options: o, settings: settings, gossiper: g, client: c, clock: k, logger: logger}
}

// pollInterval is the time between checks of the settings file, which may change without a signal.
const pollInterval = time.Second

// Run reloads the settings on each request and each change of the file, until the context ends.
func (r *reloader) Run(ctx context.Context) error {
	ticker := r.clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.options.Reload:
			r.reload("signal")
		case <-ticker.C():
			info, err := os.Stat(r.options.Path)
			if err != nil || info.ModTime().Equal(r.modTime) {
				continue
			}
			first := r.modTime.IsZero()
			r.modTime = info.ModTime()
			if !first {
				r.reload("file_changed")
			}
		}
	}
}

// reload applies the settings that may change at run time: the seeds and the addresses of the provider and the advice
// service. Invalid settings are logged and the old ones stay.
func (r *reloader) reload(cause string) {
	settings, err := conf.LoadSite(r.options.Path)
	if err == nil {
		err = r.gossiper.setSeeds(settings)
	}
	if err != nil {
		r.logger.Error("settings_refused", zap.String("cause", cause), zap.Error(err))
		return
	}
	r.client.SetAddresses(providerAddresses(settings))
	r.settings = settings
	r.logger.Info("settings_reloaded", zap.String("cause", cause), zap.Strings("seeds", settings.Seeds))
}
