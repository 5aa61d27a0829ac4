package cwapp_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwsite"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// changeSchedule makes random changes of the published state and of the settings, with values
// at and beyond the edges of what is valid, and random requests.
type changeSchedule struct {
	*changeScene
	rng       *rand.Rand
	endpoints []*cwstandin.Worker
	// configCount is the number of configurations so far.
	configCount int
	// log lists the changes for the message of a failure.
	log []string
}

// pick returns one of the values at random.
func pick[T any](c *changeSchedule, values ...T) T {
	return values[c.rng.IntN(len(values))]
}

// newChangeSchedule returns a schedule in a scene of two regions.
func newChangeSchedule(ctx context.Context, s *cwscene.RoutedScene, seed uint64) *changeSchedule {
	c := &changeSchedule{changeScene: &changeScene{RoutedScene: s}, rng: rand.New(rand.NewPCG(seed, 0))}
	for _, ip := range []string{"10.1.1.1", "10.1.1.2", "10.2.1.1"} {
		w := cwstandin.NewWorker("worker-" + ip)
		s.Serve(ip+":8010", w)
		c.endpoints = append(c.endpoints, w)
	}
	c.start(ctx, "10.1.0.1", "north-a")
	c.start(ctx, "10.1.0.2", "north-a")
	c.start(ctx, "10.2.0.1", "south-a")
	return c
}

// change makes one random change.
func (c *changeSchedule) change() {
	switch c.rng.IntN(12) {
	case 0, 1, 2:
		c.put(cwstandin.ConfigKey, c.randomConfig())
	case 3, 4, 5, 6, 7:
		id := c.randomID()
		c.put(cwstandin.WorkerKeyPrefix+id, c.randomEntry(id))
	case 8:
		key := pick(c, "op/evacuate/north-a", "op/evacuate/south-a", "op/evacuate/north-a", "op/evacuate/south-a", cwstandin.WorkerKeyPrefix+c.randomID(), cwstandin.ConfigKey)
		c.log = append(c.log, "remove "+key)
		c.Store.Remove(key)
	case 9:
		c.put(pick(c, "op/evacuate/north-a", "op/evacuate/south-a", "op/evacuate/"), map[string]any{})
	case 10, 11:
		site := &cwsite.Site{SeedPeers: pick(c, c.SeedPeers, nil, []string{""}), Bounds: cwsite.Bounds{
			RetryRatio: pick(c, 0, 0.2, 1e308), RetrySlack: pick(c, 0, 50, 1e308), RetryWindow: pick(c, 0, 1, 10*time.Second),
			ColdOverage: pick(c, 0, 1.5, 1e308), ColdSlack: pick(c, 0, 3, 1e308),
		}}
		c.log = append(c.log, fmt.Sprintf("settings %+v", site.Bounds))
		c.reload(pick(c, site, nil))
	}
}

// put writes an item, which may be cut off.
func (c *changeSchedule) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	if c.rng.IntN(15) == 0 {
		text = text[:c.rng.IntN(len(text))]
	}
	c.log = append(c.log, key+" "+string(text))
	c.Store.Put(key, text)
}

func (c *changeSchedule) randomID() string {
	return pick(c, "worker-10.1.1.1", "worker-10.1.1.2", "worker-10.2.1.1", "worker-10.1.1.1", "worker-10.1.1.2", "worker-10.2.1.1", "north-a", "", "a b/c")
}

// mutate replaces a few of the fields by one of their values at random.
func (c *changeSchedule) mutate(fields map[string]any, values map[string][]any) map[string]any {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if c.rng.IntN(2*len(values)) == 0 {
			fields[name] = values[name][c.rng.IntN(len(values[name]))]
		}
	}
	return fields
}

// randomEntry returns an entry for the worker with the identifier, if there is one.
func (c *changeSchedule) randomEntry(id string) map[string]any {
	ip := strings.TrimPrefix(id, "worker-")
	domain := map[bool]string{false: "north-a", true: "south-a"}[ip == "10.2.1.1"]
	return c.mutate(cwstandin.NewPublishedWorker("app", domain, ip+":8010"), map[string][]any{
		"service":           {"other", "unknown", "", 7},
		"zone":              {"north-a", "south-a", "west-a", ""},
		"address":           {"10.1.1.1:8010", "10.2.1.1:8010", "10.9.9.9:8010", "", "nonsense", "a:b:c"},
		"slots":             {1, 0, -1, 1 << 40, "many", nil},
		"version":           {"v2", "", 2, nil},
		"state":             {"draining", "resting", nil},
		"born":              {2, 3, -1, 1.5},
		"cold-remaining-ms": {2000, -5, 1e300, "long"},
	})
}

