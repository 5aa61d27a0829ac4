package cwburn_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

var targets = cwservice.Targets{FirstTokenMillis: 500, DeadlineMillis: 5000, Objective: 0.99}

// observeUntilAlarm records one request per second until the alarm fires or the
// limit is reached. Every badInterval-th request is bad; with 0 none is. Returns
// the elapsed time and whether the alarm fired.
func observeUntilAlarm(r *cwburn.Recorder, badInterval int, limit time.Duration, alarm string) (time.Duration, bool) {
	startedAt := time.Now()
	for i := 0; time.Since(startedAt) < limit; i++ {
		o := cwburn.Observation{Service: "s", Region: "north", FirstByte: 100 * time.Millisecond}
		if badInterval > 0 && i%badInterval == 0 {
			o.Reason = cwburn.ReasonFailed
		}
		r.Observe(o, targets, time.Now())
		time.Sleep(time.Second)
		if i%10 != 0 {
			continue
		}
		for _, firing := range r.Report(time.Now()).Series[0].FiringAlarms {
			if firing == alarm {
				return time.Since(startedAt), true
			}
		}
	}
	return time.Since(startedAt), false
}

func TestAlarms(t *testing.T) {
	scenarios := []struct {
		name        string
		alarm       string
		badInterval int
		shouldFire  bool
		firesWithin time.Duration
		limit       time.Duration
	}{
		{"half of all requests failing fires page within 20 minutes", "page", 2, true, 20 * time.Minute, time.Hour},
		{"half the budget rate does not fire page", "page", 200, false, 0, 6 * time.Hour},
		{"half the budget rate does not fire ticket", "ticket", 200, false, 0, 6 * time.Hour},
		{"ten times the budget rate fires ticket within 5 hours", "ticket", 10, true, 5 * time.Hour, 6 * time.Hour},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := cwburn.NewRecorder(time.Now())
				_, fired := observeUntilAlarm(r, 0, 2*time.Hour, sc.alarm)
				is.True(!fired) // no alarm without bad requests
				took, fired := observeUntilAlarm(r, sc.badInterval, sc.limit, sc.alarm)
				is.Equal(fired, sc.shouldFire)
				is.True(!fired || took <= sc.firesWithin)
			})
		})
	}
}

func TestMergeReportsAddsCounts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var reports []cwburn.Report
	for range 3 {
		r := cwburn.NewRecorder(now.Add(-time.Hour))
		r.Observe(cwburn.Observation{Service: "s", Region: "north", FirstByte: time.Second}, targets, now)
		r.Observe(cwburn.Observation{Service: "s", Region: "north", FirstByte: time.Millisecond, IsServedRemotely: true}, targets, now)
		reports = append(reports, r.Report(now))
	}
	merged := cwburn.MergeReports(reports)
	is.Equal(len(merged.Series), 1)
	w := merged.Series[0].Windows[0]
	is.Equal(w.Total, int64(6))
	is.Equal(w.Bad, int64(3)) // a first byte after the target counts as bad
	is.Equal(w.ServedRemotely, int64(3))
	is.Equal(merged.Series[0].Reasons[0], cwburn.ReasonCount{Reason: cwburn.ReasonSlow, Count: 3})
	is.Equal(reports[0].Series[0].Windows[0].Total, int64(2)) // merging leaves its input unchanged
}

// TestAlarmNeedsMinimumBadRequests guards against an alarm on the first failures of
// a service with little traffic, whose burn rate is high after a single one.
func TestAlarmNeedsMinimumBadRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	r := cwburn.NewRecorder(now)
	for n := 1; n <= 5; n++ {
		r.Observe(cwburn.Observation{Service: "s", Region: "north", Reason: cwburn.ReasonFailed}, targets, now)
		is.Equal(len(r.Report(now).Series[0].FiringAlarms) > 0, n == 5)
	}
}
