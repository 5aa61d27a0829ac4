package cwscene

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spf13/pflag"
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwapp"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
	"github.com/clementinewell/clementinewell/internal/cwsite"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	routedCallerPort    = ":8001"
	routedReadyPort     = ":8002"
	routedPeerPort      = ":8003"
	routedDirectoryPort = ":8004"
	routedRelayPort     = ":8005"
	routedAdminPort     = ":8006"
	routedBackendPort   = ":8010"
	// StoreIP is the IP address of the store's host.
	StoreIP = "10.0.0.2"
	// RouteHost is the host name of all routes, and routedService is their service.
	RouteHost     = "app.example"
	routedService = "app"
)

// RoutedScene is an in-memory deployment on a stand-in for the users' platform.
type RoutedScene struct {
	// Net is the network, and Store holds the platform's published state.
	Net   *cwmemnet.Network
	Store *cwstandin.Store
	// RegionByDomain maps failure domains to regions. SeedPeers are the addresses that
	// an instance contacts first.
	RegionByDomain map[string]string
	SeedPeers      []string
	// Accounts are the client accounts of the configurations that are published from now on.
	Accounts []map[string]any
	// Log, if set, is the logger of the instances that are added.
	Log *zap.Logger
	// WrapNet, if set, changes the network of the instances that are added.
	WrapNet func(n cwnet.Net) cwnet.Net

	t             testing.TB
	configVersion int
	config        map[string]any
	requestCount  atomic.Int64
	servers       []*http.Server
	instances     []*RoutedInstance
}

// RoutedInstance is one running instance.
type RoutedInstance struct {
	*cwapp.RoutedApp
	// IP is the address of the instance's host.
	IP string

	stop context.CancelFunc
	done chan struct{}
}

// NewRoutedScene returns a scene with a store and two regions with one failure
// domain each.
func NewRoutedScene(t testing.TB) *RoutedScene {
	s := &RoutedScene{
		Net: cwmemnet.NewNetwork(), Store: cwstandin.NewStore(), t: t,
		RegionByDomain: map[string]string{"north-a": "north", "south-a": "south"},
		SeedPeers:      []string{"10.1.0.1" + routedPeerPort},
	}
	s.Serve(StoreIP+routedBackendPort, s.Store.Handler())
	return s
}

// Serve runs an HTTP server at the address.
func (s *RoutedScene) Serve(address string, handler http.Handler) {
	l, err := s.Net.Host(strings.Split(address, ":")[0]).Listen(context.Background(), address)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
}

// RoutedRoute describes one route for Publish, with the platform's field names.
type RoutedRoute map[string]any

// NewRoute returns a route to the service "app" below the path /NAME/. overrides
// replaces or adds fields.
func NewRoute(name, kind string, overrides RoutedRoute) RoutedRoute {
	r := RoutedRoute(cwstandin.NewPublishedRoute(RouteHost, routedService, name, kind))
	for key, value := range overrides {
		r[key] = value
	}
	return r
}

// Publish writes a configuration with the next version number to the store. With nil
// services it has one plain service, "app".
func (s *RoutedScene) Publish(services []map[string]any, routes ...RoutedRoute) {
	s.PublishLimits(nil, services, routes...)
}

// PublishLimits does the same as Publish, with limits other than the default ones if they are
// not nil.
func (s *RoutedScene) PublishLimits(limits map[string]any, services []map[string]any, routes ...RoutedRoute) {
	s.configVersion++
	if services == nil {
		services = []map[string]any{cwstandin.NewPublishedPlainService(routedService)}
	}
	s.config = cwstandin.NewPublishedConfig(s.configVersion, services, routes)
	if limits != nil {
		s.config["limits"] = limits
	}
	if len(s.Accounts) > 0 {
		s.config["tenants"] = s.Accounts
	}
	s.RepublishConfig()
}

// RepublishConfig writes the latest configuration to the store again, with the same version.
func (s *RoutedScene) RepublishConfig() {
	s.Store.PutJSON(cwstandin.ConfigKey, s.config)
}

// ConfigVersion returns the version of the latest configuration.
func (s *RoutedScene) ConfigVersion() int {
	return s.configVersion
}

