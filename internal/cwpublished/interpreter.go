package cwpublished

import (
	"maps"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// reregistrationGrace is the time that endpoints have to register again once the store is
// reachable again; an endpoint without an entry is dropped only after it. The platform
// guarantees registration within about two seconds.
const reregistrationGrace = 2200 * time.Millisecond

// interpreter decodes items and builds views of them. An endpoint whose entry expired
// while the store was unreachable stays in use until reregistrationGrace after the store
// is reachable again.
type interpreter struct {
	decode Decoder
	// config is the configuration with the highest version, and configItem its item.
	config     *cwroute.Config
	configItem Item
	// isConfigKept is set while that configuration is newer than the one of the store, which came back
	// from a copy.
	isConfigKept bool
	endpoints    map[string]Registration
	// missingSince holds, for endpoints whose entry was removed, the time of the removal.
	missingSince map[string]time.Time
	// endpointByKey and evacuationByKey hold the endpoint or the evacuated domain of each item,
	// by key.
	endpointByKey    map[string]string
	evacuationByKey  map[string]string
	evacuatedDomains map[string]bool
	// draining are the incarnations with an entry that announced draining; a later entry
	// doesn't revoke that.
	draining map[incarnation]bool
	// storeUnreachableAt is when this instance or the source of a delta last could not
	// reach the store; zero if that never happened.
	storeUnreachableAt time.Time
	isStoreUnreachable bool
	// isRestoring is set while items of a restored store are applied.
	isRestoring bool
	// removed are the incarnations that were dropped, with the time. The entry of one in a
	// copy of the store is out of date.
	removed map[incarnation]time.Time
	// lostEntries are the endpoints in missingSince whose entry a copy of the store does not
	// have. They have not been removed.
	lostEntries map[string]bool
	// lostEvacuations holds, for evacuations that a copy of the store does not have, until
	// when they are kept.
	lostEvacuations map[string]time.Time
	versions        *versionLog
}

const (
	// operatorRewriteTime is how long an evacuation that a restored store has lost is kept.
	// By then the operator has written again what is still wanted.
	operatorRewriteTime = 10 * time.Second
	// removedRetention is how long dropped incarnations are kept. A copy of the store is some
	// seconds old.
	removedRetention = 2 * time.Minute
)

// beginEra prepares for the items of a store that was restored from a copy: what it has lost
// is written again, as after an outage.
func (in *interpreter) beginEra(now time.Time) {
	in.isRestoring = true
	in.storeUnreachableAt = now
}

// incarnation identifies an endpoint from one start to the next.
type incarnation struct {
	id              string
	startedAtMillis int64
}

func newInterpreter(decode Decoder) *interpreter {
	return &interpreter{
		decode:           decode,
		endpoints:        make(map[string]Registration),
		missingSince:     make(map[string]time.Time),
		endpointByKey:    make(map[string]string),
		evacuationByKey:  make(map[string]string),
		evacuatedDomains: make(map[string]bool),
		draining:         make(map[incarnation]bool),
		removed:          make(map[incarnation]time.Time),
		lostEntries:      make(map[string]bool),
		lostEvacuations:  make(map[string]time.Time),
		versions:         newVersionLog(),
	}
}

// apply applies one changed item. It returns an error for an item that can't be decoded.
// An endpoint or an evacuation of its key is then treated as removed; the configuration
// stays in force.
func (in *interpreter) apply(item Item, now time.Time) error {
	if item.IsRemoved {
		in.remove(item.Key, now)
		return nil
	}
	record, err := in.decode(item.Key, item.Value)
	if err != nil {
		in.remove(item.Key, now)
		return err
	}
	switch {
	case record == nil:
	case record.Config != nil:
		if in.config == nil || record.Config.Version >= in.config.Version {
			in.config, in.configItem, in.isConfigKept, in.versions.configSince = record.Config, item, false, now
		}
	case record.Evacuation != nil:
		in.evacuationByKey[item.Key] = record.Evacuation.Domain
		in.evacuatedDomains[record.Evacuation.Domain] = true
		delete(in.lostEvacuations, record.Evacuation.Domain)
	case record.Endpoint != nil:
		in.register(item, *record.Endpoint, now)
	}
	return nil
}

func (in *interpreter) register(item Item, e cwroute.Endpoint, now time.Time) {
	current := incarnation{id: e.ID, startedAtMillis: e.StartedAtMillis}
	if e.IsDraining {
		in.draining[current] = true
	}
	known, isKnown := in.endpoints[e.ID]
	if isKnown {
		in.versions.recordLost(known.Service, known.Version, now)
	}
	if in.isRestoring && (in.isRemoved(current) || isKnown && e.StartedAtMillis < known.StartedAtMillis) {
		return
	}
	delete(in.removed, current)
	if isKnown && known.StartedAtMillis != e.StartedAtMillis {
		in.removed[incarnation{id: e.ID, startedAtMillis: known.StartedAtMillis}] = now
	}
	e.IsDraining = in.draining[current]
	in.endpointByKey[item.Key] = e.ID
	delete(in.missingSince, e.ID)
	delete(in.lostEntries, e.ID)
	in.endpoints[e.ID] = Registration{Endpoint: e, ReadAt: now, Revision: item.Revision}
}

// isRemoved reports whether the entry of an incarnation was removed.
func (in *interpreter) isRemoved(i incarnation) bool {
	_, isMissing := in.missingSince[i.id]
	_, isDropped := in.removed[i]
	return isMissing && !in.lostEntries[i.id] && in.endpoints[i.id].StartedAtMillis == i.startedAtMillis || isDropped
}

// remove removes the endpoint or the evacuation of a key. A removed configuration stays in
// force.
func (in *interpreter) remove(key string, now time.Time) {
	if domain, isKnown := in.evacuationByKey[key]; isKnown {
		delete(in.evacuationByKey, key)
		if in.isRestoring {
			in.lostEvacuations[domain] = now.Add(operatorRewriteTime)
			return
		}
		delete(in.evacuatedDomains, domain)
	}
	id, isKnown := in.endpointByKey[key]
	delete(in.endpointByKey, key)
	if _, isRegistered := in.endpoints[id]; isKnown && isRegistered {
		in.missingSince[id] = now
		if in.isRestoring {
			in.lostEntries[id] = true
		}
	}
}

// setStoreUnreachable records whether the store is unreachable for this instance.
func (in *interpreter) setStoreUnreachable(isUnreachable bool, now time.Time) {
	if isUnreachable || in.isStoreUnreachable {
		in.storeUnreachableAt = now
	}
	in.isStoreUnreachable = isUnreachable
}

// recordStoreUnreachableAt records when the source of a delta last could not reach the
// store.
func (in *interpreter) recordStoreUnreachableAt(at time.Time) {
	if at.After(in.storeUnreachableAt) {
		in.storeUnreachableAt = at
	}
}

// dropMissing drops the endpoints without an entry, unless they may still register
// again. It returns when to call it again; zero if no such endpoint is left.
func (in *interpreter) dropMissing(now time.Time) time.Time {
	recheckAt := in.dropLostEvacuations(now)
	if endpointsAt := in.dropMissingEndpoints(now); recheckAt.IsZero() || !endpointsAt.IsZero() && endpointsAt.Before(recheckAt) {
		return endpointsAt
	}
	return recheckAt
}

// dropLostEvacuations ends the evacuations that were not written again in time. It returns
// when to call it again; zero if none is left.
func (in *interpreter) dropLostEvacuations(now time.Time) time.Time {
	var recheckAt time.Time
	for domain, until := range in.lostEvacuations {
		if !now.Before(until) {
			delete(in.lostEvacuations, domain)
			delete(in.evacuatedDomains, domain)
		} else if recheckAt.IsZero() || until.Before(recheckAt) {
			recheckAt = until
		}
	}
	return recheckAt
}

// dropMissingEndpoints drops the endpoints without an entry. It returns when to call it again;
// zero if no such endpoint is left.
func (in *interpreter) dropMissingEndpoints(now time.Time) time.Time {
	for i, at := range in.removed {
		if now.Sub(at) > removedRetention {
			delete(in.removed, i)
		}
	}
	if len(in.missingSince) == 0 {
		return time.Time{}
	}
	graceEnd := in.storeUnreachableAt.Add(reregistrationGrace)
	if in.isStoreUnreachable || (!in.storeUnreachableAt.IsZero() && now.Before(graceEnd)) {
		if in.isStoreUnreachable {
			return now.Add(reregistrationGrace)
		}
		return graceEnd
	}
	for id := range in.missingSince {
		e := in.endpoints[id]
		dropped := incarnation{id: id, startedAtMillis: e.StartedAtMillis}
		delete(in.draining, dropped)
		in.versions.recordLost(e.Service, e.Version, now)
		in.removed[dropped] = now
		delete(in.endpoints, id)
	}
	clear(in.missingSince)
	clear(in.lostEntries)
	return time.Time{}
}

// view returns a view of all items that are applied so far.
func (in *interpreter) view(generation uint64, revision Revision) *View {
	return &View{
		Generation:       generation,
		Revision:         revision,
		Config:           in.config,
		Endpoints:        maps.Clone(in.endpoints),
		EvacuatedDomains: maps.Clone(in.evacuatedDomains),
	}
}
