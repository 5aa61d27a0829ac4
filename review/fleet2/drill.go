package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// awayTime is how long the store is away.
	awayTime = 50 * time.Millisecond
	// watchCycle is a little less than the time from a change to the second watch after it: a pause, a
	// watch that ends without a change, and a pause.
	watchCycle = 9300 * time.Millisecond
	// rewriteTime is the time from the store's return until the operator has written again what was lost.
	rewriteTime = 10 * time.Second
	// splitTimeout is how long the case waits each time until some instances have a watch at the store and
	// others are between two watches.
	splitTimeout = 32 * time.Second
)

// playDrill lets the store come back from a copy right after a change of the configuration that some
// instances have read. The operator writes the change again later. It checks that requests sent later
// than config-apply-ms after the acknowledgement, and while all instances are in touch, are not run by
// the service of before. Without the trouble the store stays.
func playDrill(f *fleet, hasTrouble bool) (bool, error) {
	f.ownStoreAddresses = true
	f.store.put("op/config", stormConfig(1, 0, "old-app"))
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
	time.Sleep(contactTime)
	copied := f.store.copyItems()
	// The instances that are between two watches read this change later than the others, and so are out
	// of step with them until the next one.
	if _, err := f.awaitSplit(); err != nil {
		return false, err
	}
	changedAt := f.store.put("op/config", stormConfig(2, 0, "old-app"))
	f.logf("version 2 is acknowledged")
	time.Sleep(time.Until(changedAt.Add(watchCycle)))
	readers, err := f.awaitSplit()
	if err != nil {
		return false, err
	}
	ackAt := f.store.put("op/config", stormConfig(3, 0, "new-app"))
	f.logf("version 3 is acknowledged: /move/ leads to new-app instead of old-app; a watch waits from %s", strings.Join(readers, ", "))
	returnAt := ackAt
	if hasTrouble {
		time.Sleep(20 * time.Millisecond)
		f.store.leave()
		time.Sleep(awayTime)
		f.store.comeBack(copied)
		returnAt = time.Now()
		f.logf("the store is back from a copy without the versions 2 and 3")
	}
	inTouchAt := returnAt.Add(contactTime + 300*time.Millisecond)
	time.Sleep(time.Until(inTouchAt))
	for time.Since(returnAt) < rewriteTime {
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
		time.Sleep(400 * time.Millisecond)
	}
	f.store.put("op/config", stormConfig(3, 0, "new-app"))
	f.logf("the operator writes version 3 again")
	time.Sleep(2 * time.Second)
	late := 0
	for _, w := range f.workers {
		for _, run := range w.Runs() {
			if w.service == "old-app" && run.ReceivedAt.After(inTouchAt) {
				late++
				f.logf("%s ran at %s of old-app, %.3f s after the acknowledgement", run.RequestID, w.ID, run.ReceivedAt.Sub(ackAt).Seconds())
			}
		}
	}
	f.logf("requests run by the old service: %d", late)
	return late > 0, nil
}

// awaitSplit waits until a watch waits at the store from some instances and from others none, and returns
// the addresses of the first.
func (f *fleet) awaitSplit() ([]string, error) {
	for end := time.Now().Add(splitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		waiting := f.store.waitingAt()
		if len(waiting) == 0 || len(waiting) == len(f.gateways) {
			continue
		}
		var readers []string
		for _, g := range f.gateways {
			if waiting[f.storeAddresses[g.ip]] {
				readers = append(readers, g.ip)
			}
		}
		return readers, nil
	}
	return nil, fmt.Errorf("%w: all instances watch the store at the same times", errUnusable)
}
