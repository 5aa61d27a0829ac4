package cwpolicy_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

var limitKey = cwpolicy.LimitKey{Service: "s", Account: "a"}

// TestLimitOvershootIsBoundedUnderAnySchedule guards against instances that together
// allow many more requests than their limit when demand moves between them or they
// are partitioned. They share a limit of 100 requests per second, and in any ten
// seconds they together allow at most twice that.
func TestLimitOvershootIsBoundedUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const totalPerSecond, seconds = 100.0, 60
		n := rapid.IntRange(2, 5).Draw(t, "instances")
		sets := make([]*cwpolicy.Limits, n)
		for i := range sets {
			sets[i] = cwpolicy.NewLimits()
			sets[i].SetInstanceCount(n)
		}
		var allowed [seconds]int
		demand := make([]float64, n)
		for second := range seconds {
			isPartitioned := rapid.IntRange(0, 9).Draw(t, "partitioned") < 3
			for i, set := range sets {
				for k := range rapid.IntRange(0, 200).Draw(t, "arrivals") {
					now := start.Add(time.Duration(second)*time.Second + time.Duration(k)*4*time.Millisecond)
					if set.Allow(limitKey, totalPerSecond, now) {
						allowed[second]++
					}
				}
				demand[i] = 0
				for _, d := range set.UpdateDemands(start.Add(time.Duration(second+1) * time.Second)) {
					demand[i] = d.RequestsPerSecond
				}
			}
			for i, set := range sets {
				othersPerSecond := 0.0
				for j := range sets {
					if j != i {
						othersPerSecond += demand[j]
					}
				}
				if !isPartitioned {
					set.UpdateShare(limitKey, othersPerSecond, start.Add(time.Duration(second+1)*time.Second))
				}
			}
		}
		for from := 0; from+10 <= seconds; from++ {
			sum := 0
			for _, count := range allowed[from : from+10] {
				sum += count
			}
			if float64(sum) > 2*10*totalPerSecond {
				t.Fatalf("%d requests allowed in the ten seconds from second %d, limit is %v per second", sum, from, totalPerSecond)
			}
		}
	})
}
