package cwtrial

import (
	"math"
	"math/rand/v2"
	"time"
)

// request is one request of a caller.
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

// Workload describes the arrivals of a deployment.
type Workload struct {
	// RequestsPerSecond is the mean rate of one region.
	RequestsPerSecond float64
	// DailyAmplitude is the relative height of the day peak, which the regions reach one
	// after another; Period is the length of the day.
	DailyAmplitude float64
	DayLength      time.Duration
	// SharedPrefixes is the number of shared beginnings; SharedTokens is their length.
	SharedPrefixes int
	SharedTokens   int
	// MeanUniqueTokens and Output are the means of what differs.
	MeanUniqueTokens, MeanOutputTokens int
}

// arrivalRate returns the arrivals per second of a region at a time since the start.
func (l *Workload) arrivalRate(region, regions int, at time.Duration) float64 {
	if l.DayLength == 0 {
		return l.RequestsPerSecond
	}
	phase := 2 * math.Pi * (at.Seconds()/l.DayLength.Seconds() + float64(region)/float64(regions))
	return l.RequestsPerSecond * (1 + l.DailyAmplitude*math.Sin(phase))
}

// newRequest makes a request. Few beginnings take most of the requests.
func (l *Workload) newRequest(rng *rand.Rand, region int, now time.Time) *request {
	prefix := int(math.Pow(float64(l.SharedPrefixes), rng.Float64())) - 1
	return &request{
		region: region, prefixID: prefix, sharedTokens: l.SharedTokens,
		promptTokens: l.SharedTokens + 1 + int(rng.ExpFloat64()*float64(l.MeanUniqueTokens)),
		outputTokens: 1 + int(rng.ExpFloat64()*float64(l.MeanOutputTokens)),
		account:      rng.IntN(20), arrivedAt: now,
	}
}
