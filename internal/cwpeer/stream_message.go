package cwpeer

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwproto"
	"github.com/clementinewell/clementinewell/internal/cwstream"
)

// StreamLedger holds the origins of streams.
type StreamLedger interface {
	// TakeUntold returns the streams to tell other instances, each of them once.
	TakeUntold(now time.Time) []cwstream.Record
	// Merge adds the streams that another instance began.
	Merge(records []cwstream.Record, now time.Time)
	// Find returns the record of a stream, false if it is not known.
	Find(id cwstream.ID, now time.Time) (cwstream.Record, bool)
	// ExplainAbsence returns why Find returns no record of a stream.
	ExplainAbsence(id cwstream.ID, now time.Time) cwstream.Absence
}

func protoStreamGroups(records []cwstream.Record, now time.Time) []*cwproto.StreamGroup {
	var groups []*cwproto.StreamGroup
	byOrigin := make(map[cwstream.Origin]*cwproto.StreamGroup)
	for i := range records {
		r := &records[i]
		group := byOrigin[r.Origin]
		if group == nil {
			group = &cwproto.StreamGroup{Service: r.Origin.Service, Version: r.Origin.Version, Observed: r.IsObserved}
			byOrigin[r.Origin] = group
			groups = append(groups, group)
		}
		group.Streams = append(group.Streams, uint64(r.ID))
		group.RemainingMillis = append(group.RemainingMillis, uint32(max(r.ExpiresAt.Sub(now), 0).Milliseconds()))
	}
	return groups
}

func streamRecordsOf(groups []*cwproto.StreamGroup, now time.Time) []cwstream.Record {
	var records []cwstream.Record
	for _, group := range groups {
		origin := cwstream.Origin{Service: group.GetService(), Version: group.GetVersion()}
		remaining := group.GetRemainingMillis()
		for n, id := range group.GetStreams()[:min(len(group.GetStreams()), len(remaining))] {
			records = append(records, cwstream.Record{ID: cwstream.ID(id), Origin: origin, ExpiresAt: now.Add(time.Duration(remaining[n]) * time.Millisecond), IsObserved: group.GetObserved()})
		}
	}
	return records
}