func (c *changeSchedule) randomConfig() map[string]any {
	c.configCount++
	var routes []cwscene.RoutedRoute
	for _, name := range []string{"r", "s"} {
		for range pick(c, 0, 1, 1, 1, 1, 1, 2) {
			routes = append(routes, c.randomRoute(name))
		}
	}
	services := []map[string]any{c.randomService("app")}
	if c.rng.IntN(2) == 0 {
		services = append(services, c.randomService(pick(c, "other", "app", "")))
	}
	config := cwstandin.NewPublishedConfig(pick(c, c.configCount, c.configCount, c.configCount-1), services, routes)
	if c.rng.IntN(4) == 0 {
		config["limits"] = map[string]any{"max-body-bytes": pick(c, -1, 0, 1<<20, 1), "header-timeout-ms": pick(c, -1, 0, 1e300), "idle-timeout-ms": pick(c, -1, 0, 1e300)}
	}
	return config
}

func (c *changeSchedule) randomRoute(name string) cwscene.RoutedRoute {
	share := func(service string, weight float64) map[string]any {
		return map[string]any{"service": service, "weight": weight}
	}
	return c.mutate(cwscene.NewRoute(name, pick(c, "safe", "unsafe", "streaming", "streaming"), cwscene.RoutedRoute{"resumable": pick(c, true, false)}), map[string][]any{
		"service":           {"other", "unknown", ""},
		"timeout-ms":        {2000, 50, 1, 0, -1, 1e16},
		"target-latency-ms": {1, 0, -5, 1e300},
		"gap-aim-ms":        {0, -1, 1e300},
		"max-attempts":      {1, 0, -1, 1 << 40},
		"priority":          {1, -3, 1 << 40},
		"home-regions":      {[]string{"north"}, []string{"south"}, []string{"west"}},
		"traffic-split":     {[]any{}, []any{share("app", 0)}, []any{share("app", -1), share("other", 1e308), share("app", 1e308)}},
	})
}

func (c *changeSchedule) randomService(name string) map[string]any {
	service := cwstandin.NewPublishedPlainService(name)
	if c.rng.IntN(2) == 0 {
		service = cwstandin.NewPublishedEngineService(name, 2)
		service["engine"] = c.mutate(service["engine"].(map[string]any), map[string][]any{
			"slots": {1, 0, -1}, "kv-capacity": {1, 0, -1, 1 << 60}, "stride": {0, -1},
		})
	}
	return c.mutate(service, map[string][]any{"max-connections": {1, 0, -1}, "cold-per-s": {0, 2, 1e-300, -1, 1e300}})
}

// randomRequest returns a request that may be for a model engine.
func (c *changeSchedule) randomRequest() cwscene.RoutedRequest {
	r := cwscene.RoutedRequest{Path: pick(c, "/r/x", "/s/x"), Body: pick(c, "", "question"), Timeout: time.Duration(300+c.rng.IntN(6000)) * time.Millisecond}
	switch c.rng.IntN(4) {
	case 0, 1:
		r.Header = newPromptHeader()
	case 2:
		r.Header = []string{"Clementinewell-Token-Count", pick(c, "0,0", "9223372036854775807,9223372036854775807", "900,60"), "Clementinewell-Length-Hint", "-1", "Clementinewell-Prompt-Prefix", pick(c, "a1:0", "ff:9223372036854775807,fe:9223372036854775807", "a1:500")}
	}
	if c.rng.IntN(3) == 0 {
		c.endpoints[c.rng.IntN(len(c.endpoints))].QueueFaults(pick(c, cwstandin.FaultReject, cwstandin.FaultServerError, cwstandin.FaultLoseResponse, cwstandin.FaultTruncateResponse,
			cwstandin.FaultHang, cwstandin.FaultTruncateStream, cwstandin.FaultTruncateSlowStream, cwstandin.FaultPauseStream, cwstandin.FaultRejectAtDeadline))
	}
	return r
}
