// Package cwscene sets up small in-memory deployments for failure tests: the
// platform, endpoints and instances, connected by a network that can fail.
package cwscene

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/spf13/pflag"
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwapp"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwplatform"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	// PlatformIP is the IP address of the platform's host.
	PlatformIP = "10.0.0.1"
	// CallerIP is the IP address of the callers' host.
	CallerIP = "10.0.0.9"
	// CallerKey is the key of the client account that every Scene has. The account has
	// no home.
	CallerKey   = "scene-key"
	callerPort  = ":7080"
	peerPort    = ":7081"
	adminPort   = ":7082"
	backendPort = ":7090"
	// unlimitedCallsPerSecond is a call budget that no test exhausts.
	unlimitedCallsPerSecond = 1e6
)

// Scene is a deployment with a configuration service and a list of instances.
type Scene struct {
	// Net is the in-memory network. It is nil in a scene over TCP.
	Net *cwmemnet.Network
	// Platform stands in for the configuration service and the list of instances.
	Platform *cwstandin.Platform
	// WrapNet, if set, changes the network of the instances that are started.
	WrapNet func(n cwnet.Net) cwnet.Net

	t            testing.TB
	configNumber uint64
	services     []cwservice.Service
	accounts     []cwservice.Account
	entries      []cwplatform.EntryInstance
	endpoints    map[string][]cwplatform.ListedEndpoint
	servers      []*http.Server
	instances    []*Instance
}

// Instance is one running instance.
type Instance struct {
	*cwapp.App
	// IP is the address of the instance's host.
	IP string

	stop context.CancelFunc
	done chan struct{}
}

// NewScene returns an in-memory scene with a platform and one client account without
// a home, which may call every service.
func NewScene(t testing.TB, services ...cwservice.Service) *Scene {
	return newScene(t, cwmemnet.NewNetwork(), services)
}

// NewTCPScene returns a scene like NewScene, but over TCP on loopback addresses: the
// first octet of each IP address is 127 instead of 10.
func NewTCPScene(t testing.TB, services ...cwservice.Service) *Scene {
	return newScene(t, nil, services)
}

func newScene(t testing.TB, network *cwmemnet.Network, services []cwservice.Service) *Scene {
	s := &Scene{
		Net: network, Platform: cwstandin.NewPlatform(unlimitedCallsPerSecond), t: t,
		services: services, endpoints: make(map[string][]cwplatform.ListedEndpoint),
	}
	s.AddAccount("caller", CallerKey, "")
	s.serve(s.mapIP(PlatformIP), s.Platform.Handler())
	return s
}

// AddAccount adds a client account that may call every service.
func (s *Scene) AddAccount(name, key, home string) {
	account := cwservice.Account{Name: name, KeySHA256: cwservice.HashKey(key), Home: home}
	for _, svc := range s.services {
		account.Services = append(account.Services, svc.Name)
	}
	s.accounts = append(s.accounts, account)
}

// Publish publishes the services and accounts on the platform as the configuration
// with the next number, and returns its version.
func (s *Scene) Publish() cwconfig.Version {
	s.configNumber++
	set, err := cwconfig.Build(s.configNumber, s.services, s.accounts)
	if err != nil {
		s.t.Fatal(err)
	}
	s.Platform.PutConfig(set)
	return set.Version
}

// EditService edits a service. The change takes effect with the next Publish.
func (s *Scene) EditService(name string, edit func(*cwservice.Service)) {
	for i := range s.services {
		if s.services[i].Name == name {
			edit(&s.services[i])
		}
	}
}

// AddEndpoint starts an endpoint in a failure domain, adds it to the platform's list
// for a pool, and returns its address.
func (s *Scene) AddEndpoint(domain, ip, pool string, handler http.Handler) string {
	ip = s.mapIP(ip)
	address := ip + backendPort
	s.endpoints[domain] = append(s.endpoints[domain], cwplatform.ListedEndpoint{Address: address, Pool: pool, Accelerators: 1})
	s.Platform.PutJSON(cwplatform.EndpointsKeyPrefix+domain, s.endpoints[domain])
	s.serve(ip, handler)
	return address
}

// mapIP returns the IP address that the scene uses for a host: the same in memory,
// the loopback address over TCP.
func (s *Scene) mapIP(ip string) string {
	if s.Net == nil {
		return strings.Replace(ip, "10.", "127.", 1)
	}
	return ip
}

// hostNet returns the network interface of a host.
func (s *Scene) hostNet(ip string) cwnet.Net {
	if s.Net == nil {
		return cwnet.NewTCP()
	}
	return s.Net.Host(ip)
}

func (s *Scene) serve(ip string, handler http.Handler) {
	l, err := s.hostNet(ip).Listen(context.Background(), ip+backendPort)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
}

// AddInstance lists and starts an instance. extraFlags are command-line flags such as
// --idle-timeout=5s.
func (s *Scene) AddInstance(ip, region, domain string, extraFlags ...string) *Instance {
	s.ListInstance(ip, region, domain)
	return s.StartInstance(ip, region, domain, extraFlags...)
}

