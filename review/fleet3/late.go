package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

func init() { scripts["late"] = playLate }

// Figures of the service, and of how its workers start again.
const (
	coldPerSecond   = 2.3
	coldOverage     = 1.5
	coldSlack       = 3
	coldTime        = 3 * time.Second
	heartbeat       = 1200 * time.Millisecond
	downTime        = 1500 * time.Millisecond
	writeDelay      = 1800 * time.Millisecond
	writeBeforeDown = 100 * time.Millisecond
)

// playLate starts a worker again under its identifier, cold, while a heartbeat of its life before is done late at
// the store, and checks that the cold worker gets no more requests than its rate allows.
func playLate(record *recorder, isTroubled bool) (bool, error) {
	f, err := newFleet(record, map[string]string{"north-a": "north"})
	if err != nil {
		return false, err
	}
	defer f.close()
	storeAddress := f.ip(250) + ":" + storePort
	if _, err := f.serve(storeAddress, f.store.Handler()); err != nil {
		return false, err
	}
	const host, service = "crew.example", "pool"
	pool := cwstandin.NewPublishedEngineService(service, coldPerSecond)
	pool["max-connections"], pool["health-path"] = 370, "/health"
	route := cwstandin.NewPublishedRoute(host, service, "assist", "streaming")
	route["session-affinity"] = true
	f.store.PutJSON(cwstandin.ConfigKey, cwstandin.NewPublishedConfig(1, []map[string]any{pool}, []map[string]any{route}))
	workers := make([]*worker, 8)
	for n := range workers {
		w, err := f.startWorker(101+n, fmt.Sprintf("w-%d", n+1), service, "north-a", 64)
		if err != nil {
			return false, err
		}
		w.work = 15 * time.Millisecond
		workers[n] = w
	}
	seeds := []string{f.ip(1) + ":" + controlPort, f.ip(2) + ":" + controlPort}
	for n := 1; n <= 2; n++ {
		if _, err := f.startGateway(n, "north-a", storeAddress, seeds); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	end := time.Now().Add(18 * time.Second)
	answers := make(chan answer, 100000)
	done := make(chan struct{})
	const callers = 12
	for n := range callers {
		go func() {
			defer func() { done <- struct{}{} }()
			for time.Now().Before(end) {
				answers <- f.sendPrompt(f.gateways[n%2], host, "/assist/1", 5*time.Second)
				time.Sleep(25 * time.Millisecond)
			}
		}()
	}
	time.Sleep(7 * time.Second)
	restarted := workers[0]
	oldEntry := restarted.entry("ready", 5)
	time.Sleep(writeBeforeDown)
	restarted.stop()
	crashedAt := time.Now()
	record.add("crashed  %s", restarted.id)
	time.Sleep(downTime)
	if err := restarted.restart(coldTime); err != nil {
		return false, err
	}
	startedAt := time.Now()
	restarted.beat("ready", 1)
	record.add("started  %s again at the same address, cold for %v; its entry is acknowledged", restarted.id, coldTime)
	if isTroubled {
		time.Sleep(time.Until(crashedAt.Add(writeDelay - writeBeforeDown)))
		f.store.PutJSON(cwstandin.WorkerKeyPrefix+restarted.id, oldEntry)
		record.add("trouble  the store has done a heartbeat of the life before, %v after it was sent", writeDelay)
	}
	for sequence := 2; time.Since(startedAt) < coldTime+heartbeat; sequence++ {
		time.Sleep(time.Until(startedAt.Add(time.Duration(sequence-1) * heartbeat)))
		restarted.beat("ready", sequence)
	}
	for range callers {
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
	var arrivals []run
	for _, r := range restarted.allRuns() {
		if r.at.After(startedAt) && r.at.Before(startedAt.Add(coldTime)) {
			arrivals = append(arrivals, r)
		}
	}
	most := mostInSecond(arrivals, sentAt)
	limit := coldPerSecond*coldOverage + coldSlack
	record.result("%d requests, %d served; the cold worker got %d requests within %v, at most %d that were sent and arrived inside one second; the rule allows %.2f",
		total, served, len(arrivals), coldTime, most, limit)
	return float64(most) <= limit, nil
}

// mostInSecond returns the largest number of requests that were sent and arrived inside one second.
func mostInSecond(arrivals []run, sentAt map[string]time.Time) int {
	slices.SortFunc(arrivals, func(a, b run) int { return a.at.Compare(b.at) })
	most := 0
	for _, last := range arrivals {
		n := 0
		for _, r := range arrivals {
			if !r.at.After(last.at) && last.at.Sub(sentAt[r.id]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
