// Package cwsetting defines the settings of an instance. The flags, the environment
// variables, the checks and the settings page are generated from one struct.
package cwsetting

import "time"

// EnvPrefix is the prefix of the environment variables.
const EnvPrefix = "CLEMENTINEWELL_"

// Settings holds all settings of an instance. The tags give the name, default, check
// and help text of each setting.
type Settings struct {
	CallerAddress     string        `name:"caller-address" default:"127.0.0.1:8080" check:"hostport" help:"Host and port on which callers are served."`
	PeerAddress       string        `name:"peer-address" default:"127.0.0.1:8081" check:"hostport" help:"Host and port on which other instances are served; it names this instance to them."`
	AdminAddress      string        `name:"admin-address" default:"127.0.0.1:8082" check:"hostport" help:"Host and port of the interface for operators."`
	Region            string        `name:"region" default:"" check:"name" help:"Region in which the instance runs."`
	Domain            string        `name:"domain" default:"" check:"name" help:"Failure domain in which the instance runs."`
	Size              float64       `name:"size" default:"1" check:"positive" help:"Capacity of the instance relative to the others."`
	Platform          string        `name:"platform" default:"" check:"url" help:"Base URL of the platform's read and watch interface."`
	Peers             string        `name:"peers" default:"none" check:"peers" help:"Peer addresses to try at start, separated by commas, so that an instance can join while the platform is down; or none."`
	PeerKey           string        `name:"peer-key" default:"" check:"secret" help:"Key shared by all instances, at least 16 characters, with which they authenticate to each other. Set it by the environment."`
	LogLevel          string        `name:"log-level" default:"info" check:"level" help:"Lowest level that is logged: debug, info, warn or error."`
	LogLinesPerSecond int           `name:"log-lines-per-second" default:"200" check:"positive" help:"Bound on log lines; what is above it is counted and dropped, lines of success first."`
	DrainTimeout      time.Duration `name:"drain-timeout" default:"60s" check:"positive" help:"How long a shutdown waits for requests in flight."`
	ExchangeInterval  time.Duration `name:"exchange-interval" default:"1s" check:"positive" help:"Time between exchanges with each instance of the own failure domain."`
	ExchangePeers     int           `name:"exchange-peers" default:"8" check:"positive" help:"Largest number of instances of the own failure domain that one round exchanges with."`
	RemoteInterval    time.Duration `name:"remote-interval" default:"5s" check:"positive" help:"Time between exchanges with one instance of each other failure domain that is followed."`
	RemoteDomains     int           `name:"remote-domains" default:"6" check:"positive" help:"Number of other failure domains that are followed as destinations."`
	PollInterval      time.Duration `name:"poll-interval" default:"2s" check:"positive" help:"Age at which an endpoint's load report is asked for anew."`
	WatchWait         time.Duration `name:"watch-wait" default:"30s" check:"positive" help:"How long one watch of the configuration or of a list waits at the platform."`
	FallbackInterval  time.Duration `name:"fallback-interval" default:"60s" check:"positive" help:"Time between configuration reads of an instance that is not a reader of its domain, before jitter."`
	MaxBodyBytes      int           `name:"max-body-bytes" default:"16777216" check:"positive" help:"Largest request body."`
	MaxHeaderBytes    int           `name:"max-header-bytes" default:"32768" check:"positive" help:"Largest request header."`
	MaxConnections    int           `name:"max-connections" default:"4096" check:"positive" help:"Largest number of open caller connections; requests on more of them are refused."`
	HeaderTimeout     time.Duration `name:"header-timeout" default:"5s" check:"positive" help:"Time for a header from its first byte, and for the first request on a connection; a routed configuration may allow callers more."`
	IdleTimeout       time.Duration `name:"idle-timeout" default:"15s" check:"positive" help:"Time without a byte from an endpoint or peer after which an attempt is given up."`
	MetricsInterval   time.Duration `name:"metrics-interval" default:"1s" check:"positive" help:"Time between two updates of the metrics."`
	ProbeAfter        time.Duration `name:"probe-after" default:"2s" check:"positive" help:"Time without a byte from an endpoint after which it is probed on a new connection."`
}
