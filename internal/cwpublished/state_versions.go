package cwpublished

import (
	"slices"
	"time"
)

// ServiceVersions are the software versions that the endpoints of a service have had since a time.
type ServiceVersions struct {
	// Versions are those that this instance knows.
	Versions []string
	// IsComplete is set if no other version is possible.
	IsComplete bool
	// IsConfigUnchanged is set if the configuration has not changed since that time.
	IsConfigUnchanged bool
}

// VersionsSince returns the software versions that the endpoints of a service have had since a time.
func (s *State) VersionsSince(service string, since time.Time) ServiceVersions {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.interpreter.versions
	v := ServiceVersions{IsComplete: !log.completeSince.IsZero() && !log.completeSince.After(since), IsConfigUnchanged: !log.configSince.After(since)}
	add := func(version string) {
		if !slices.Contains(v.Versions, version) {
			v.Versions = append(v.Versions, version)
		}
	}
	for _, e := range s.interpreter.endpoints {
		if e.Service == service {
			add(e.Version)
		}
	}
	for lost, at := range log.lostAt {
		if lost.service == service && !at.Before(since) {
			add(lost.version)
		}
	}
	return v
}

// versionsCompleteFrom returns the revision from which on this instance has seen all changes.
func (s *State) versionsCompleteFrom() Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interpreter.versions.completeFrom
}

// addHistory adds changes from before this instance read the published state for the first time. They
// are those after the oldest revision, which was the first that the store still had at readAt; it keeps
// changes for the given time. It returns false if they don't tell all versions of that time.
func (s *State) addHistory(items []Item, oldest Revision, readAt time.Time, length time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	in, since := s.interpreter, readAt.Add(-length)
	if oldest.Era() != s.items.Revision().Era() || oldest > in.versions.gapFrom || in.isHistoryCut(oldest, since) {
		return false
	}
	if !in.addHistory(items, readAt, since) {
		return false
	}
	in.versions.completeFrom, in.versions.gapFrom = oldest, oldest
	if since.Before(in.versions.completeSince) {
		in.versions.completeSince = since
	}
	if in.configItem.Revision <= oldest && since.Before(in.versions.configSince) {
		in.versions.configSince = since
	}
	return true
}

// isHistoryCut reports whether the store has dropped a change after the given time, up to the revision:
// that of an endpoint which has started since.
func (in *interpreter) isHistoryCut(dropped Revision, since time.Time) bool {
	for _, e := range in.endpoints {
		if e.Revision <= dropped && e.StartedAtMillis > since.UnixMilli() {
			return true
		}
	}
	return false
}

// addHistory records the versions in changes after the given time. It returns false if an entry was
// removed or replaced whose version they don't tell.
func (in *interpreter) addHistory(items []Item, readAt, since time.Time) bool {
	wasWritten := make(map[string]bool)
	for _, item := range items {
		if item.Revision > in.versions.completeFrom {
			continue
		}
		hasUnknownPast := !wasWritten[item.Key] && !item.IsCreation
		if item.IsRemoved {
			if hasUnknownPast {
				return false
			}
			continue
		}
		wasWritten[item.Key] = true
		record, err := in.decode(item.Key, item.Value)
		if err != nil || record == nil || record.Endpoint == nil {
			if hasUnknownPast {
				return false
			}
			continue
		}
		e := record.Endpoint
		in.versions.recordLost(e.Service, e.Version, readAt)
		if hasUnknownPast && e.StartedAtMillis > since.UnixMilli() {
			in.versions.recordLost(e.Service, unknownVersion, readAt)
		}
	}
	return true
}
