package cwserver_test

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwserver"
)

// withTimes runs a test, inside a synctest bubble, against a server whose peers may be idle for a time
// that changes.
func withTimes(t *testing.T, idleLimit *atomic.Int64, run func(s *testServer)) {
	t.Helper()
	times := func() (header, idle time.Duration) { return 0, time.Duration(idleLimit.Load()) }
	withLimits(t, respondOK, cwserver.Limits{Times: times}, run)
}

// TestIdleLimitChange guards against requests that cross the close of an idle connection because
// the configuration has changed how long it may be idle, before or while it was. Peers reuse
// connections that were idle for up to four fifths of the newer or the older limit.
func TestIdleLimitChange(t *testing.T) {
	for _, test := range []struct {
		name     string
		old, new time.Duration
		changeAt time.Duration // after the first response
		secondAt time.Duration // of a request after the first response; 0 for none
		idle     time.Duration // before the last request
		isClosed bool
	}{
		{name: "longer while idle", old: 100 * time.Second, new: 300 * time.Second, changeAt: 50 * time.Second, idle: 240 * time.Second},
		{name: "shorter while idle", old: 300 * time.Second, new: 100 * time.Second, changeAt: 50 * time.Second, idle: 240 * time.Second},
		{name: "shorter before it was idle", old: 300 * time.Second, new: 100 * time.Second, changeAt: time.Second, secondAt: 2 * time.Second, idle: 240 * time.Second},
		{name: "shorter a while before", old: 150 * time.Second, new: 100 * time.Second, changeAt: time.Second, secondAt: 90 * time.Second, idle: 118 * time.Second},
		{name: "longer than the limit", old: 100 * time.Second, new: 100 * time.Second, changeAt: time.Second, idle: 101 * time.Second, isClosed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var idleLimit atomic.Int64
			idleLimit.Store(int64(test.old))
			withTimes(t, &idleLimit, func(s *testServer) {
				c := s.dial()
				s.send(c, request)
				s.is.Equal(s.readBody(c), "ok")
				idleSince := time.Now()
				time.AfterFunc(test.changeAt, func() { idleLimit.Store(int64(test.new)) })
				if test.secondAt > 0 {
					time.Sleep(test.secondAt)
					s.send(c, request)
					s.is.Equal(s.readBody(c), "ok")
					idleSince = time.Now()
				}
				time.Sleep(test.idle - time.Since(idleSince))
				_, _ = io.WriteString(c, request)
				want := "200 OK: ok"
				if test.isClosed {
					want = ""
				}
				s.is.Equal(s.readStatusAndBody(c), want)
			})
		})
	}
}

// TestLowerIdleLimitTakesEffect checks that a lower limit is in force after the time of the
// older one.
func TestLowerIdleLimitTakesEffect(t *testing.T) {
	var idleLimit atomic.Int64
	idleLimit.Store(int64(200 * time.Second))
	withTimes(t, &idleLimit, func(s *testServer) {
		c := s.dial()
		for range 30 {
			s.send(c, request)
			s.is.Equal(s.readBody(c), "ok")
			idleLimit.Store(int64(100 * time.Second))
			time.Sleep(10 * time.Second)
		}
		s.send(c, request)
		s.is.Equal(s.readBody(c), "ok")
		start := time.Now()
		_, err := io.ReadAll(c)
		s.is.NoErr(err)
		s.is.Equal(time.Since(start), 100*time.Second)
	})
}
