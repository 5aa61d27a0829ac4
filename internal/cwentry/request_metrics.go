package cwentry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/internal/cwdispatch"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// requestMetrics caches the metrics of each service, so that requests allocate no
// tag maps.
type requestMetrics struct {
	scope tally.Scope
	// services maps the name of a service to its *serviceMetrics.
	services sync.Map
	// refusals maps a problem type to its tally.Counter.
	refusals sync.Map
}

type serviceMetrics struct {
	// requestsByReason maps a cwburn.Reason to its tally.Counter.
	requestsByReason sync.Map
	scope            tally.Scope
	firstByte        tally.Histogram
	servedRemotely   tally.Counter
	retries          tally.Counter
}

func newRequestMetrics(scope tally.Scope) *requestMetrics {
	return &requestMetrics{scope: scope}
}

func firstByteBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)
}

func (m *requestMetrics) forService(name string) *serviceMetrics {
	if found, ok := m.services.Load(name); ok {
		return found.(*serviceMetrics)
	}
	scope := m.scope.Tagged(map[string]string{"service": name})
	created := &serviceMetrics{
		scope:          scope,
		firstByte:      scope.Histogram("first_byte_seconds", firstByteBuckets()),
		servedRemotely: scope.Counter("requests_away"),
		retries:        scope.Counter("retries"),
	}
	found, _ := m.services.LoadOrStore(name, created)
	return found.(*serviceMetrics)
}

func (s *serviceMetrics) requestCounter(reason cwburn.Reason) tally.Counter {
	if found, ok := s.requestsByReason.Load(reason); ok {
		return found.(tally.Counter)
	}
	tag := string(reason)
	if reason == cwburn.ReasonNone {
		tag = "none"
	}
	created := s.scope.Tagged(map[string]string{"reason": tag}).Counter("requests")
	found, _ := s.requestsByReason.LoadOrStore(reason, created)
	return found.(tally.Counter)
}

func (m *requestMetrics) recordServed(service string, reason cwburn.Reason, result *cwdispatch.ServeResult) {
	s := m.forService(service)
	s.requestCounter(reason).Inc(1)
	if result.TimeToFirstByte > 0 {
		s.firstByte.RecordDuration(result.TimeToFirstByte)
	}
	if result.Attempts > 1 {
		s.retries.Inc(int64(result.Attempts - 1))
	}
}

// recordRefusal counts refusals by problem type. There are few types, and no value
// from the caller becomes a tag.
func (m *requestMetrics) recordRefusal(p *cwanswer.Problem) {
	found, ok := m.refusals.Load(p.Type)
	if !ok {
		found, _ = m.refusals.LoadOrStore(p.Type, m.scope.Tagged(map[string]string{"problem": p.Type}).Counter("refusals"))
	}
	found.(tally.Counter).Inc(1)
}
