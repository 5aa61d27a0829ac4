package cwgate

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the metrics of routed requests. Tagged counters are cached, since creating
// a scope costs more than counting.
type metrics struct {
	root     tally.Scope
	refusals sync.Map
	requests sync.Map
	// announcements counts by kind what endpoints newly state about themselves.
	announcements sync.Map
	takenUp       sync.Map
	// skipped counts the responses to other requests by whether they name one.
	skipped   sync.Map
	firstByte tally.Histogram
	total     tally.Histogram
	retries   tally.Counter
	// budgetEvents counts by event and service what is spent of retry budgets.
	budgetEvents sync.Map
	// lateWaits is how long calls are kept open whose callers have left.
	lateWaits tally.Histogram
	relays    tally.Counter
	// limitedSends counts the requests sent to endpoints that name a rate limit.
	limitedSends tally.Counter
	// blocks counts the blocks of requests that end endpoints.
	blocks tally.Counter
	// cutOffs counts how often this instance was cut off from all endpoints.
	cutOffs tally.Counter
	// replacements counts the endpoints whose process may have been replaced.
	replacements tally.Counter
	// coldChecks counts the health checks that ask endpoints whether they are cold.
	coldChecks tally.Counter
	// unmatchedCalls counts the calls that ended since no response was certainly their own.
	unmatchedCalls tally.Counter
	// unprovedRefusals counts the refusals that would have promised of a request that may have run that
	// it has not.
	unprovedRefusals tally.Counter
	// streamReports counts the reports of endpoints that were requested.
	streamReports tally.Counter
	// quotaRefusals counts the requests refused for their account's quota, and quotaRefunds those
	// that were charged and have not run.
	quotaRefusals tally.Counter
	quotaRefunds  tally.Counter
}

func newMetrics(root tally.Scope) *metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)
	return &metrics{
		root:          root,
		firstByte:     root.Histogram("routed_first_byte_seconds", buckets),
		total:         root.Histogram("routed_total_seconds", buckets),
		lateWaits:     root.Histogram("late_response_wait_seconds", buckets),
		retries:       root.Counter("routed_repeats"),
		relays:        root.Counter("routed_relays"),
		limitedSends:  root.Counter("routed_limited_sends"),
		blocks:        root.Counter("crash_blocks"),
		cutOffs:       root.Counter("endpoint_cut_offs"),
		replacements:  root.Counter("endpoint_replacements"),
		coldChecks:    root.Counter("cold_checks"),
		streamReports: root.Counter("stream_reports"),

		unprovedRefusals: root.Counter("refusals_unproved"),
		unmatchedCalls:   root.Counter("calls_unmatched"),

		quotaRefusals: root.Counter("quota_refusals"),
		quotaRefunds:  root.Counter("quota_refunds"),
	}
}

func (m *metrics) countRefusal(reason string) {
	m.taggedCounter(&m.refusals, "routed_refusals", "reason", reason).Inc(1)
}

// countTakenUp counts a stream that a caller takes up, by who knows its origin.
func (m *metrics) countTakenUp(source string) {
	m.taggedCounter(&m.takenUp, "streams_taken_up", "origin", source).Inc(1)
}

// countSkipped counts a response that belongs to another request.
func (m *metrics) countSkipped(isNamed bool) {
	m.taggedCounter(&m.skipped, "responses_skipped", "named", strconv.FormatBool(isNamed)).Inc(1)
}

// countAnnouncement counts that an endpoint newly states that it is leaving or wants a pause.
func (m *metrics) countAnnouncement(kind string) {
	m.taggedCounter(&m.announcements, "endpoint_announcements", "kind", kind).Inc(1)
}

// countRetryBudget counts that a retry of the service was spent, denied or refunded.
func (m *metrics) countRetryBudget(event, service string) {
	key := [2]string{event, service}
	cached, ok := m.budgetEvents.Load(key)
	if !ok {
		cached, _ = m.budgetEvents.LoadOrStore(key, m.root.Tagged(map[string]string{"event": event, "service": service}).Counter("retry_budget"))
	}
	cached.(tally.Counter).Inc(1)
}

// countRequest counts a request by its outcome and records its durations. A firstByte of
// 0 means that no endpoint's response was begun.
func (m *metrics) countRequest(outcome string, firstByte, total time.Duration) {
	m.taggedCounter(&m.requests, "routed_requests", "outcome", outcome).Inc(1)
	if firstByte > 0 {
		m.firstByte.RecordDuration(firstByte)
	}
	m.total.RecordDuration(total)
}

// taggedCounter returns the counter with the tag's value from cache, and adds it to cache
// if it is missing.
func (m *metrics) taggedCounter(cache *sync.Map, name, tag, value string) tally.Counter {
	if cached, ok := cache.Load(value); ok {
		return cached.(tally.Counter)
	}
	counter, _ := cache.LoadOrStore(value, m.root.Tagged(map[string]string{tag: value}).Counter(name))
	return counter.(tally.Counter)
}
