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

	"github.com/clementinewell/clementinewell/internal/cwapp"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
	"github.com/clementinewell/clementinewell/internal/cwsite"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	frontPort     = ":8001"
	readyPort     = ":8002"
	peersPort     = ":8003"
	directoryPort = ":8004"
	relayPort     = ":8005"
	metricsPort   = ":8006"
	workerPort    = ":8010"
	// StoreIP is the host of the store.
	StoreIP = "10.0.0.2"
	// Host is the host of all routes, and routedService their service.
	Host          = "app.example"
	routedService = "app"
)

// RoutedScene is a deployment on a stand-in of the users' platform, in memory.
type RoutedScene struct {
	// Net is the network, and Store the store.
	Net   *cwmemnet.Network
	Store *cwstandin.Store
	// Regions maps failure domains to regions, and Seeds are peers to ask first.
	Regions map[string]string
	Seeds   []string

	t         testing.TB
	version   int
	requests  atomic.Int64
	servers   []*http.Server
	instances []*RoutedInstance
}

// RoutedInstance is one running instance.
type RoutedInstance struct {
	*cwapp.Routed
	// IP is its host.
	IP string

	stop context.CancelFunc
	done chan struct{}
}

// NewRoutedScene returns a scene with a store and two regions of one domain each.
func NewRoutedScene(t testing.TB) *RoutedScene {
	s := &RoutedScene{
		Net: cwmemnet.NewNetwork(), Store: cwstandin.NewStore(), t: t,
		Regions: map[string]string{"north-a": "north", "south-a": "south"},
		Seeds:   []string{"10.1.0.1" + peersPort},
	}
	s.Serve(StoreIP+workerPort, s.Store.Handler())
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

// RoutedRoute describes one route for Publish, in the platform's words.
type RoutedRoute map[string]any

// Route returns a route to the service "app" below the path /NAME/.
func Route(name, kind string, more RoutedRoute) RoutedRoute {
	r := RoutedRoute(cwstandin.PublishedRoute(Host, routedService, name, kind))
	for key, value := range more {
		r[key] = value
	}
	return r
}

// Publish puts the next configuration into the store. Services without an engine
// are plain.
func (s *RoutedScene) Publish(services []map[string]any, routes ...RoutedRoute) {
	s.version++
	if services == nil {
		services = []map[string]any{cwstandin.PublishedPlain(routedService)}
	}
	s.Store.PutJSON(cwstandin.ConfigKey, cwstandin.PublishedConfig(s.version, services, routes))
}

// EngineService returns the service "app" as one of model engines.
func EngineService(coldPerSecond float64) []map[string]any {
	return []map[string]any{cwstandin.PublishedEngines(routedService, coldPerSecond)}
}

// AddWorker starts a worker and registers it.
func (s *RoutedScene) AddWorker(domain, ip string) *cwstandin.Worker {
	w := cwstandin.NewWorker("worker-" + ip)
	s.Serve(ip+workerPort, w)
	s.Register(w.ID, domain, ip, nil)
	return w
}

// Register writes a worker's entry; more replaces its fields.
func (s *RoutedScene) Register(id, domain, ip string, more map[string]any) {
	entry := cwstandin.PublishedEntry(routedService, domain, ip+workerPort)
	for key, value := range more {
		entry[key] = value
	}
	s.Store.PutJSON(cwstandin.WorkerKeyPrefix+id, entry)
}

// Bounds are those of instances in scenes.
func Bounds() cwsite.Bounds {
	return cwsite.Bounds{
		ShutdownGrace: 8 * time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
		ColdOverage: 1.5, ColdSlack: 3, MaxAnswerAge: 5 * time.Second,
	}
}

// AddInstance starts an instance.
func (s *RoutedScene) AddInstance(ip, domain string) *RoutedInstance {
	site := &cwsite.Site{
		Name: ip, IP: ip, Domain: domain, Region: s.Regions[domain], RegionOf: s.Regions,
		CallerAddress: ip + frontPort, ReadyAddress: ip + readyPort, DirectoryAddress: ip + directoryPort, PeerAddress: ip + peersPort, RelayAddress: ip + relayPort,
		SeedPeers: s.Seeds, StoreAddress: StoreIP + workerPort, CapacityCores: 1, Bounds: Bounds(),
	}
	flags := pflag.NewFlagSet(ip, pflag.ContinueOnError)
	cwsetting.AddFlags(flags)
	settings, err := cwsetting.LoadWith(flags, func(string) (string, bool) { return "", false }, map[string]string{
		"caller-address": site.CallerAddress, "peer-address": site.PeerAddress, "admin-address": ip + metricsPort,
		"region": site.Region, "domain": domain, "platform": "http://" + site.StoreAddress, "peers": strings.Join(s.Seeds, ","), "peer-key": "",
		"exchange-interval": "300ms", "remote-interval": "1s",
	})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &RoutedInstance{Routed: cwapp.NewRouted(settings, site, logger(), s.Net.Host(ip)), IP: ip, stop: stop, done: make(chan struct{})}
	s.instances = append(s.instances, i)
	go func() {
		defer close(i.done)
		if err := i.Run(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
			s.t.Error(err)
		}
	}()
	return i
}

// Stop sends the instance the signal to shut down; Done tells when it has.
func (i *RoutedInstance) Stop() { i.stop() }

// Done is closed once the instance has ended.
func (i *RoutedInstance) Done() <-chan struct{} { return i.done }

// AwaitReady lets time pass until every instance is ready and has heard the others.
func (s *RoutedScene) AwaitReady() {
	s.t.Helper()
	s.Await(func() bool {
		for _, i := range s.instances {
			if !i.Ready() || len(i.Control.Snapshot().Members) < len(s.instances)-1 {
				return false
			}
		}
		return true
	})
}

// Await lets time pass until the condition holds.
func (s *RoutedScene) Await(condition func() bool) {
	s.t.Helper()
	for start := time.Now(); time.Since(start) < awaitMost; time.Sleep(awaitStep) {
		if condition() {
			return
		}
	}
	s.t.Fatal("the awaited condition did not come")
}

// RoutedRequest is what a caller sends.
type RoutedRequest struct {
	// Method, Path and Body are those of the request; the method is POST by default.
	Method, Path, Body string
	// Header are more fields, a name and a value in turn.
	Header []string
	// Deadline is what the caller waits; 5 s by default.
	Deadline time.Duration
}

// RoutedAnswer is what a caller gets.
type RoutedAnswer struct {
	// Status, Header and Body are those of the answer.
	Status int
	Header http.Header
	Body   string
	// Err is set if the answer did not come whole.
	Err error
	// Closes is set if the instance asks to close the connection.
	Closes bool
	// Took is the time to the end of the answer.
	Took time.Duration
	// ID is the identifier of the request.
	ID string
}

// Do sends a request to an instance on a new connection.
func (s *RoutedScene) Do(ctx context.Context, i *RoutedInstance, r RoutedRequest) RoutedAnswer {
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	if r.Deadline == 0 {
		r.Deadline = 5 * time.Second
	}
	a := RoutedAnswer{ID: fmt.Sprintf("request-%d", s.requests.Add(1))}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+i.IP+frontPort+r.Path, strings.NewReader(r.Body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = Host
	req.Header.Set(cwstandin.RequestIDHeader, a.ID)
	req.Header.Set(cwstandin.DeadlineHeader, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	for n := 0; n+1 < len(r.Header); n += 2 {
		req.Header.Set(r.Header[n], r.Header[n+1])
	}
	transport := &http.Transport{DialContext: s.Net.Host(CallerIP).DialContext}
	defer transport.CloseIdleConnections()
	start := time.Now()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.Err, a.Took = err, time.Since(start)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a.Status, a.Header, a.Body, a.Err, a.Took = resp.StatusCode, resp.Header, string(body), err, time.Since(start)
	a.Closes = resp.Close
	return a
}

// Fronts asks an instance's directory.
func (s *RoutedScene) Fronts(i *RoutedInstance, region, domain string) []string {
	addresses, _ := i.Routed.Fronts(Host, region, domain)
	return addresses
}

// Operator asks an instance's interface for operators.
func (s *RoutedScene) Operator(t testing.TB, i *RoutedInstance, path string) string {
	transport := &http.Transport{DialContext: s.Net.Host(CallerIP).DialContext}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get("http://" + i.IP + metricsPort + path)
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

// Kill ends an instance without warning.
func (s *RoutedScene) Kill(i *RoutedInstance) {
	s.Net.Kill(i.IP)
}

// Close ends everything. It must be called before a synctest bubble ends.
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
	// What was begun in the background, such as a dial, runs into its timeout.
	time.Sleep(awaitMost)
}
