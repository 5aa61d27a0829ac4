package cwpeer

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcrash"
	"github.com/clementinewell/clementinewell/internal/cwproto"
)

// CrashLedger holds the evidence about requests that end endpoints.
type CrashLedger interface {
	// Reports returns the evidence to send to another instance, at most limit records.
	Reports(now time.Time, limit int) []*cwcrash.Evidence
	// Merge adds the evidence of another instance.
	Merge(reports []*cwcrash.Evidence, now time.Time)
	// Changed returns a channel that gets a value when other instances must be told at once.
	Changed() <-chan struct{}
}

// maxExchangedCrashes bounds the records in one exchange. Blocks beyond it take turns.
const maxExchangedCrashes = 32

// minNamedEnds is the number of ends from which the name of a trait is sent: most traits never
// get there.
const minNamedEnds = 2

// maxCrashNameBytes bounds the name of a trait that another instance sent.
const maxCrashNameBytes = 200

func protoCrashRecords(reports []*cwcrash.Evidence, now time.Time) []*cwproto.CrashRecord {
	records := make([]*cwproto.CrashRecord, 0, len(reports))
	for _, e := range reports {
		name := e.Name
		if len(e.Ends) < minNamedEnds {
			name = ""
		}
		records = append(records, &cwproto.CrashRecord{
			Trait: uint64(e.Trait), Path: uint64(e.Path), Name: name, FirstPart: e.IsFirstPart, Ends: protoCrashEvents(e.Ends, now), Survivals: protoCrashEvents(e.Survivals, now),
			SeenAgeMillis: optionalAgeMillis(e.SeenAt, now), LiftedAgeMillis: optionalAgeMillis(e.LiftedAt, now),
		})
	}
	return records
}

func protoCrashEvents(events []cwcrash.Event, now time.Time) []*cwproto.CrashEvent {
	list := make([]*cwproto.CrashEvent, 0, len(events))
	for _, e := range events {
		list = append(list, &cwproto.CrashEvent{Id: e.ID, Request: e.Request, AgeMillis: uint32(max(now.Sub(e.At), 0).Milliseconds())})
	}
	return list
}

// optionalAgeMillis returns the age of a time plus 1 ms, 0 if the time is zero.
func optionalAgeMillis(at, now time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(max(now.Sub(at), 0).Milliseconds()) + 1
}

func crashReportsOf(records []*cwproto.CrashRecord, now time.Time) []*cwcrash.Evidence {
	reports := make([]*cwcrash.Evidence, 0, len(records))
	for _, r := range records {
		name := r.GetName()
		reports = append(reports, &cwcrash.Evidence{
			Suspect: cwcrash.Suspect{Trait: cwcrash.Trait(r.GetTrait()), Name: name[:min(len(name), maxCrashNameBytes)], IsFirstPart: r.GetFirstPart(), Path: cwcrash.Trait(r.GetPath())},
			Ends:    crashEventsOf(r.GetEnds(), now), Survivals: crashEventsOf(r.GetSurvivals(), now),
			SeenAt: optionalTimeOf(r.GetSeenAgeMillis(), now), LiftedAt: optionalTimeOf(r.GetLiftedAgeMillis(), now),
		})
	}
	return reports
}

func crashEventsOf(list []*cwproto.CrashEvent, now time.Time) []cwcrash.Event {
	events := make([]cwcrash.Event, 0, len(list))
	for _, e := range list {
		events = append(events, cwcrash.Event{ID: e.GetId(), Request: e.GetRequest(), At: now.Add(-time.Duration(e.GetAgeMillis()) * time.Millisecond)})
	}
	return events
}

func optionalTimeOf(ageMillis uint32, now time.Time) time.Time {
	if ageMillis == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMillis-1) * time.Millisecond)
}