// NewEngineService returns the service "app" as an engine service that accepts a
// limited rate of requests while it is cold.
func NewEngineService(coldPerSecond float64) []map[string]any {
	return []map[string]any{cwstandin.NewPublishedEngineService(routedService, coldPerSecond)}
}

// AddWorker starts a worker and registers it in the store.
func (s *RoutedScene) AddWorker(domain, ip string) *cwstandin.Worker {
	w := cwstandin.NewWorker("worker-" + ip)
	s.Serve(ip+routedBackendPort, w)
	s.RegisterWorker(w.ID, domain, ip, nil)
	return w
}

// RegisterWorker writes a worker's entry to the store. overrides replaces or adds
// fields.
func (s *RoutedScene) RegisterWorker(id, domain, ip string, overrides map[string]any) {
	entry := cwstandin.NewPublishedWorker(routedService, domain, ip+routedBackendPort)
	for key, value := range overrides {
		entry[key] = value
	}
	s.Store.PutJSON(cwstandin.WorkerKeyPrefix+id, entry)
}

// DefaultBounds returns the bounds of the instances in a RoutedScene.
func DefaultBounds() cwsite.Bounds {
	return cwsite.Bounds{
		ShutdownGrace: 8 * time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
		ColdOverage: 1.5, ColdSlack: 3, MaxResponseAge: 5 * time.Second,
		QuotaWindow: 8 * time.Second, QuotaOverage: 0.25, QuotaSlack: 6,
	}
}