// ListInstance adds an instance to the platform's list without starting it.
func (s *Scene) ListInstance(ip, region, domain string) {
	s.entries = append(s.entries, cwplatform.EntryInstance{
		PeerAddress: s.mapIP(ip) + peerPort, CallerAddress: s.mapIP(ip) + callerPort, Region: region, Domain: domain, Size: 1,
	})
	s.Platform.PutDirectory(s.entries)
}

// Flags returns the command-line flags of an instance.
func (s *Scene) Flags(ip, region, domain string) []string {
	ip = s.mapIP(ip)
	return []string{
		"--caller-address=" + ip + callerPort, "--peer-address=" + ip + peerPort, "--admin-address=" + ip + adminPort,
		"--region=" + region, "--domain=" + domain, "--platform=http://" + s.mapIP(PlatformIP) + backendPort,
		"--peer-key=scene-peer-key-0123", "--idle-timeout=5s", "--fallback-interval=20s",
	}
}

// StartInstance starts an instance. It does not add it to the platform's list.
func (s *Scene) StartInstance(ip, region, domain string, extraFlags ...string) *Instance {
	ip = s.mapIP(ip)
	if len(s.endpoints[domain]) == 0 {
		s.Platform.PutJSON(cwplatform.EndpointsKeyPrefix+domain, []cwplatform.ListedEndpoint{})
	}
	flags := pflag.NewFlagSet(ip, pflag.ContinueOnError)
	cwsetting.AddFlags(flags)
	args := append(s.Flags(ip, region, domain), extraFlags...)
	if err := flags.Parse(args); err != nil {
		s.t.Fatal(err)
	}
	settings, err := cwsetting.Load(flags, func(string) (string, bool) { return "", false })
	if err != nil {
		s.t.Fatal(err)
	}
	host := s.hostNet(ip)
	if s.WrapNet != nil {
		host = s.WrapNet(host)
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &Instance{App: cwapp.NewApp(settings, newLogger(), host), IP: ip, stop: stop, done: make(chan struct{})}
	s.instances = append(s.instances, i)
	go func() {
		defer close(i.done)
		// Kill and Close close the listeners of a running instance.
		if err := i.Run(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
			s.t.Error(err)
		}
	}()
	return i
}

// newLogger returns a logger that prints the instances' log lines if SCENE_LOG is
// set, and discards them otherwise.
func newLogger() *zap.Logger {
	if os.Getenv("SCENE_LOG") == "" {
		return zap.NewNop()
	}
	log, _ := zap.NewDevelopment()
	return log
}

// Stop begins the instance's shutdown without waiting for its end. The channel of Done
// is closed at the end.
func (i *Instance) Stop() { i.stop() }

// Done returns a channel that is closed once the instance has ended.
func (i *Instance) Done() <-chan struct{} { return i.done }

// AwaitReady waits until every instance is ready or leaving, and each ready one has
// reports from all members and endpoints.
func (s *Scene) AwaitReady() {
	s.Await(func() bool {
		for _, i := range s.instances {
			snapshot := i.Control.Snapshot()
			if !snapshot.Self.IsLeaving && (!snapshot.IsReady || !hasAllReports(i)) {
				return false
			}
		}
		return true
	})
}

// hasAllReports reports whether the instance has had contact with every member and
// endpoint. The incarnation is 0 until then.
func hasAllReports(i *Instance) bool {
	snapshot := i.Control.Snapshot()
	for _, m := range snapshot.Members {
		if m.Incarnation == 0 {
			return false
		}
	}
	for _, e := range snapshot.Endpoints {
		if e.Incarnation == 0 {
			return false
		}
	}
	return true
}

const (
	awaitPollInterval = 10 * time.Millisecond
	awaitTimeout      = 2 * time.Minute
)

// Await waits until the condition holds, and fails the test if it does not within
// awaitTimeout of the test's clock.
func (s *Scene) Await(condition func() bool) {
	s.t.Helper()
	for start := time.Now(); time.Since(start) < awaitTimeout; time.Sleep(awaitPollInterval) {
		if condition() {
			return
		}
	}
	s.t.Fatal("the awaited condition was not met before the timeout")
}

// Kill ends an instance without a shutdown, as kill -9 would. It needs the in-memory
// network.
func (s *Scene) Kill(i *Instance) {
	s.Net.KillHost(i.IP)
}

// SetPartitioned partitions two groups of hosts from each other, or restores the links
// between them. It needs the in-memory network.
func (s *Scene) SetPartitioned(a, b []string, partitioned bool) {
	for _, x := range a {
		for _, y := range b {
			s.Net.SetPartitioned(x, y, partitioned)
		}
	}
}

// Close stops all instances and servers. It must be called before a synctest bubble
// ends.
func (s *Scene) Close() {
	for _, i := range s.instances {
		i.stop()
	}
	if s.Net != nil {
		s.Net.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, i := range s.instances {
		<-i.done
	}
	if s.Net != nil {
		// Background work that is still in progress, such as a dial, ends by its timeout.
		time.Sleep(awaitTimeout)
	}
}
