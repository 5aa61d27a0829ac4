package cwstream_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwstream"
)

var (
	v1 = cwstream.Origin{Service: "app", Version: "v1"}
	v2 = cwstream.Origin{Service: "app", Version: "v2"}
)

// TestLedgerKeepsOriginUntilDeadline guards against a stream that is forgotten while its caller may
// take it up, one that is kept for ever, and one whose origin a later attempt replaces.
func TestLedgerKeepsOriginUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := cwstream.NewLedger()
		now, id := time.Now(), cwstream.NewID("a")
		l.Begin(cwstream.Record{ID: id, Origin: v1, ExpiresAt: now.Add(12 * time.Second)}, now)
		l.Merge([]cwstream.Record{{ID: id, Origin: v2, ExpiresAt: now.Add(3 * time.Second)}}, now)
		r, isKnown := l.Find(id, now.Add(12*time.Second))
		is.True(isKnown)
		is.Equal(r.Origin, v1)
		_, isKnown = l.Find(id, now.Add(14*time.Second))
		is.True(!isKnown)
		l.Merge([]cwstream.Record{{ID: cwstream.NewID("b"), Origin: v2, ExpiresAt: now.Add(20 * time.Second)}}, now.Add(15*time.Second))
		is.Equal(l.Len(), 1) // the expired one is gone
	})
}

// TestLedgerTellsEachStreamOnce guards against streams that others never hear of, and against
// messages that repeat or contain streams that need not be told.
func TestLedgerTellsEachStreamOnce(t *testing.T) {
	is := is.New(t)
	l := cwstream.NewLedger()
	now := time.Now()
	begin := func(name string) {
		l.Begin(cwstream.Record{ID: cwstream.NewID(name), Origin: v1, ExpiresAt: now.Add(time.Second)}, now)
	}
	begin("a")
	begin("complete")
	l.Complete(cwstream.NewID("complete"))
	l.Merge([]cwstream.Record{{ID: cwstream.NewID("peer's"), Origin: v2, ExpiresAt: now.Add(time.Second)}}, now)
	told := l.TakeUntold(now)
	is.Equal(len(told), 1)
	is.Equal(told[0].ID, cwstream.NewID("a"))
	is.Equal(len(l.TakeUntold(now)), 0)
	_, isKnown := l.Find(cwstream.NewID("complete"), now)
	is.True(isKnown) // its end may not have arrived
}

// TestLedgerIsBounded guards against memory that grows with the streams, and against an unknown
// origin that counts as known.
func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	l := cwstream.NewLedger()
	now := time.Now()
	const most = 1 << 16
	for n := range most + 10 {
		l.Begin(cwstream.Record{ID: cwstream.ID(n), Origin: v1, ExpiresAt: now.Add(time.Hour)}, now)
	}
	is.Equal(l.Len(), most)
	is.True(len(l.TakeUntold(now)) <= 4096)
	_, isKnown := l.Find(1, now.Add(11*time.Minute))
	is.True(!isKnown) // an hour is longer than a stream is remembered
	l = cwstream.NewLedger()
	l.Begin(cwstream.Record{ID: 1, ExpiresAt: now.Add(time.Hour)}, now)
	is.Equal(l.Len(), 0)
}

// TestLedgerExplainsAbsence guards against refused streams of which an operator can't tell whether
// nobody told of them, their deadline has passed, or their endpoint may have restarted.
func TestLedgerExplainsAbsence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := cwstream.NewLedger()
		now := time.Now()
		record := func(name string, o cwstream.Origin) cwstream.Record {
			return cwstream.Record{ID: cwstream.NewID(name), Origin: o, ExpiresAt: now.Add(time.Second)}
		}
		l.Begin(record("expired", v1), now)
		l.Begin(record("forgotten", v1), now)
		l.Forget(cwstream.NewID("forgotten"))
		l.Begin(record("began without origin", cwstream.Origin{}), now)
		later := now.Add(4 * time.Second)
		for name, want := range map[string]cwstream.Absence{
			"never told": cwstream.NeverTold, "expired": cwstream.Expired, "forgotten": cwstream.Uncertain, "began without origin": cwstream.Uncertain,
		} {
			_, isKnown := l.Find(cwstream.NewID(name), later)
			is.True(!isKnown)
			is.Equal(l.ExplainAbsence(cwstream.NewID(name), later), want)
		}
		l.Merge([]cwstream.Record{record("another", v1)}, now.Add(10*time.Second))
		is.Equal(l.ExplainAbsence(cwstream.NewID("forgotten"), now.Add(10*time.Second)), cwstream.NeverTold) // bounded
	})
}

// TestLedgerDoubtsContradictedObservations guards against a stream that goes on at a version of which
// an endpoint runs it, though one of another version does too.
func TestLedgerDoubtsContradictedObservations(t *testing.T) {
	now, id := time.Now(), cwstream.NewID("a")
	told := func(o cwstream.Origin) cwstream.Record {
		return cwstream.Record{ID: id, Origin: o, ExpiresAt: now.Add(time.Second)}
	}
	observed := func(o cwstream.Origin) cwstream.Record {
		r := told(o)
		r.IsObserved = true
		return r
	}
	for _, sc := range []struct {
		name    string
		records []cwstream.Record
		want    cwstream.Origin
	}{
		{"observed twice at one version", []cwstream.Record{observed(v1), observed(v1)}, v1},
		{"observed at two versions", []cwstream.Record{observed(v1), observed(v2)}, cwstream.Origin{}},
		{"observed at two versions and again", []cwstream.Record{observed(v1), observed(v2), observed(v1)}, cwstream.Origin{}},
		{"told after it was observed", []cwstream.Record{observed(v1), told(v2)}, v2},
		{"told before it was observed", []cwstream.Record{told(v2), observed(v1)}, v2},
		{"told after observations at two versions", []cwstream.Record{observed(v1), observed(v2), told(v2)}, v2},
	} {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			l := cwstream.NewLedger()
			l.Merge(sc.records, now)
			r, _ := l.Find(id, now)
			is.Equal(r.Origin, sc.want)
		})
	}
}
