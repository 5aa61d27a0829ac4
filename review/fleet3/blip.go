package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

func init() { scripts["blip"] = playBlip }

const (
	// blipTime is how long the machines of the zone are partitioned from all workers.
	blipTime = 3 * time.Second
	// returnAfter is when clients take their streams up after the partition.
	returnAfter = 600 * time.Millisecond
	// newStreamInterval is the time between two new streams that begin meanwhile.
	newStreamInterval = 60 * time.Millisecond
)

// workerLink is the way to a worker. While it is cut, connections are reset and new ones are refused.
type workerLink struct {
	address, target string
	mu              sync.Mutex
	listener        net.Listener
	conns           map[net.Conn]bool
	isCut           bool
}

func newWorkerLink(address, target string) (*workerLink, error) {
	l := &workerLink{address: address, target: target, conns: make(map[net.Conn]bool)}
	return l, l.open()
}

func (l *workerLink) open() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener, l.isCut = listener, false
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(c)
		}
	}()
	return nil
}

// cut resets all connections and refuses new ones.
func (l *workerLink) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = true
	_ = l.listener.Close()
	for c := range l.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// add records a connection. It returns false if the link is cut.
func (l *workerLink) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return !l.isCut
}

func (l *workerLink) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}

// pass copies the bytes of a connection both ways. The end of one side ends the other.
func (l *workerLink) pass(c net.Conn) {
	defer l.remove(c)
	if !l.add(c) {
		reset(c)
		return
	}
	w, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(c)
		return
	}
	defer l.remove(w)
	if !l.add(w) {
		reset(w)
		return
	}
	go func() {
		_, _ = io.Copy(w, c)
		_ = w.Close()
	}()
	_, _ = io.Copy(c, w)
}

// playBlip partitions all machines of a zone from all workers for some seconds, and checks that clients can take
// their streams up again afterwards.
func playBlip(record *recorder, isTroubled bool) (bool, error) {
	f, err := newFleet(record, map[string]string{"north-a": "north", "south-a": "south"})
	if err != nil {
		return false, err
	}
	defer f.close()
	storeAddress := f.ip(250) + ":" + storePort
	if _, err := f.serve(storeAddress, f.store.Handler()); err != nil {
		return false, err
	}
	const host, service = "crew.example", "pool"
	route := cwstandin.NewPublishedRoute(host, service, "assist", "streaming")
	route["timeout-ms"], route["target-latency-ms"], route["resumable"], route["session-affinity"] = 12000, 600, true, true
	route["home-regions"] = []string{"north"}
	f.store.PutJSON(cwstandin.ConfigKey, cwstandin.NewPublishedConfig(1, []map[string]any{cwstandin.NewPublishedEngineService(service, 2.3)}, []map[string]any{route}))
	var links []*workerLink
	for n := range 8 {
		w, err := f.startWorker(101+n, fmt.Sprintf("w-%d", n+1), service, "north-a", 64)
		if err != nil {
			return false, err
		}
		w.events, w.eventInterval = streamEvents, 100*time.Millisecond
		l, err := newWorkerLink(f.ip(151+n)+":"+workerPort, w.address)
		if err != nil {
			return false, err
		}
		f.closers = append(f.closers, l.cut)
		links = append(links, l)
		w.address = l.address
		w.beat("ready", 2)
	}
	seeds := []string{f.ip(1) + ":" + controlPort, f.ip(2) + ":" + controlPort, f.ip(4) + ":" + controlPort}
	for n, zone := range []string{"north-a", "north-a", "north-a", "south-a"} {
		if _, err := f.startGateway(n+1, zone, storeAddress, seeds); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	gateways := f.gateways[:3]
	time.Sleep(7 * time.Second)
	breakConns := make(chan struct{})
	clients := make([]*streamClient, streams)
	var first sync.WaitGroup
	for n := range clients {
		c := &streamClient{f: f, prefix: fmt.Sprintf("5c1e07a2:119,%x:79,%x:630", n%7, 0x10000+n), beganAt: time.Now()}
		clients[n] = c
		first.Go(func() { c.attempt(gateways[n%3], host, breakConns) })
		time.Sleep(streamsBeginWithin / streams)
	}
	time.Sleep(breakAfter)
	brokenAt := time.Now()
	if isTroubled {
		for _, l := range links {
			l.cut()
		}
		record.add("trouble  all machines of the zone are partitioned from all workers")
	} else {
		close(breakConns)
	}
	first.Wait()
	record.add("over     the streams have broken, %v after it", time.Since(brokenAt).Round(time.Millisecond))
	time.Sleep(time.Until(brokenAt.Add(blipTime)))
	if isTroubled {
		for _, l := range links {
			if err := l.open(); err != nil {
				return false, err
			}
		}
		record.add("trouble  over")
	}
	time.Sleep(time.Until(brokenAt.Add(blipTime + returnAfter)))
	never := make(chan struct{})
	var attempts sync.WaitGroup
	var mu sync.Mutex
	goneOn, tried, newBegan := 0, 0, 0
	fresh := make([]*streamClient, streams)
	for n, c := range clients {
		fresh[n] = &streamClient{f: f, prefix: fmt.Sprintf("5c1e07a2:119,%x:79,%x:630", n%7, 0x20000+n), beganAt: time.Now()}
		attempts.Go(func() {
			_, events := fresh[n].attempt(gateways[n%3], host, never)
			mu.Lock()
			defer mu.Unlock()
			if events > 0 {
				newBegan++
			}
		})
		if c.events > 0 && c.events < streamEvents {
			tried++
			attempts.Go(func() {
				_, events := c.attempt(gateways[(n+1)%3], host, never)
				mu.Lock()
				defer mu.Unlock()
				if events > 0 {
					goneOn++
				}
			})
		}
		time.Sleep(newStreamInterval)
	}
	attempts.Wait()
	record.result("taken up from %v after the partition on, while eight workers serve: %d of %d streams went on; of %d new streams %d began", returnAfter, goneOn, tried, streams, newBegan)
	if tried < 12 {
		return true, fmt.Errorf("only %d streams were taken up", tried)
	}
	return 2*goneOn*streams >= newBegan*tried, nil
}
