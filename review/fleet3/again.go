package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

func init() { scripts["again"] = playAgain }

// playAgain lets a running worker become cold again, which its entry states at once, and checks that it gets no
// more requests than its rate allows.
func playAgain(record *recorder, isTroubled bool) (bool, error) {
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
	workers := make([]*worker, 4)
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
	start := time.Now()
	end := start.Add(40 * time.Second)
	stopBeats := make(chan struct{})
	defer close(stopBeats)
	for n, w := range workers {
		go func() {
			time.Sleep(time.Duration(n) * heartbeat / time.Duration(len(workers)))
			for sequence := 2; ; sequence++ {
				select {
				case <-stopBeats:
					return
				case <-time.After(heartbeat):
					w.beat("ready", sequence)
				}
			}
		}()
	}
	answers := make(chan answer, 100000)
	done := make(chan struct{})
	const callers = 6
	for n := range callers {
		go func() {
			defer func() { done <- struct{}{} }()
			for time.Now().Before(end) {
				answers <- f.sendPrompt(f.gateways[n%2], host, "/assist/1", 5*time.Second)
				time.Sleep(25 * time.Millisecond)
			}
		}()
	}
	type period struct {
		w  *worker
		at time.Time
	}
	var periods []period
	for n := range 4 {
		time.Sleep(time.Until(start.Add(time.Duration(7000+8130*n) * time.Millisecond)))
		w := workers[n]
		if isTroubled {
			w.setCold(coldTime)
		}
		w.beat("ready", 100+n)
		periods = append(periods, period{w, time.Now()})
		record.add("cold     %s for %v; its entry is acknowledged", w.id, coldTime)
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
	limit := coldPerSecond*coldOverage + coldSlack
	broken := 0
	for _, p := range periods {
		var arrivals []run
		for _, r := range p.w.allRuns() {
			if r.at.After(p.at) && sentAt[r.id].After(p.at) && r.at.Before(p.at.Add(coldTime)) {
				arrivals = append(arrivals, r)
			}
		}
		most := mostInSecond(arrivals, sentAt)
		last := time.Duration(0)
		if len(arrivals) > 0 {
			last = arrivals[len(arrivals)-1].at.Sub(p.at)
		}
		if !isTroubled {
			record.result("%s: not cold, %d requests within %v, at most %d in one second", p.w.id, len(arrivals), coldTime, most)
			continue
		}
		record.result("%s: %d requests while cold, the last %v after its entry was acknowledged, at most %d were sent and arrived inside one second; the rule allows %.2f",
			p.w.id, len(arrivals), last.Round(time.Millisecond), most, limit)
		if float64(most) > limit {
			broken++
		}
	}
	record.result("%d requests, %d served", total, served)
	return broken == 0, nil
}
