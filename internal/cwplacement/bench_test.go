package cwplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// BenchmarkDecide measures the decision and the end of one request.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 65} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
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
				d := p.Decide(req, now)
				d.Placement.OnFirstByte(now)
				d.Placement.OnEnd(cwplacement.Served, now)
			}
		})
	}
}
