package cwcommand

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/clementinewell/clementinewell/internal/cwapp"
	"github.com/clementinewell/clementinewell/internal/cwlog"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
	"github.com/clementinewell/clementinewell/internal/cwsite"
	cwwire "github.com/clementinewell/clementinewell/platform"
)

// adminPort is the port of the operator interface on the platform. The deployment file
// contains it too.
const adminPort = "9464"

// callerDescriptorShare is the share of the file descriptors that caller connections
// may use. The rest is for endpoints, peers and files.
const callerDescriptorShare = 0.5

const (
	// programBytes allows for the memory that the runtime doesn't manage, mainly the program itself:
	// an idle process has 15 MB resident with its heap.
	programBytes = 12 << 20
	// softMemoryShare is the share of the rest of the memory limit above which the garbage collector
	// works harder. The bounds on what is held (cwlimit) keep the process below the limit, not this:
	// alone it would only spend processor time on memory that is in use.
	softMemoryShare = 0.75
)

// limitMemory sets the soft limit of the runtime. It does nothing if the memory limit is unknown or
// too small for one.
func limitMemory(site *cwsite.Site) {
	if site.MemoryBytes > 2*programBytes {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(site.MemoryBytes-programBytes)))
	}
}

// serveRouted runs an instance with the settings file of the users' platform. The file
// is read again at an interval and on SIGHUP.
func serveRouted(cmd *cobra.Command, path string) error {
	// SIGHUP ends a process that does not handle it, so it is handled from the start.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	site, err := cwwire.ReadSettings(path)
	if err != nil {
		return err
	}
	settings, err := cwsetting.LoadWithDefaults(cmd.Flags(), os.LookupEnv, defaultsFromSite(site))
	if err != nil {
		return fmt.Errorf("invalid settings:\n%w", err)
	}
	limitMemory(site)
	log := cwlog.NewLogger(settings.LogLevel, settings.LogLinesPerSecond, os.Stdout)
	defer log.Close()
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	app := cwapp.NewRoutedApp(settings, site, log.Logger, cwnet.NewTCP())
	go app.WatchSettings(ctx, reload, func() (*cwsite.Site, error) { return cwwire.ReadSettings(path) })
	return app.Run(ctx)
}

// defaultsFromSite returns the defaults of settings on the users' platform: values from
// its settings file, and constants for the exchanges and the metrics. The peer key is
// empty because the platform gives only instances access to the peer interface.
func defaultsFromSite(site *cwsite.Site) map[string]string {
	return map[string]string{
		"caller-address":    site.CallerAddress,
		"peer-address":      site.PeerAddress,
		"admin-address":     net.JoinHostPort(site.IP, adminPort),
		"region":            site.Region,
		"domain":            site.Domain,
		"size":              strconv.FormatFloat(site.CapacityCores, 'f', -1, 64),
		"platform":          "http://" + site.StoreAddress,
		"peers":             strings.Join(site.SeedPeers, ","),
		"peer-key":          "",
		"exchange-interval": "300ms",
		"max-connections":   strconv.Itoa(max(int(callerDescriptorShare*float64(site.MaxFiles)), 1)),
		"exchange-peers":    "8",
		"remote-interval":   "1s",
		"remote-domains":    "16",
		"metrics-interval":  "5s",
	}
}
