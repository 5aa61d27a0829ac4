package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

func init() { scripts["regress"] = playRegress }

const (
	// rollbackSlack is rollback-slack-ms.
	rollbackSlack = 250 * time.Millisecond
	// refusals is how often the store turns the gateway away, and refusalTime how long each time.
	refusals, refusalTime = 6, 9 * time.Second
	// changeInterval is the time between two changes of the configuration.
	changeInterval = 2100 * time.Millisecond
)

// routeVersion is a version of the configuration: the service to which the route leads, and when the operator
// sent it.
type routeVersion struct {
	service string
	sentAt  time.Time
}

// playRegress moves a route from service to service. The clients use one gateway, which serves a part of their
// requests in its region and relays the others to the region that caches their prompts. The store turns that gateway
// away, so that it learns of the changes from the other one. It checks that no request is run by an older service
// once a worker of a newer one has run a request of the same gateway.
func playRegress(record *recorder, isTroubled bool) (bool, error) {
	f, err := newFleet(record, map[string]string{"north-a": "north", "south-a": "south"})
	if err != nil {
		return false, err
	}
	defer f.close()
	storeAddress := f.ip(250) + ":" + storePort
	if _, err := f.serve(storeAddress, f.store.Handler()); err != nil {
		return false, err
	}
	// The store's calls come from any loopback address, so the gateway that is turned away has an address of
	// the store for itself.
	var turnsAway atomic.Bool
	storeOfEntry, handler := f.ip(251)+":"+storePort, f.store.Handler()
	if _, err := f.serve(storeOfEntry, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if turnsAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})); err != nil {
		return false, err
	}
	const host = "crew.example"
	services := make([]string, 3)
	definitions := make([]map[string]any, len(services))
	for n := range services {
		services[n] = fmt.Sprintf("dispatch-%d", n+1)
		definitions[n] = cwstandin.NewPublishedEngineService(services[n], 2.3)
	}
	var versions []routeVersion
	publish := func() {
		v := routeVersion{service: services[len(versions)%len(services)], sentAt: time.Now()}
		versions = append(versions, v)
		f.store.PutJSON(cwstandin.ConfigKey, cwstandin.NewPublishedConfig(len(versions), definitions,
			[]map[string]any{cwstandin.NewPublishedRoute(host, v.service, "assist", "streaming")}))
		record.add("config   version %d, the route leads to %s; acknowledged", len(versions), v.service)
	}
	publish()
	var workers []*worker
	for n, service := range services {
		for z, zone := range []string{"north-a", "south-a"} {
			w, err := f.startWorker(101+2*n+z, fmt.Sprintf("%s-%s", service, zone), service, zone, 64)
			if err != nil {
				return false, err
			}
			w.work = 40 * time.Millisecond
			workers = append(workers, w)
		}
	}
	seeds := []string{f.ip(1) + ":" + controlPort, f.ip(2) + ":" + controlPort, f.ip(3) + ":" + controlPort}
	for n, zone := range []string{"north-a", "south-a", "south-a"} {
		address := storeAddress
		if zone == "north-a" {
			address = storeOfEntry
		}
		if _, err := f.startGateway(n+1, zone, address, seeds); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	entry := f.gateways[0]
	answers := make(chan answer, 100000)
	stop, done := make(chan struct{}), make(chan struct{})
	for range 8 {
		go func() {
			defer func() { done <- struct{}{} }()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					answers <- f.sendPrompt(entry, host, "/assist/1", 5*time.Second)
				}
			}
		}()
	}
	time.Sleep(7 * time.Second)
	for range refusals {
		if isTroubled {
			turnsAway.Store(true)
			record.add("trouble  the store turns %s away for %v", entry.ip, refusalTime)
		}
		refusedUntil := time.Now().Add(refusalTime)
		for time.Until(refusedUntil) > changeInterval {
			time.Sleep(changeInterval)
			publish()
		}
		time.Sleep(time.Until(refusedUntil))
		turnsAway.Store(false)
		record.add("trouble  over")
		time.Sleep(2 * time.Second)
	}
	close(stop)
	for range 8 {
		<-done
	}
	close(answers)
	sentAt := make(map[string]time.Time)
	total, served := 0, 0
	for a := range answers {
		sentAt[a.id] = a.sentAt
		total++
		if a.status == http.StatusOK {
			served++
		}
	}
	broken := 0
	for n := 1; n < len(versions); n++ {
		v, end := versions[n], time.Now()
		if n+1 < len(versions) {
			end = versions[n+1].sentAt
		}
		var seenAt time.Time
		var others []run
		for _, w := range workers {
			for _, r := range w.allRuns() {
				switch {
				case r.at.Before(v.sentAt) || !r.at.Before(end):
				case w.service != v.service:
					others = append(others, r)
				case seenAt.IsZero() || r.at.Before(seenAt):
					seenAt = r.at
				}
			}
		}
		older, last := 0, time.Duration(0)
		for _, r := range others {
			if after := sentAt[r.id].Sub(seenAt); !seenAt.IsZero() && after > rollbackSlack {
				older++
				last = max(last, after)
				record.add("older    %s, sent %v after a worker had run a request by version %d", r.id, after.Round(time.Millisecond), n+1)
			}
		}
		broken += older
		if older > 0 {
			record.result("version %d: %d requests that were sent later than %v after a worker had run one by it were run by the service of the version before, the last sent %v after it",
				n+1, older, rollbackSlack, last.Round(time.Millisecond))
		}
	}
	record.result("%d requests, %d served; %d changes, %d requests handled as only an older version allows", total, served, len(versions)-1, broken)
	return broken == 0, nil
}
