package cwtrial

import (
	"math"
	"math/rand/v2"
	"time"
)

// request is one request of a caller.
type request struct {
	region  int
	prefix  int
	shared  int
	tokens  int
	output  int
	account int
	arrived time.Time
	tries   int
	done    bool
}

// Load describes the arrivals of a deployment.
type Load struct {
	// PerSecond is the mean rate of one region.
	PerSecond float64
	// Swing is the relative height of the day peak, which the regions reach one
	// after another; Period is the length of the day.
	Swing  float64
	Period time.Duration
	// Prefixes is the number of shared beginnings; SharedTokens is their length.
	Prefixes     int
	SharedTokens int
	// OwnTokens and Output are the means of what differs.
	OwnTokens, Output int
}

// rate returns the arrivals per second of a region at a time since the start.
func (l *Load) rate(region, regions int, at time.Duration) float64 {
	if l.Period == 0 {
		return l.PerSecond
	}
	phase := 2 * math.Pi * (at.Seconds()/l.Period.Seconds() + float64(region)/float64(regions))
	return l.PerSecond * (1 + l.Swing*math.Sin(phase))
}

// draw makes a request. Few beginnings take most of the requests.
func (l *Load) draw(rng *rand.Rand, region int, now time.Time) *request {
	prefix := int(math.Pow(float64(l.Prefixes), rng.Float64())) - 1
	return &request{
		region: region, prefix: prefix, shared: l.SharedTokens,
		tokens:  l.SharedTokens + 1 + int(rng.ExpFloat64()*float64(l.OwnTokens)),
		output:  1 + int(rng.ExpFloat64()*float64(l.Output)),
		account: rng.IntN(20), arrived: now,
	}
}
