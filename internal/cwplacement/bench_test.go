package cwplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// BenchmarkDecide measures the decision and the end of one request, at idle endpoints.
func BenchmarkDecide(b *testing.B) {
	benchmarkDecide(b, cwplacement.PeerReport{})
}

// BenchmarkDecideBesideOthers measures the same beside other instances whose requests take all slots and
// memory.
func BenchmarkDecideBesideOthers(b *testing.B) {
	work := cwplacement.Work{HeldTokens: 310_000, InFlight: 70}
	work.QueuedTokens[cwplacement.Normal] = 30_000
	benchmarkDecide(b, cwplacement.PeerReport{Work: work, Coverage: 1})
}

func benchmarkDecide(b *testing.B, report cwplacement.PeerReport) {
	for _, n := range []int{10, 65} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now, reportedAt := time.Unix(1000, 0), time.Time{}
			service := cwroute.Service{Name: "m", Engine: &cwroute.Engine{Slots: 64, MemoryTokens: 300_000, EventTokens: 6}}
			p := cwplacement.NewPool(service, "a", rand.New(rand.NewPCG(1, 2)))
			for i := range n {
				p.Register(cwroute.Endpoint{ID: fmt.Sprint("i-", i), Domain: "a", Slots: 64}, "north", true, now, now)
			}
			parts := []cwplacement.PromptPart{{ID: 1, Tokens: 2500}, {ID: 2, Tokens: 3500}, {ID: 3, Tokens: 3000}}
			req := &cwplacement.Request{IsLocalAllowed: true, WasTried: never, WasDomainTried: never, Requirements: cwplacement.Requirements{
				PromptTokens: 9000, OutputTokens: 50, PromptParts: parts, FirstByteTarget: time.Second, FirstByteTimeout: 5 * time.Second,
			}}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if report.Work.InFlight > 0 && now.Sub(reportedAt) > time.Second {
					b.StopTimer()
					reportedAt, report.At = now, now
					for _, e := range p.Endpoints() {
						e.SetPeerReport(report, now)
					}
					b.StartTimer()
				}
				d := p.Decide(req, now)
				if d.Placement == nil {
					continue
				}
				d.Placement.OnFirstByte(now)
				d.Placement.OnEnd(cwplacement.Served, now)
			}
		})
	}
}
