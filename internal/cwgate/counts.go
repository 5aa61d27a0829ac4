package cwgate

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the metrics of routed requests. Scopes are kept, since making one
// costs more than counting.
type metrics struct {
	root      tally.Scope
	refusals  sync.Map
	requests  sync.Map
	firstByte tally.Histogram
	total     tally.Histogram
	retries   tally.Counter
	relays    tally.Counter
}

func newMetrics(root tally.Scope) *metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)
	return &metrics{
		root:      root,
		firstByte: root.Histogram("routed_first_byte_seconds", buckets),
		total:     root.Histogram("routed_total_seconds", buckets),
		retries:   root.Counter("routed_repeats"),
		relays:    root.Counter("routed_relays"),
	}
}

func (c *metrics) countRefusal(reason string) {
	c.taggedCounter(&c.refusals, "routed_refusals", "reason", reason).Inc(1)
}

// countRequest counts a request by its outcome.
func (c *metrics) countRequest(outcome string, first, total time.Duration) {
	c.taggedCounter(&c.requests, "routed_requests", "outcome", outcome).Inc(1)
	if first > 0 {
		c.firstByte.RecordDuration(first)
	}
	c.total.RecordDuration(total)
}

func (c *metrics) taggedCounter(known *sync.Map, name, tag, value string) tally.Counter {
	if found, ok := known.Load(value); ok {
		return found.(tally.Counter)
	}
	made, _ := known.LoadOrStore(value, c.root.Tagged(map[string]string{tag: value}).Counter(name))
	return made.(tally.Counter)
}
