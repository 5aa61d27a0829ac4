package cwapp_test

import (
	"context"
	"errors"
	"maps"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwsite"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// changeScene is a routed scene whose configuration, entries and settings change while a
// request is in progress: two endpoints of the service "app" and one of "other" in one
// domain, and an instance there. A relayed request enters at an instance in another region. It is
// used inside a synctest bubble, so its waits take no time.
type changeScene struct {
	*cwscene.RoutedScene
	*hold
	// entry is the instance that gets the request of the caller.
	entry *cwscene.RoutedInstance
	// domain is that of the endpoints, and subnet the beginning of their addresses.
	domain, subnet string
	isRelayed      bool
	services       []map[string]any
	// routeFields are set in all routes.
	routeFields cwscene.RoutedRoute
	limits      map[string]any
	// site is what the settings file contains; nil if it can't be read.
	site    atomic.Pointer[cwsite.Site]
	signals []chan os.Signal
	// instances are all instances.
	instances []*cwscene.RoutedInstance
}

func newChangeScene(ctx context.Context, s *cwscene.RoutedScene, point holdPoint, isRelayed bool) *changeScene {
	c := &changeScene{RoutedScene: s, isRelayed: isRelayed, hold: newHold(point), domain: "north-a", subnet: "10.1.1.", routeFields: cwscene.RoutedRoute{"timeout-ms": 20000, "gap-aim-ms": 2000}}
	if isRelayed {
		c.domain, c.subnet = "south-a", "10.2.1."
		c.routeFields["home-regions"] = []string{"south"}
	}
	c.services = append(cwscene.NewEngineService(0), cwstandin.NewPublishedPlainService("other"))
	c.publish()
	for _, id := range c.workers() {
		s.Serve(c.subnet+id+":8010", &heldWorker{hold: c.hold, id: id})
	}
	c.register(nil)
	s.RegisterWorker("9", c.domain, c.subnet+"9", map[string]any{"service": "other"})
	c.start(ctx, "10.1.0.1", "north-a")
	if isRelayed {
		c.start(ctx, "10.2.0.1", "south-a")
	}
	s.AwaitReady()
	time.Sleep(4 * time.Second) // capacities of the other region are known
	return c
}

// workers returns the identifiers of the endpoints of "app" and of "other".
func (c *changeScene) workers() []string {
	return []string{"1", "2", "9"}
}

// start starts an instance that reads its settings from site.
func (c *changeScene) start(ctx context.Context, ip, domain string) {
	i := c.AddInstance(ip, domain)
	if c.entry == nil {
		c.entry = i
	}
	c.instances = append(c.instances, i)
	signals := make(chan os.Signal, 1)
	c.signals = append(c.signals, signals)
	c.site.Store(&cwsite.Site{SeedPeers: c.SeedPeers, Bounds: cwscene.DefaultBounds()})
	go i.WatchSettings(ctx, signals, func() (*cwsite.Site, error) {
		if site := c.site.Load(); site != nil {
			return site, nil
		}
		return nil, errors.New("no such file")
	})
}

// reload replaces the settings of all instances and signals it.
func (c *changeScene) reload(site *cwsite.Site) {
	c.site.Store(site)
	for _, signals := range c.signals {
		signals <- syscall.SIGHUP
	}
}

// publish publishes the services and the routes r, stream and resume with routeFields and the
// given fields, except those that are dropped.
func (c *changeScene) publish(dropped ...string) {
	routes := make([]cwscene.RoutedRoute, 0, 4)
	for _, r := range []cwscene.RoutedRoute{
		cwscene.NewRoute("r", "unsafe", nil), cwscene.NewRoute("stream", "streaming", nil),
		cwscene.NewRoute("resume", "streaming", cwscene.RoutedRoute{"resumable": true}), cwscene.NewRoute("kept", "unsafe", nil),
	} {
		isDropped := false
		for _, name := range dropped {
			isDropped = isDropped || r["name"] == name
		}
		if !isDropped {
			maps.Copy(r, c.routeFields)
			routes = append(routes, r)
		}
	}
	c.PublishLimits(c.limits, c.services, routes...)
}

// publishRoutes publishes all routes with further fields.
func (c *changeScene) publishRoutes(fields cwscene.RoutedRoute) {
	c.routeFields = maps.Clone(c.routeFields)
	maps.Copy(c.routeFields, fields)
	c.publish()
}

// publishServices publishes the service "app" with other fields; a field that is nil is
// removed.
func (c *changeScene) publishServices(fields map[string]any) {
	app := maps.Clone(c.services[0])
	for name, value := range fields {
		app[name] = value
		if value == nil {
			delete(app, name)
		}
	}
	c.services = []map[string]any{app, c.services[1]}
	c.publish()
}

// register writes the entries of the endpoints of "app" with other fields.
func (c *changeScene) register(fields map[string]any) {
	for _, id := range c.workers()[:2] {
		c.RegisterWorker(id, c.domain, c.subnet+id, fields)
	}
}
