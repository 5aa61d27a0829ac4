package cwcrash

import "time"

// Event is the end of an endpoint, or a request that did not end its endpoint.
type Event struct {
	// ID identifies the endpoint's incarnation, or the request. Instances that observe the
	// same event give it the same identifier.
	ID uint32
	// Request identifies the request under which an endpoint ended.
	Request uint32
	// At is when it happened.
	At time.Time
}

// addEvent adds an event to a list ordered by time, and reports whether the list has changed.
// Of an event that is known the earlier time is kept, and the request with the lower identifier,
// so that all instances keep the same. Of more than limit events the latest are kept.
func addEvent(events []Event, e Event, limit int) ([]Event, bool) {
	for i := range events {
		if events[i].ID != e.ID {
			continue
		}
		if e.At.Before(events[i].At) {
			events[i].At = e.At
		}
		events[i].Request = min(events[i].Request, e.Request)
		return events, false
	}
	i := len(events)
	for i > 0 && e.At.Before(events[i-1].At) {
		i--
	}
	if len(events) == limit && i == 0 {
		return events, false
	}
	events = append(events, Event{})
	copy(events[i+1:], events[i:])
	events[i] = e
	return events[max(len(events)-limit, 0):], true
}

// dropUntil removes the events up to the time.
func dropUntil(events []Event, until time.Time) []Event {
	kept := events[:0]
	for _, e := range events {
		if e.At.After(until) {
			kept = append(kept, e)
		}
	}
	return kept
}
