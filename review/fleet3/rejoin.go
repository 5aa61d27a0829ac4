package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

func init() { scripts["rejoin"] = playRejoin }

const (
	// streams is the number of streams that are in progress as the processes are killed.
	streams = 24
	// streamEvents is the number of events of a stream.
	streamEvents = 30
	// streamsBeginWithin is the time within which they begin, and breakAfter the time from then to the kill.
	streamsBeginWithin, breakAfter = 600 * time.Millisecond, 900 * time.Millisecond
	// streamDeadline is how long a client waits, over all its attempts.
	streamDeadline = 12 * time.Second
	// restartAfter is how long the processes are down.
	restartAfter = 500 * time.Millisecond
	// firstReturn and secondReturn are when clients take their streams up after the break. By the second one all
	// processes have run for longer than contact-ms, 6 s.
	firstReturn, secondReturn = 1500 * time.Millisecond, 7200 * time.Millisecond
)

// streamClient reads a stream, and takes it up again after a break.
type streamClient struct {
	f       *fleet
	prefix  string
	beganAt time.Time
	// firstID is the identifier of the attempt that brought the first event.
	firstID string
	// events are those that arrived, and version is what began the stream.
	events  int
	version string
	isMixed bool
}

// attempt reads events from a gateway until the stream ends or breaks, or until stop is closed. It returns the status,
// and how many events it brought.
func (c *streamClient) attempt(g *gateway, host string, stop <-chan struct{}) (status, events int) {
	id := nextRequestID()
	req, err := http.NewRequest(http.MethodPost, "http://"+g.ip+":"+frontPort+"/assist/1", nil)
	if err != nil {
		return 0, 0
	}
	req.Host = host
	for name, value := range map[string]string{
		cwstandin.RequestIDHeader: id, "Clementinewell-Model": "m", "Clementinewell-Token-Count": "828,180", "Clementinewell-Prompt-Prefix": c.prefix,
		cwstandin.DeadlineHeader: strconv.FormatInt((streamDeadline - time.Since(c.beganAt)).Milliseconds(), 10),
	} {
		req.Header.Set(name, value)
	}
	if c.events > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(c.events))
		req.Header.Set("Resumes", c.firstID)
	}
	c.f.record.add("sent     %s to=%s resumes=%q after event %d", id, g.ip, c.firstID, c.events)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		c.f.record.add("answered %s error=%v", id, err)
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-stop:
			_ = resp.Body.Close()
		case <-ended:
		}
	}()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		c.f.record.add("answered %s status=%d retry-after=%q %s", id, resp.StatusCode, resp.Header.Get("Retry-After"), strings.TrimSpace(string(text)))
		return resp.StatusCode, 0
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		version, _, _ := strings.Cut(data, " ")
		if c.events == 0 {
			c.firstID, c.version = id, version
		}
		c.isMixed = c.isMixed || version != c.version
		c.events++
		events++
	}
	c.f.record.add("answered %s status=200 events=%d error=%v", id, events, lines.Err())
	return resp.StatusCode, events
}

// playRejoin kills all processes at once while workers of two software versions serve, and checks that clients can
// take their streams up again.
func playRejoin(record *recorder, isTroubled bool) (bool, error) {
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
	f.store.PutJSON(cwstandin.ConfigKey, cwstandin.NewPublishedConfig(1, []map[string]any{cwstandin.NewPublishedEngineService(service, 2.3)}, []map[string]any{route}))
	zones := []string{"north-a", "south-a"}
	for n := range 8 {
		w, err := f.startWorker(101+n, fmt.Sprintf("w-%d", n+1), service, zones[n%2], 64)
		if err != nil {
			return false, err
		}
		w.version, w.events, w.eventInterval = fmt.Sprintf("v%d", 1+n/4), streamEvents, 100*time.Millisecond
		w.beat("ready", 2)
	}
	seeds := []string{f.ip(1) + ":" + controlPort, f.ip(2) + ":" + controlPort, f.ip(3) + ":" + controlPort}
	start := func() ([]*gateway, error) {
		var gateways []*gateway
		for n := range 4 {
			g, err := f.startGateway(n+1, zones[n%2], storeAddress, seeds)
			if err != nil {
				return nil, err
			}
			gateways = append(gateways, g)
		}
		return gateways, nil
	}
	gateways, err := start()
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(7 * time.Second)
	breakConns := make(chan struct{})
	clients := make([]*streamClient, streams)
	var first sync.WaitGroup
	for n := range clients {
		c := &streamClient{f: f, prefix: fmt.Sprintf("5c1e07a2:119,%x:79,%x:630", n%7, 0x10000+n), beganAt: time.Now()}
		clients[n] = c
		first.Go(func() { c.attempt(gateways[n%4], host, breakConns) })
		time.Sleep(streamsBeginWithin / streams)
	}
	time.Sleep(breakAfter)
	brokenAt := time.Now()
	if isTroubled {
		for _, g := range gateways {
			g.signal(syscall.SIGKILL)
		}
		record.add("trouble  SIGKILL to all processes")
	}
	close(breakConns)
	first.Wait()
	began := 0
	for _, c := range clients {
		if c.events > 0 {
			began++
		}
	}
	if isTroubled {
		time.Sleep(time.Until(brokenAt.Add(restartAfter)))
		if gateways, err = start(); err != nil {
			return false, err
		}
		record.add("started  all processes again")
	}
	never := make(chan struct{})
	takeUp := func(after time.Duration) (goneOn, tried int) {
		time.Sleep(time.Until(brokenAt.Add(after)))
		var attempts sync.WaitGroup
		var mu sync.Mutex
		for n, c := range clients {
			if c.events == 0 || c.events == streamEvents {
				continue
			}
			tried++
			attempts.Go(func() {
				_, events := c.attempt(gateways[(n+1)%4], host, never)
				mu.Lock()
				defer mu.Unlock()
				if events > 0 {
					goneOn++
				}
			})
		}
		attempts.Wait()
		return goneOn, tried
	}
	goneOnEarly, triedEarly := 0, 0
	if isTroubled {
		goneOnEarly, triedEarly = takeUp(firstReturn)
	}
	fresh := make([]*streamClient, streams)
	var others sync.WaitGroup
	time.Sleep(time.Until(brokenAt.Add(secondReturn - 100*time.Millisecond)))
	for n := range fresh {
		c := &streamClient{f: f, prefix: fmt.Sprintf("5c1e07a2:119,%x:79,%x:630", n%7, 0x20000+n), beganAt: time.Now()}
		fresh[n] = c
		others.Go(func() { c.attempt(gateways[n%4], host, never) })
	}
	goneOn, tried := takeUp(secondReturn)
	others.Wait()
	newBegan, mixed := 0, 0
	for _, c := range fresh {
		if c.events > 0 {
			newBegan++
		}
	}
	for _, c := range clients {
		if c.isMixed {
			mixed++
		}
	}
	record.result("%d streams began; taken up %v after the break, by machines that had just started: %d of %d went on", began, firstReturn, goneOnEarly, triedEarly)
	record.result("taken up %v after the break, at machines in touch, while four workers of each of two versions serve: %d of %d went on; of %d new streams %d began; %d streams hold two versions",
		secondReturn, goneOn, tried, streams, newBegan, mixed)
	if tried < 12 {
		return true, fmt.Errorf("only %d streams were taken up at machines in touch", tried)
	}
	return 2*goneOn*streams >= newBegan*tried, nil
}
