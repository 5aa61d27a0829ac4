package cwtrial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of a trial.
type Result struct {
	// Requests, Served, Late, Refused and Failed count requests. Late requests are
	// those served after their deadline; Served includes them.
	Requests, Served, Late, Refused, Failed int
	// ServedRemotely counts requests served outside the region where they arrived.
	ServedRemotely int
	// Retries counts attempts after the firstWindow.
	Retries int
	// UsefulTokens counts the response tokens of requests served by their deadline.
	UsefulTokens int
	// AcceleratorSeconds is the accelerator time used by all endpoints.
	AcceleratorSeconds float64
	// RecoveryTime is the time from the end of the outage until the p99 of a window
	// is back at its level before the outage. It is 0 without an outage and -1 if
	// the p99 did not recover.
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

// recoveryWindowSeconds is the length of the windows whose p99 is compared.
const recoveryWindowSeconds = 5

func (r *Result) recordFirstToken(arrivedAfter, timeToFirstToken time.Duration) {
	micros := min(max(timeToFirstToken.Microseconds(), 1), 120_000_000)
	_ = r.firstToken.RecordValue(micros)
	window := int(arrivedAfter.Seconds()) / recoveryWindowSeconds
	if r.firstTokenByWindow[window] == nil {
		r.firstTokenByWindow[window] = hdrhistogram.New(1, 120_000_000, 2)
	}
	_ = r.firstTokenByWindow[window].RecordValue(micros)
}

// FirstTokenPercentileMillis returns a percentile, from 0 to 100, of the time to the
// firstWindow token.
func (r *Result) FirstTokenPercentileMillis(percentile float64) float64 {
	return float64(r.firstToken.ValueAtQuantile(percentile)) / 1000
}

// CostPerThousandTokens returns the accelerator seconds per thousand useful tokens.
func (r *Result) CostPerThousandTokens() float64 {
	if r.UsefulTokens == 0 {
		return 0
	}
	return r.AcceleratorSeconds / float64(r.UsefulTokens) * 1000
}

// Goodput returns the useful tokens per second of the arrival period.
func (r *Result) Goodput() float64 {
	return float64(r.UsefulTokens) / arrivalPeriod.Seconds()
}

// RequestShare returns n as a fraction of all requests, from 0 to 1.
func (r *Result) RequestShare(n int) float64 {
	return float64(n) / float64(max(r.Requests, 1))
}

// measureRecovery sets RecoveryTime from the firstWindow window after the outage whose p99
// is at most 25% above the highest p99 of a window before the outage. The firstWindow
// four windows of the trial are left out.
func (r *Result) measureRecovery(outageFrom, outageTo time.Duration) {
	baselineP99 := int64(0)
	for window := 4; window < int(outageFrom.Seconds())/recoveryWindowSeconds; window++ {
		if histogram := r.firstTokenByWindow[window]; histogram != nil {
			baselineP99 = max(baselineP99, histogram.ValueAtQuantile(99))
		}
	}
	firstWindow := int(outageTo.Seconds()) / recoveryWindowSeconds
	for window := firstWindow; ; window++ {
		histogram := r.firstTokenByWindow[window]
		if histogram == nil {
			r.RecoveryTime = -1
			return
		}
		if histogram.ValueAtQuantile(99) <= baselineP99+baselineP99/4 {
			r.RecoveryTime = time.Duration((window-firstWindow+1)*recoveryWindowSeconds) * time.Second
			return
		}
	}
}