// AddInstance starts an instance in a failure domain.
func (s *RoutedScene) AddInstance(ip, domain string) *RoutedInstance {
	site := &cwsite.Site{
		Name: ip, IP: ip, Domain: domain, Region: s.RegionByDomain[domain], RegionByDomain: s.RegionByDomain,
		CallerAddress: ip + routedCallerPort, ReadyAddress: ip + routedReadyPort, DirectoryAddress: ip + routedDirectoryPort, PeerAddress: ip + routedPeerPort, RelayAddress: ip + routedRelayPort,
		SeedPeers: s.SeedPeers, StoreAddress: StoreIP + routedBackendPort, StoreHistory: cwstandin.HistoryTime, CapacityCores: 1, Bounds: DefaultBounds(),
	}
	flags := pflag.NewFlagSet(ip, pflag.ContinueOnError)
	cwsetting.AddFlags(flags)
	settings, err := cwsetting.LoadWithDefaults(flags, func(string) (string, bool) { return "", false }, map[string]string{
		"caller-address": site.CallerAddress, "peer-address": site.PeerAddress, "admin-address": ip + routedAdminPort,
		"region": site.Region, "domain": domain, "platform": "http://" + site.StoreAddress, "peers": strings.Join(s.SeedPeers, ","), "peer-key": "",
		"exchange-interval": "300ms", "remote-interval": "1s",
	})
	if err != nil {
		s.t.Fatal(err)
	}
	host := cwnet.Net(s.Net.Host(ip))
	if s.WrapNet != nil {
		host = s.WrapNet(host)
	}
	log := s.Log
	if log == nil {
		log = newLogger()
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &RoutedInstance{RoutedApp: cwapp.NewRoutedApp(settings, site, log, host), IP: ip, stop: stop, done: make(chan struct{})}
	s.instances = append(s.instances, i)
	go func() {
		defer close(i.done)
		if err := i.Run(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
			s.t.Error(err)
		}
	}()
	return i
}

// Stop begins the instance's shutdown without waiting for its end. The channel of Done
// is closed at the end.
func (i *RoutedInstance) Stop() { i.stop() }

// Done returns a channel that is closed once the instance has ended.
func (i *RoutedInstance) Done() <-chan struct{} { return i.done }

// AwaitReady waits until every instance is ready and lists all others as members.
func (s *RoutedScene) AwaitReady() {
	s.t.Helper()
	s.Await(func() bool {
		for _, i := range s.instances {
			if !i.IsReady() || len(i.Control.Snapshot().Members) < len(s.instances)-1 {
				return false
			}
		}
		return true
	})
}

// AwaitRetries waits until every instance is ready and may spend its whole retry budget.
func (s *RoutedScene) AwaitRetries() {
	s.t.Helper()
	s.AwaitReady()
	time.Sleep(DefaultBounds().RetryWindow)
}

// Await waits until the condition holds, and fails the test if it does not within
// awaitTimeout of the test's clock.
func (s *RoutedScene) Await(condition func() bool) {
	s.t.Helper()
	for start := time.Now(); time.Since(start) < awaitTimeout; time.Sleep(awaitPollInterval) {
		if condition() {
			return
		}
	}
	s.t.Fatal("the awaited condition was not met before the timeout")
}

// RoutedRequest describes a request of a caller.
type RoutedRequest struct {
	// Method, Path and Body are those of the request. The default method is POST.
	Method, Path, Body string
	// BodyReader replaces Body with one of unknown length; nil if there is none.
	BodyReader io.Reader
	// Header holds additional header fields, name and value alternating.
	Header []string
	// Timeout is sent as the request's deadline. The default is 5 s.
	Timeout time.Duration
}

// RoutedResponse is a response as a caller received it.
type RoutedResponse struct {
	// Status, Header and Body are those of the response.
	Status int
	Header http.Header
	Body   string
	// Err is set if the request failed or the response is incomplete.
	Err error
	// ClosesConn is true if the response announces that the connection will be closed.
	ClosesConn bool
	// Elapsed is the time from the request to the end of the response.
	Elapsed time.Duration
	// RequestID is the identifier that was sent with the request.
	RequestID string
}

// Do sends a request to an instance on a new connection and reads the whole response.
func (s *RoutedScene) Do(ctx context.Context, i *RoutedInstance, r RoutedRequest) RoutedResponse {
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	if r.Timeout == 0 {
		r.Timeout = 5 * time.Second
	}
	result := RoutedResponse{RequestID: fmt.Sprintf("request-%d", s.requestCount.Add(1))}
	var body io.Reader = strings.NewReader(r.Body)
	if r.BodyReader != nil {
		body = r.BodyReader
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+i.IP+routedCallerPort+r.Path, body)
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = RouteHost
	req.Header.Set(cwstandin.RequestIDHeader, result.RequestID)
	req.Header.Set(cwstandin.DeadlineHeader, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	for n := 0; n+1 < len(r.Header); n += 2 {
		req.Header.Set(r.Header[n], r.Header[n+1])
	}
	transport := &http.Transport{DialContext: s.Net.Host(CallerIP).DialContext}
	defer transport.CloseIdleConnections()
	start := time.Now()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		result.Err, result.Elapsed = err, time.Since(start)
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	received, err := io.ReadAll(resp.Body)
	result.Status, result.Header, result.Body, result.Err, result.Elapsed = resp.StatusCode, resp.Header, string(received), err, time.Since(start)
	result.ClosesConn = resp.Close
	return result
}

// QueryDirectory returns the caller addresses that an instance's directory lists for
// callers in a region and failure domain.
func (s *RoutedScene) QueryDirectory(i *RoutedInstance, region, domain string) []string {
	addresses, _ := i.RoutedApp.ResolveAddresses(RouteHost, region, domain)
	return addresses
}

// FetchAdmin returns the body of a response of an instance's admin interface. Without
// status 200 it fails the test.
func (s *RoutedScene) FetchAdmin(t testing.TB, i *RoutedInstance, path string) string {
	transport := &http.Transport{DialContext: s.Net.Host(CallerIP).DialContext}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get("http://" + i.IP + routedAdminPort + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d, %v", path, resp.StatusCode, err)
	}
	return string(body)
}

// LiftBlock asks an instance, from a host, to lift a block, and returns the response's status.
func (s *RoutedScene) LiftBlock(t testing.TB, i *RoutedInstance, fromIP, id string) int {
	transport := &http.Transport{DialContext: s.Net.Host(fromIP).DialContext}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, "http://"+i.IP+routedAdminPort+"/blocks/"+id, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// Kill ends an instance without a shutdown, as kill -9 would.
func (s *RoutedScene) Kill(i *RoutedInstance) {
	s.Net.KillHost(i.IP)
}

// Close stops all instances and servers. It must be called before a synctest bubble
// ends.
func (s *RoutedScene) Close() {
	for _, i := range s.instances {
		i.stop()
	}
	s.Net.Close()
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, i := range s.instances {
		<-i.done
	}
	// Background work that is still in progress, such as a dial, ends by its timeout.
	time.Sleep(awaitTimeout)
}
