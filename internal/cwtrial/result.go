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
	// Away counts requests served outside their arrival region.
	Away int
	// Retries counts further attempts.
	Retries int
	// Tokens are those of requests served in time.
	Tokens int
	// BusySeconds are the accelerator seconds used.
	BusySeconds float64
	// Recovery is how long after the region's return the p99 of a second was
	// steady again; it is 0 where no region was lost.
	Recovery time.Duration

	first   *hdrhistogram.Histogram
	windows map[int]*hdrhistogram.Histogram
}

func newResult() *Result {
	return &Result{
		first:   hdrhistogram.New(1, 120_000_000, 3),
		windows: make(map[int]*hdrhistogram.Histogram),
	}
}

// windowSeconds is the grain at which recovery is looked for.
const windowSeconds = 5

func (r *Result) observeFirst(at, took time.Duration) {
	micros := min(max(took.Microseconds(), 1), 120_000_000)
	_ = r.first.RecordValue(micros)
	w := int(at.Seconds()) / windowSeconds
	if r.windows[w] == nil {
		r.windows[w] = hdrhistogram.New(1, 120_000_000, 2)
	}
	_ = r.windows[w].RecordValue(micros)
}

// Quantile returns the time to the first token, in milliseconds.
func (r *Result) Quantile(q float64) float64 {
	return float64(r.first.ValueAtQuantile(q)) / 1000
}

// CostPerToken returns accelerator seconds for each thousand useful tokens.
func (r *Result) CostPerToken() float64 {
	if r.Tokens == 0 {
		return 0
	}
	return r.BusySeconds / float64(r.Tokens) * 1000
}

// Goodput returns the useful tokens of each second in which requests arrived.
func (r *Result) Goodput() float64 {
	return float64(r.Tokens) / trialTime.Seconds()
}

// Share returns n as a fraction of all requests.
func (r *Result) Share(n int) float64 {
	return float64(n) / float64(max(r.Requests, 1))
}

// findRecovery looks for the first window after the return whose p99 is at most
// the steady one, with a quarter to spare.
func (r *Result) findRecovery(lost, back time.Duration) {
	steady := int64(0)
	for w := 4; w < int(lost.Seconds())/windowSeconds; w++ {
		if h := r.windows[w]; h != nil {
			steady = max(steady, h.ValueAtQuantile(99))
		}
	}
	first := int(back.Seconds()) / windowSeconds
	for w := first; ; w++ {
		h := r.windows[w]
		if h == nil {
			r.Recovery = -1
			return
		}
		if h.ValueAtQuantile(99) <= steady+steady/4 {
			r.Recovery = time.Duration((w-first+1)*windowSeconds) * time.Second
			return
		}
	}
}
