package cwpublished

import "time"

// maxVersionAge bounds how long a software version without endpoints is remembered. It is far above
// the time for which a caller may take a stream up.
const maxVersionAge = 10 * time.Minute

// softwareVersion is a software version of the endpoints of a service.
type softwareVersion struct {
	service, version string
}

// unknownVersion stands for a version of which only the service is known.
const unknownVersion = ""

// versionLog remembers the software versions that have lately lost endpoints, and since when this
// instance knows of all of them.
type versionLog struct {
	// completeSince is the time from which on no version is missing, and completeFrom the revision of the
	// published state at that time.
	completeSince time.Time
	completeFrom  Revision
	// gapFrom is the revision after which this instance has not seen each change, up to completeFrom. A
	// history that tells the versions begins there or earlier.
	gapFrom Revision
	// configSince is the time since which the configuration is known not to have changed; zero if it is
	// the first one.
	configSince time.Time
	// lostAt is when an endpoint of the version was last replaced or dropped.
	lostAt map[softwareVersion]time.Time
}

func newVersionLog() *versionLog {
	return &versionLog{lostAt: make(map[softwareVersion]time.Time)}
}

// recordLost records that an endpoint of a version was replaced or dropped.
func (l *versionLog) recordLost(service, version string, now time.Time) {
	l.lostAt[softwareVersion{service, version}] = now
	for v, at := range l.lostAt {
		if now.Sub(at) > maxVersionAge {
			delete(l.lostAt, v)
		}
	}
}

// restart is called when this instance reads the published state for the first time, or after changes
// since the previous revision that it has not seen one by one.
func (l *versionLog) restart(previous, revision Revision, now time.Time) {
	l.completeSince, l.completeFrom, l.gapFrom = now, revision, revision
	if previous > 0 {
		l.gapFrom = previous
	}
}
