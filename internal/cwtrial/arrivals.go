package cwtrial

import (
	"math"
	"math/rand/v2"
	"time"
)

// request is one simulated request of a caller.
type request struct {
	region       int
	prefixID     int
	sharedTokens int
	promptTokens int
	outputTokens int
	account      int
	arrivedAt    time.Time
	attempts     int
	isDone       bool
}

// Workload describes the requests that arrive at a deployment.
type Workload struct {
	// RequestsPerSecond is the mean arrival rate of one region.
	RequestsPerSecond float64
	// DailyAmplitude is the height of the daily peak relative to the mean rate. The
	// regions reach their peaks one after another. DayLength is the length of the
	// simulated day; at 0 the rate is constant.
	DailyAmplitude float64
	DayLength      time.Duration
	// SharedPrefixes is the number of prompt prefixes that requests share, and
	// SharedTokens the length of each.
	SharedPrefixes int
	SharedTokens   int
	// MeanUniqueTokens is the mean number of prompt tokens after the shared prefix,
	// MeanOutputTokens that of response tokens.
	MeanUniqueTokens, MeanOutputTokens int
}

// arrivalRate returns the requests per second that arrive in a region at a time
// since the start.
func (w *Workload) arrivalRate(region, regions int, at time.Duration) float64 {
	if w.DayLength == 0 {
		return w.RequestsPerSecond
	}
	phase := 2 * math.Pi * (at.Seconds()/w.DayLength.Seconds() + float64(region)/float64(regions))
	return w.RequestsPerSecond * (1 + w.DailyAmplitude*math.Sin(phase))
}

// newRequest returns a random request. The distribution of prefixes is skewed: a
// few prefixes occur in most of the requests.
func (w *Workload) newRequest(rng *rand.Rand, region int, now time.Time) *request {
	prefix := int(math.Pow(float64(w.SharedPrefixes), rng.Float64())) - 1
	return &request{
		region: region, prefixID: prefix, sharedTokens: w.SharedTokens,
		promptTokens: w.SharedTokens + 1 + int(rng.ExpFloat64()*float64(w.MeanUniqueTokens)),
		outputTokens: 1 + int(rng.ExpFloat64()*float64(w.MeanOutputTokens)),
		account:      rng.IntN(20), arrivedAt: now,
	}
}
