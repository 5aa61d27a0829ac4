package cwcrash_test

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcrash"
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
			id := uint64(n%2100) + 100
			in.observe(observation{after: 10 * time.Millisecond, ended: n, parts: []uint64{first, id}})
			in.observe(observation{parts: []uint64{first, id}})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
		runtime.KeepAlive(in)
	}
}

// BenchmarkIdentity measures the identity of a request with a body of some KB.
func BenchmarkIdentity(b *testing.B) {
	for _, kilobytes := range []int{0, 1, 24} {
		b.Run(fmt.Sprintf("%dKB", kilobytes), func(b *testing.B) {
			r := &cwcrash.Request{
				Method: "POST", Host: "ficu95.example", Path: "/lohu930/2f", Query: "page=4&sort=new", Body: make([]byte, kilobytes<<10), CallerIP: "100.64.0.12",
				Header:       http.Header{"Accept": {"*/*"}, "User-Agent": {"sdk-client/1.9.3"}, "Content-Type": {"application/octet-stream"}, "Clementinewell-Request-Id": {"9c41d07be2a35f68"}},
				IsPerAttempt: func(name string) bool { return name == "Clementinewell-Request-Id" },
			}
			b.ReportAllocs()
			for b.Loop() {
				_ = r.Identity()
			}
		})
	}
}
