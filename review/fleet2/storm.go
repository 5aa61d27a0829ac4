package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// addedRoutes is by how many routes the configuration grows: the largest dose of the pages.
	addedRoutes = 1860
	// stormTime and stormGap are how long configurations come in quick succession, and at what gap.
	stormTime, stormGap = 1500 * time.Millisecond, 60 * time.Millisecond
	// contactTime and configApplyTime are bounds.contact-ms and bounds.config-apply-ms.
	contactTime, configApplyTime = 6 * time.Second, 4 * time.Second
	// observedTime is how long requests are sent after the bound has passed.
	observedTime = 10 * time.Second
)

// stormConfig returns a configuration. The route /move/ leads to the given service.
func stormConfig(version, extraRoutes int, moveTo string) map[string]any {
	route := func(name, service string) map[string]any {
		return map[string]any{
			"name": "r-" + name, "host": host, "path-prefix": "/" + name + "/", "type": "safe", "timeout-ms": 5000, "target-latency-ms": 600,
			"priority": 2, "service": service, "max-attempts": 2, "session-affinity": false, "resumable": false, "gap-aim-ms": 300,
			"home-regions": []string{"sask-south", "alberta-central", "manitoba-west"},
		}
	}
	routes := []map[string]any{route("move", moveTo), route(fmt.Sprint("version", version), moveTo)}
	for n := range extraRoutes {
		r := route(fmt.Sprintf("idle%04d", n), "")
		delete(r, "service")
		r["traffic-split"] = []map[string]any{{"service": "old-app", "weight": 90}, {"service": "new-app", "weight": 10}}
		routes = append(routes, r)
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false, "cold-s": 0.0, "cold-per-s": 0.0}
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{service("old-app"), service("new-app")},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// playStorm lets the configuration grow by many routes, and lets configurations come in quick
// succession, of which the last moves a route to another service. Without the trouble only the last
// comes. It checks that requests sent later than config-apply-ms after its acknowledgement are not run
// by the service of before.
func playStorm(f *fleet, hasTrouble bool) (bool, error) {
	version := 1
	f.store.put("op/config", stormConfig(version, 0, "old-app"))
	for zone := range places {
		for n, service := range []string{"old-app", "new-app"} {
			if _, err := f.addWorker(service, zone, n+1); err != nil {
				return false, err
			}
		}
	}
	if err := f.startGateways(); err != nil {
		return false, err
	}
	if err := f.awaitServing("/move/", 20*time.Second); err != nil {
		return false, err
	}
	f.logf("all instances serve")
	version += 3
	f.store.put("op/config", stormConfig(version, addedRoutes, "old-app"))
	f.logf("version %d is acknowledged: %d routes more, %d bytes", version, addedRoutes, f.store.size("op/config"))
	if err := f.awaitServing(fmt.Sprintf("/version%d/", version), 10*time.Second); err != nil {
		return false, err
	}
	f.logf("version %d is in force at all instances", version)
	time.Sleep(contactTime)
	if hasTrouble {
		for end := time.Now().Add(stormTime); time.Now().Before(end); {
			next := time.Now().Add(stormGap)
			version += 2
			f.store.put("op/config", stormConfig(version, addedRoutes, "old-app"))
			f.logf("version %d is acknowledged", version)
			time.Sleep(time.Until(next))
		}
	}
	version += 2
	ackAt := f.store.put("op/config", stormConfig(version, addedRoutes, "new-app"))
	f.logf("version %d is acknowledged: /move/ leads to new-app instead of old-app", version)
	time.Sleep(time.Until(ackAt.Add(configApplyTime + 200*time.Millisecond)))
	for time.Since(ackAt) < configApplyTime+observedTime {
		var wg sync.WaitGroup
		for _, g := range f.gateways {
			wg.Go(func() {
				id := f.newID("move")
				sentAt := time.Since(ackAt)
				a := g.request(http.MethodGet, "/move/x", id, 5*time.Second)
				f.logf("%s sent to %s %.3f s after the acknowledgement: %d %q %v", id, g.ip, sentAt.Seconds(), a.status, a.body, a.err)
			})
		}
		wg.Wait()
		time.Sleep(500 * time.Millisecond)
	}
	late := 0
	for _, w := range f.workers {
		for _, run := range w.Runs() {
			if w.service == "old-app" && run.ReceivedAt.Sub(ackAt) > configApplyTime+100*time.Millisecond {
				late++
				f.logf("%s ran at %s of old-app, %.3f s after the acknowledgement", run.RequestID, w.ID, run.ReceivedAt.Sub(ackAt).Seconds())
			}
		}
	}
	f.logf("largest response to a watch: %d bytes; requests run by the old service: %d", f.store.largestWatch, late)
	return late > 0, nil
}
