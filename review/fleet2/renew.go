package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// renewRounds is the number of replacements of half of the workers, and renewInterval the time from
	// one to the next. renewGap is the time between two workers that are replaced.
	renewRounds   = 6
	renewInterval = 9 * time.Second
	renewGap      = time.Second
	// heartbeatTime is heartbeat-ms: a worker writes its entry that long after it has started.
	heartbeatTime = 1200 * time.Millisecond
	// renewStreamInterval is the time between two new streams.
	renewStreamInterval = 125 * time.Millisecond
	// renewEvents and renewEventInterval are the events of a stream and the time between two.
	renewEvents, renewEventInterval = 30, 100 * time.Millisecond
	// maxJoined is the number of streams of two versions that the rule allows.
	maxJoined = 2
)

// renewable is a worker whose program is replaced in place: the new one takes over the listening socket,
// and the connections of the old one end.
type renewable struct {
	*worker
	id      string
	current atomic.Pointer[engine]

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (f *fleet) addRenewable(service string, zone, number int) (*renewable, error) {
	r := &renewable{id: fmt.Sprintf("i-%s-%d-%d", service, zone, number), conns: make(map[net.Conn]bool)}
	r.worker = &worker{service: service, zone: places[zone].zone, version: "v1", address: f.ip(100+zone, number) + ":8080", born: time.Now().UnixMilli()}
	r.current.Store(newEngine(r.id, r.version, r.born, renewEvents, renewEventInterval))
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return nil, fmt.Errorf("listen for worker %s: %w", r.id, err)
	}
	r.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.current.Load().ServeHTTP(w, req) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.conns[c] = true
			if state == http.StateClosed {
				delete(r.conns, c)
			}
		},
	}
	go func() { _ = r.server.Serve(l) }()
	f.put(r.id, r.worker, "ready")
	return r, nil
}

// renew replaces the program by one of another version. Its entry follows with its first heartbeat.
func (f *fleet) renew(r *renewable, version string) {
	r.born, r.version = time.Now().UnixMilli(), version
	r.current.Store(newEngine(r.id, version, r.born, renewEvents, renewEventInterval))
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	f.logf("%s runs %s", r.id, version)
	time.AfterFunc(heartbeatTime, func() {
		f.put(r.id, r.worker, "ready")
		f.logf("%s writes its entry: %s", r.id, version)
	})
}

// playRenew replaces the programs of half of the workers in place by another software version, one after
// the other, and then those of the other half, while streams run. It checks that no more than two streams
// hold events of two versions in one answer.
func playRenew(f *fleet, hasTrouble bool) (bool, error) {
	f.store.put("op/config", streamConfig())
	var workers []*renewable
	for n := range 4 {
		r, err := f.addRenewable("pool", 0, n+1)
		if err != nil {
			return false, err
		}
		workers = append(workers, r)
	}
	for zone := 1; zone < len(places); zone++ {
		if err := f.addEngine("pool", zone, 1, renewEvents, renewEventInterval); err != nil {
			return false, err
		}
	}
	if err := f.startGateways(); err != nil {
		return false, err
	}
	if err := f.awaitServing("/look/", 20*time.Second); err != nil {
		return false, err
	}
	f.logf("all instances serve")
	time.Sleep(contactTime + 2*time.Second)
	end := time.Now().Add(renewRounds * renewInterval)
	var mu sync.Mutex
	total, complete, joined := 0, 0, 0
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			g := f.gateways[n%gatewaysIn[0]]
			wg.Go(func() {
				s, err := g.openStream("/assist/x", f.newID("stream"), "", "", streamDeadline)
				if err != nil {
					f.logf("no stream at %s: %v", g.ip, err)
					return
				}
				s.readAll()
				mu.Lock()
				defer mu.Unlock()
				total++
				if s.isComplete {
					complete++
				}
				if len(s.versions) > 1 {
					joined++
					var versions []string
					for v := range s.versions {
						versions = append(versions, v)
					}
					f.logf("%s at %s holds events of %s in one answer; %d events, complete: %v", s.id, g.ip, strings.Join(versions, " and "), len(s.events), s.isComplete)
				}
			})
			time.Sleep(renewStreamInterval)
		}
	})
	for round := range renewRounds {
		next := time.Now().Add(renewInterval)
		time.Sleep(4 * time.Second)
		first := round % 2 * 2
		for n := range 2 {
			if hasTrouble {
				f.renew(workers[first+n], fmt.Sprint("v", round/2+2))
			}
			time.Sleep(renewGap)
		}
		time.Sleep(time.Until(next))
	}
	wg.Wait()
	f.logf("%d streams, %d complete; %d hold events of two versions in one answer, %d allowed", total, complete, joined, maxJoined)
	return joined > maxJoined, nil
}
