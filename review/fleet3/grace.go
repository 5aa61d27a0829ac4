package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

func init() { scripts["grace"] = playGrace }

const (
	// graceAfter is grace-s after the settings file has changed.
	graceAfter = 4 * time.Second
	// keptConns is the number of connections that clients keep, each for one more request.
	keptConns = 40
	// firstLate is when the first of these requests is sent after SIGTERM, and lateInterval the time between two.
	firstLate, lateInterval = 3100 * time.Millisecond, 20 * time.Millisecond
	// bookingWork is how long a worker takes for a booking.
	bookingWork = 400 * time.Millisecond
)

// keptConn is a connection that a client keeps.
type keptConn struct {
	net.Conn
	f      *fleet
	reader *bufio.Reader
}

func (f *fleet) dial(g *gateway) (*keptConn, error) {
	c, err := net.Dial("tcp", g.ip+":"+frontPort)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c, f: f, reader: bufio.NewReader(c)}, nil
}

// send sends a request on the connection and reads the whole answer.
func (c *keptConn) send(host, path string) answer {
	a := answer{id: nextRequestID(), sentAt: time.Now()}
	c.f.record.add("sent     %s on a kept connection, POST %s", a.id, path)
	_, a.err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 10000\r\nContent-Length: 4\r\n\r\nbook", path, host, cwstandin.RequestIDHeader, a.id, cwstandin.DeadlineHeader)
	if a.err == nil {
		var resp *http.Response
		if resp, a.err = http.ReadResponse(c.reader, nil); a.err == nil {
			a.status = resp.StatusCode
			_, a.err = io.Copy(io.Discard, resp.Body)
		}
	}
	a.at = time.Now()
	c.f.record.add("answered %s status=%d error=%v", a.id, a.status, a.err)
	return a
}

// playGrace stops a gateway by SIGTERM soon after grace-s has become shorter in its settings file, and checks that
// no request that it has passed on to a worker ends without an answer.
func playGrace(record *recorder, isTroubled bool) (bool, error) {
	f, err := newFleet(record, map[string]string{"north-a": "north"})
	if err != nil {
		return false, err
	}
	defer f.close()
	storeAddress := f.ip(250) + ":" + storePort
	if _, err := f.serve(storeAddress, f.store.Handler()); err != nil {
		return false, err
	}
	const host, service = "crew.example", "dispatch"
	f.store.PutJSON(cwstandin.ConfigKey, cwstandin.NewPublishedConfig(1, []map[string]any{cwstandin.NewPublishedPlainService(service)}, []map[string]any{
		cwstandin.NewPublishedRoute(host, service, "booking", "unsafe"), cwstandin.NewPublishedRoute(host, service, "report", "safe"),
	}))
	var workers []*worker
	for n := range 3 {
		w, err := f.startWorker(101+n, fmt.Sprintf("w-%d", n+1), service, "north-a", 24)
		if err != nil {
			return false, err
		}
		w.work = bookingWork
		w.slowPath, w.slowWork = "/report/", 3*time.Second
		workers = append(workers, w)
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
	// Calm for longer than contact-ms.
	time.Sleep(7 * time.Second)
	stopped := f.gateways[0]
	var conns []*keptConn
	for range keptConns {
		c, err := f.dial(stopped)
		if err != nil {
			return false, err
		}
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
	}
	var first sync.WaitGroup
	for n, c := range conns {
		first.Go(func() {
			time.Sleep(time.Duration(n) * lateInterval)
			c.send(host, "/booking/1")
		})
	}
	first.Wait()
	grace := graceBefore
	if isTroubled {
		grace = graceAfter
		stopped.grace = grace
		if err := stopped.writeSettings(storeAddress, seeds); err != nil {
			return false, err
		}
		record.add("trouble  the settings file of %s has changed: grace-s is %g, no signal", stopped.ip, grace.Seconds())
	}
	time.Sleep(time.Second)
	// A request in progress, so that the connections which are kept stay open.
	long, err := f.dial(stopped)
	if err != nil {
		return false, err
	}
	defer func() { _ = long.Close() }()
	slow := make(chan answer, 1)
	time.AfterFunc(1500*time.Millisecond, func() { slow <- long.send(host, "/report/1") })
	stopped.signal(syscall.SIGTERM)
	termAt := time.Now()
	record.add("signal   SIGTERM to %s", stopped.ip)
	kill := time.AfterFunc(grace, func() {
		stopped.signal(syscall.SIGKILL)
		record.add("signal   SIGKILL to %s, %v after SIGTERM", stopped.ip, grace)
	})
	defer kill.Stop()
	answers := make([]answer, len(conns))
	var late sync.WaitGroup
	for n, c := range conns {
		late.Go(func() {
			time.Sleep(time.Until(termAt.Add(firstLate + time.Duration(n)*lateInterval)))
			answers[n] = c.send(host, "/booking/1")
		})
	}
	late.Wait()
	<-slow
	ran := make(map[string]bool)
	for _, w := range workers {
		for _, r := range w.allRuns() {
			ran[r.id] = true
		}
	}
	lost, served, unread := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.err == nil && a.status == http.StatusOK:
			served++
		case a.err != nil && ran[a.id]:
			lost++
			record.add("lost     %s, sent %v after SIGTERM, passed on to a worker, ended %v after SIGTERM without an answer", a.id, a.sentAt.Sub(termAt).Round(time.Millisecond), a.at.Sub(termAt).Round(time.Millisecond))
		default:
			unread++
		}
	}
	record.result("%d bookings later than 3 s after SIGTERM: %d served, %d refused or not read, %d passed on to a worker and cut without an answer", len(answers), served, unread, lost)
	return lost == 0, nil
}
