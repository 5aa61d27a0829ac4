package cwplacement

import "time"

// retryBucketCount is the number of buckets in the window of a budget.
const retryBucketCount = 20

// bucketRing counts events by time, in buckets of equal length: the current one, which has begun, and
// the retryBucketCount before it.
type bucketRing struct {
	length time.Duration
	start  time.Time
	counts [retryBucketCount + 1]int
	// current is the number of the latest bucket since start.
	current int64
}

// add adds n to the count of the bucket at the given time, unless that is over.
func (r *bucketRing) add(n int, at, now time.Time) {
	r.advance(now)
	if bucket := r.bucketAt(at); bucket >= 0 && bucket > r.current-int64(len(r.counts)) {
		r.counts[bucket%int64(len(r.counts))] += n
	}
}

// sum returns the count of the latest buckets.
func (r *bucketRing) sum(buckets int, now time.Time) int {
	r.advance(now)
	total := 0
	for bucket := r.current; bucket >= 0 && bucket > r.current-int64(buckets); bucket-- {
		total += r.counts[bucket%int64(len(r.counts))]
	}
	return total
}

// advance clears the buckets that are over.
func (r *bucketRing) advance(now time.Time) {
	latest := r.bucketAt(now)
	for n := range min(latest-r.current, int64(len(r.counts))) {
		r.counts[(latest-n)%int64(len(r.counts))] = 0
	}
	r.current = max(r.current, latest)
}

// bucketAt returns the number of the bucket at a time.
func (r *bucketRing) bucketAt(at time.Time) int64 {
	return int64(at.Sub(r.start) / r.length)
}
