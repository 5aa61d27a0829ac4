package cwentry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/internal/cwdispatch"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// requestMetrics caches the scope of each service, so that the traffic path makes
// no tag maps.
type requestMetrics struct {
	scope    tally.Scope
	services sync.Map
	refusals sync.Map
}

type serviceMetrics struct {
	requestsByReason sync.Map
	scope            tally.Scope
	firstByte        tally.Histogram
	servedRemotely   tally.Counter
	retries          tally.Counter
}

func newRequestMetrics(root tally.Scope) *requestMetrics {
	return &requestMetrics{scope: root}
}

func firstByteBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)
}

func (m *requestMetrics) forService(name string) *serviceMetrics {
	if found, ok := m.services.Load(name); ok {
		return found.(*serviceMetrics)
	}
	scope := m.scope.Tagged(map[string]string{"service": name})
	made := &serviceMetrics{
		scope:          scope,
		firstByte:      scope.Histogram("first_byte_seconds", firstByteBuckets()),
		servedRemotely: scope.Counter("requests_away"),
		retries:        scope.Counter("retries"),
	}
	found, _ := m.services.LoadOrStore(name, made)
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
	made := s.scope.Tagged(map[string]string{"reason": tag}).Counter("requests")
	found, _ := s.requestsByReason.LoadOrStore(reason, made)
	return found.(tally.Counter)
}

func (m *requestMetrics) recordServed(service string, reason cwburn.Reason, served *cwdispatch.ServeResult) {
	s := m.forService(service)
	s.requestCounter(reason).Inc(1)
	if served.TimeToFirstByte > 0 {
		s.firstByte.RecordDuration(served.TimeToFirstByte)
	}
	if served.Attempts > 1 {
		s.retries.Inc(int64(served.Attempts - 1))
	}
}

// recordRefusal counts refusals by kind. Kinds are few; nothing from the caller is a
// label.
func (m *requestMetrics) recordRefusal(p *cwanswer.Problem) {
	found, ok := m.refusals.Load(p.Type)
	if !ok {
		found, _ = m.refusals.LoadOrStore(p.Type, m.scope.Tagged(map[string]string{"problem": p.Type}).Counter("refusals"))
	}
	found.(tally.Counter).Inc(1)
}
