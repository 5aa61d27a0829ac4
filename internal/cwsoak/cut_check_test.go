package cwsoak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// lossSlack is how long after its last byte a request may cross the close of its
	// connection by the platform's rules.
	lossSlack = 200 * time.Millisecond
	// calmTime is the time without unplanned fault before a request that makes it count.
	calmTime = time.Second
	// transferReserve is the part of a time limit that instances reserve for the transfer of
	// the response: 30 ms at each of the two instances that a relayed request passes.
	transferReserve = 2 * 30 * time.Millisecond
	// requestDeadline is the deadline of requests and the timeout of their routes.
	requestDeadline = 4*time.Second - transferReserve
	shutdownGrace   = 4 * time.Second
)

// recordFailure records a request that was not served.
func (s *soakRun) recordFailure(resp response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp.err != nil || resp.status != http.StatusOK && !resp.isOverQuota() && resp.status != http.StatusUnauthorized {
		s.unserved = append(s.unserved, resp)
	}
	if resp.isCut {
		s.cuts = append(s.cuts, resp)
	}
}

// checkCuts checks that no instance dropped a request, whether it ran normally or planned
// work was under way. All events of the run are known then.
func (s *soakRun) checkCuts() {
	excused, dropped := make(map[string]int), 0
	for _, resp := range s.cuts {
		excuse := s.excuseCut(resp)
		if excuse != "" {
			excused[excuse]++
			continue
		}
		if dropped++; dropped > maxReportedFailures {
			continue
		}
		o, w := s.findWork(resp)
		sinceTerm := "no SIGTERM near it"
		if shutdown, ok := resp.instance.findShutdown(resp); ok {
			sinceTerm = fmt.Sprint(resp.endedAt.Sub(shutdown.from), " after SIGTERM")
		}
		s.t.Errorf("%s (%s): %s closed the connection without a complete response %v after the whole request was sent, %s; had read it: %v, had sent it to a worker: %v, worker broke off: %v, connection idle before for %v: %v",
			resp.requestID, resp.route, resp.instance.ip, resp.endedAt.Sub(resp.sentAt), sinceTerm, resp.isRead, o != nil, w.brokeOff, resp.idleTime, resp.err)
	}
	if dropped > maxReportedFailures {
		s.t.Errorf("%d requests were dropped; the first %d are reported", dropped, maxReportedFailures)
	}
	s.t.Logf("%d connections ended without a complete response, excused: %v", len(s.cuts), excused)
}

// excuseCut returns why a connection may have ended without a complete response, or "".
func (s *soakRun) excuseCut(resp response) string {
	o, w := s.findWork(resp)
	switch {
	case o == nil && !resp.isRead && resp.endedAt.Sub(resp.sentAt) <= lossSlack && s.mayClose(resp):
		// The request crossed the close: the instance was not seen to read it, no worker got
		// it, and the close came within the platform's bound.
		return "unread"
	case resp.instance.hadFault(resp.sentAt.Add(-calmTime), resp.endedAt):
		// The process was killed or paused.
		return "instance fault"
	case resp.endedAt.Sub(resp.startedAt) >= requestDeadline:
		// The deadline and the route's timeout were reached.
		return "deadline"
	case resp.route == "time" && resp.endedAt.Sub(resp.startedAt) >= shortRouteTimeout-transferReserve:
		// A configuration shortens the timeout of this route.
		return "short timeout"
	case o != nil && w.brokeOff:
		// The worker broke off the response.
		return "worker broke off"
	case s.reachedFault(resp.requestID):
		// A proxy to a worker dropped bytes or reset the connection with this request on it.
		return "worker connection"
	case s.reachedEnd(resp):
		// A worker ended as it had sent the whole stream. Without a length nothing tells that.
		return "worker end"
	case o != nil && o.domain != resp.instance.domain && s.hadExitFault(o.domain, resp):
		// Another domain served the request, and an instance there was killed or paused.
		return "exit fault"
	case o != nil && isGraceOver(resp, w):
		// The worker was still at work in the last sixth of the shutdown grace.
		return "end of grace"
	}
	return ""
}

// mayClose reports whether an instance had a reason to close a connection that carried no
// request: it was stopping, or the connection was idle for longer than callers let it be
// under any configuration.
func (s *soakRun) mayClose(resp response) bool {
	_, isStopping := resp.instance.findShutdown(resp)
	return isStopping || resp.idleTime > shortIdleTimeout*4/5
}

// findWork returns the worker that a request has reached, nil if none, and its work there.
// A worker that broke off or works on comes before others.
func (s *soakRun) findWork(resp response) (*workerObserver, work) {
	var observer *workerObserver
	var latest work
	for _, o := range s.observers {
		w, ok := o.find(resp.requestID)
		if ok && (observer == nil || w.brokeOff || !latest.brokeOff && w.endedAt.IsZero()) {
			observer, latest = o, w
		}
	}
	return observer, latest
}

// isGraceOver reports whether a worker was still at work in the last sixth of the shutdown
// grace, on a request that was sent at most 3 s after SIGTERM.
func isGraceOver(resp response, w work) bool {
	shutdown, ok := resp.instance.findShutdown(resp)
	lastSixth := shutdown.from.Add(shutdown.grace * 5 / 6)
	return ok && resp.sentAt.Sub(shutdown.from) <= 3*time.Second && !resp.endedAt.Before(lastSixth) &&
		(w.endedAt.IsZero() || !w.endedAt.Before(lastSixth))
}

func (s *soakRun) reachedFault(id string) bool {
	return slices.ContainsFunc(s.workerProxies, func(p *proxy) bool { return p.hasDisturbed(id) })
}

// reachedEnd reports whether a worker with the request of a stream ended meanwhile, and the caller has
// all events.
func (s *soakRun) reachedEnd(resp response) bool {
	return strings.Count(resp.body, "\n\n") == 6 && slices.ContainsFunc(s.observers, func(o *workerObserver) bool {
		_, ok := o.find(resp.requestID)
		return ok && o.findProxy().hadEnd(resp.sentAt, resp.endedAt)
	})
}

func (s *soakRun) hadExitFault(domain string, resp response) bool {
	return slices.ContainsFunc(s.instances, func(p *gatewayProcess) bool {
		return p.domain == domain && p.hadFault(resp.sentAt.Add(-calmTime), resp.endedAt)
	})
}
