package cwtrial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a trial measured.
type Result struct {
	// Requests, Served, Late, Refused and Failed count requests. Late ones were
	// served after their deadline.
	Requests, Served, Late, Refused, Failed int
	// ServedRemotely counts requests served outside their arrival region.
	ServedRemotely int
	// Retries counts further attempts.
	Retries int
	// UsefulTokens are those of requests served in time.
	UsefulTokens int
	// AcceleratorSeconds are the accelerator seconds used.
	AcceleratorSeconds float64
	// RecoveryTime is how long after the region's return the p99 of a second was
	// steady again; it is 0 where no region was lost.
	RecoveryTime time.Duration

	firstToken         *hdrhistogram.Histogram
	firstTokenByWindow map[int]*hdrhistogram.Histogram
}

func newResult() *Result {
	return &Result{
		firstToken:         hdrhistogram.New(1, 120_000_000, 3),
		firstTokenByWindow: make(map[int]*hdrhistogram.Histogram),
	}
}

// recoveryWindowSeconds is the grain at which recovery is looked for.
const recoveryWindowSeconds = 5

func (r *Result) recordFirstToken(at, took time.Duration) {
	micros := min(max(took.Microseconds(), 1), 120_000_000)
	_ = r.firstToken.RecordValue(micros)
	w := int(at.Seconds()) / recoveryWindowSeconds
	if r.firstTokenByWindow[w] == nil {
		r.firstTokenByWindow[w] = hdrhistogram.New(1, 120_000_000, 2)
	}
	_ = r.firstTokenByWindow[w].RecordValue(micros)
}

// FirstTokenPercentileMillis returns the time to the first token, in milliseconds.
func (r *Result) FirstTokenPercentileMillis(q float64) float64 {
	return float64(r.firstToken.ValueAtQuantile(q)) / 1000
}

// CostPerThousandTokens returns accelerator seconds for each thousand useful tokens.
func (r *Result) CostPerThousandTokens() float64 {
	if r.UsefulTokens == 0 {
		return 0
	}
	return r.AcceleratorSeconds / float64(r.UsefulTokens) * 1000
}

// Goodput returns the useful tokens of each second in which requests arrived.
func (r *Result) Goodput() float64 {
	return float64(r.UsefulTokens) / arrivalPeriod.Seconds()
}

// RequestShare returns n as a fraction of all requests.
func (r *Result) RequestShare(n int) float64 {
	return float64(n) / float64(max(r.Requests, 1))
}

// measureRecovery looks for the first window after the return whose p99 is at most
// the steady one, with a quarter to spare.
func (r *Result) measureRecovery(lost, back time.Duration) {
	steady := int64(0)
	for w := 4; w < int(lost.Seconds())/recoveryWindowSeconds; w++ {
		if h := r.firstTokenByWindow[w]; h != nil {
			steady = max(steady, h.ValueAtQuantile(99))
		}
	}
	first := int(back.Seconds()) / recoveryWindowSeconds
	for w := first; ; w++ {
		h := r.firstTokenByWindow[w]
		if h == nil {
			r.RecoveryTime = -1
			return
		}
		if h.ValueAtQuantile(99) <= steady+steady/4 {
			r.RecoveryTime = time.Duration((w-first+1)*recoveryWindowSeconds) * time.Second
			return
		}
	}
}
