package cwcrash_test

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkMatch measures the check of a request while something is blocked.
func BenchmarkMatch(b *testing.B) {
	in := newInstances(1)
	for _, o := range join(survivals(1, first), ends(3, 1, first, bad), ends(3, 11, first, worse)) {
		in.observe(o)
	}
	traits := traitsOf([]uint64{first, document, other})
	b.ReportAllocs()
	for b.Loop() {
		if in.ledgers[0].Match(traits) != nil {
			b.Fatal("blocked")
		}
	}
}

// BenchmarkSurvival measures what a served request adds while something is blocked.
func BenchmarkSurvival(b *testing.B) {
	in := newInstances(1)
	for _, o := range join(survivals(1, first), ends(3, 1, first, bad), ends(3, 11, first, worse)) {
		in.observe(o)
	}
	traits := traitsOf([]uint64{first, document, other})
	b.ReportAllocs()
	for b.Loop() {
		in.request++
		in.ledgers[0].RecordSurvival(in.request, traits, in.now)
	}
}

// BenchmarkFullLedger measures the memory of a ledger with as much evidence as it keeps.
func BenchmarkFullLedger(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		in := newInstances(1)
		for n := range uint32(9000) {
			id := uint64(n%520) + 100
			in.observe(observation{after: 10 * time.Millisecond, ended: n, parts: []uint64{first, id}})
			in.observe(observation{parts: []uint64{first, id}})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
		runtime.KeepAlive(in)
	}
}
