package cwcrash_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBlameSchedule plays random schedules of ends with one or two causes beside sound requests,
// mass crashes without a cause and exchanges between instances. All instances must derive the
// same blocks, refuse the causes and serve the sound requests.
func TestBlameSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "instances")
		in := newInstances(n)
		documents := []uint64{20, 21, 22, 23}
		causes := []uint64{bad, worse}[:rapid.IntRange(1, 2).Draw(t, "causes")]
		endsOf := make(map[uint64]int)
		endpoint := uint32(0)
		anyInstance := rapid.IntRange(0, n-1)
		soundParts := func() []uint64 { return []uint64{first, rapid.SampledFrom(documents).Draw(t, "document")} }
		for _, d := range documents {
			in.observe(observation{instance: anyInstance.Draw(t, "at"), parts: []uint64{first, d}})
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			in.now = in.now.Add(time.Duration(rapid.IntRange(110, 3000).Draw(t, "pauseMillis")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				cause := rapid.SampledFrom(causes).Draw(t, "cause")
				endpoint++
				endsOf[cause]++
				parts := []uint64{first, cause}
				if rapid.Bool().Draw(t, "withDocument") {
					parts = append(soundParts(), cause)
				}
				in.observe(observation{instance: anyInstance.Draw(t, "at"), ended: endpoint, parts: parts})
				for range rapid.IntRange(0, 3).Draw(t, "beside") {
					in.observe(observation{instance: anyInstance.Draw(t, "at"), ended: endpoint, parts: soundParts()})
				}
			case 2:
				for range rapid.IntRange(1, 6).Draw(t, "crashed") {
					endpoint++
					in.observe(observation{after: 5 * time.Millisecond, instance: anyInstance.Draw(t, "at"), ended: endpoint, parts: soundParts()})
				}
			case 3:
				from, to := anyInstance.Draw(t, "from"), anyInstance.Draw(t, "to")
				in.ledgers[to].Merge(in.ledgers[from].Reports(in.now, reportLimit), in.now)
			}
			for _, d := range documents {
				in.observe(observation{after: time.Millisecond, instance: anyInstance.Draw(t, "at"), parts: []uint64{first, d}})
			}
		}
		in.meet()
		for i := range in.ledgers {
			for _, d := range documents {
				if in.isBlocked(i, first, d) {
					t.Fatalf("instance %d refuses sound requests with document %d", i, d)
				}
			}
			for cause, count := range endsOf {
				isBlocked := in.isBlocked(i, first, 20, 21, 22, 23, cause)
				if isBlocked && count < 3 || !isBlocked && count >= 5 || isBlocked != in.isBlocked(0, first, 20, 21, 22, 23, cause) {
					t.Fatalf("instance %d: %d ends of cause %d, blocked %t", i, count, cause, isBlocked)
				}
			}
		}
	})
}
