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

// observeUntilAlarm observes a request a second, of which one in every n is bad, until the
// alarm fires or the time is over. It returns the time that passed.
func observeUntilAlarm(r *cwburn.Recorder, n int, most time.Duration, alarm string) (time.Duration, bool) {
	began := time.Now()
	for i := 0; time.Since(began) < most; i++ {
		o := cwburn.Observation{Service: "s", Region: "north", FirstByte: 100 * time.Millisecond}
		if n > 0 && i%n == 0 {
			o.Reason = cwburn.ReasonFailed
		}
		r.Observe(o, targets, time.Now())
		time.Sleep(time.Second)
		if i%10 != 0 {
			continue
		}
		for _, firing := range r.Report(time.Now()).Series[0].FiringAlarms {
			if firing == alarm {
				return time.Since(began), true
			}
		}
	}
	return time.Since(began), false
}

func TestAlarms(t *testing.T) {
	scenarios := []struct {
		name    string
		alarm   string
		badOne  int
		fires   bool
		within  time.Duration
		watched time.Duration
	}{
		{"an outage pages within the hour", "page", 2, true, 20 * time.Minute, time.Hour},
		{"half the budget rate stays quiet", "page", 200, false, 0, 6 * time.Hour},
		{"half the budget rate opens no ticket", "ticket", 200, false, 0, 6 * time.Hour},
		{"ten times the rate opens a ticket", "ticket", 10, true, 5 * time.Hour, 6 * time.Hour},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := cwburn.NewRecorder(time.Now())
				_, fired := observeUntilAlarm(r, 0, 2*time.Hour, sc.alarm)
				is.True(!fired) // no alarm while all is well
				took, fired := observeUntilAlarm(r, sc.badOne, sc.watched, sc.alarm)
				is.Equal(fired, sc.fires)
				is.True(!fired || took <= sc.within)
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
	joined := cwburn.MergeReports(reports)
	is.Equal(len(joined.Series), 1)
	w := joined.Series[0].Windows[0]
	is.Equal(w.Total, int64(6))
	is.Equal(w.Bad, int64(3)) // a first byte after its target is bad
	is.Equal(w.ServedRemotely, int64(3))
	is.Equal(joined.Series[0].Reasons[0], cwburn.ReasonCount{Reason: cwburn.ReasonSlow, Count: 3})
	is.Equal(reports[0].Series[0].Windows[0].Total, int64(2)) // joining changes no input
}

func TestAlarmNeedsMinimumBadRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	r := cwburn.NewRecorder(now)
	for n := 1; n <= 5; n++ {
		r.Observe(cwburn.Observation{Service: "s", Region: "north", Reason: cwburn.ReasonFailed}, targets, now)
		is.Equal(len(r.Report(now).Series[0].FiringAlarms) > 0, n == 5)
	}
}
