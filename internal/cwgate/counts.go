package cwgate

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// counts are the metrics of routed requests. Scopes are kept, since making one
// costs more than counting.
type counts struct {
	root     tally.Scope
	refusals sync.Map
	ends     sync.Map
	first    tally.Histogram
	total    tally.Histogram
	repeats  tally.Counter
	relays   tally.Counter
}

func newCounts(root tally.Scope) *counts {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)
	return &counts{
		root:    root,
		first:   root.Histogram("routed_first_byte_seconds", buckets),
		total:   root.Histogram("routed_total_seconds", buckets),
		repeats: root.Counter("routed_repeats"),
		relays:  root.Counter("routed_relays"),
	}
}

func (c *counts) refused(reason string) {
	c.tagged(&c.refusals, "routed_refusals", "reason", reason).Inc(1)
}

// end counts a request by its outcome.
func (c *counts) end(outcome string, first, total time.Duration) {
	c.tagged(&c.ends, "routed_requests", "outcome", outcome).Inc(1)
	if first > 0 {
		c.first.RecordDuration(first)
	}
	c.total.RecordDuration(total)
}

func (c *counts) tagged(known *sync.Map, name, tag, value string) tally.Counter {
	if found, ok := known.Load(value); ok {
		return found.(tally.Counter)
	}
	made, _ := known.LoadOrStore(value, c.root.Tagged(map[string]string{tag: value}).Counter(name))
	return made.(tally.Counter)
}
