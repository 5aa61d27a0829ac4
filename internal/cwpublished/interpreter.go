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
	// config is the configuration with the highest version.
	config    *cwroute.Config
	endpoints map[string]Registration
	// missingSince holds, for endpoints whose entry was removed, the time of the removal.
	missingSince map[string]time.Time
	// nameByKey holds the endpoint or the evacuated domain of each item, by key.
	nameByKey        map[string]string
	evacuatedDomains map[string]bool
	// draining are the incarnations with an entry that announced draining; a later entry
	// doesn't revoke that.
	draining map[incarnation]bool
	// storeUnreachableAt is when this instance or the source of a delta last could not
	// reach the store; zero if that never happened.
	storeUnreachableAt time.Time
	isStoreUnreachable bool
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
		nameByKey:        make(map[string]string),
		evacuatedDomains: make(map[string]bool),
		draining:         make(map[incarnation]bool),
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
			in.config = record.Config
		}
	case record.Evacuation != nil:
		in.nameByKey[item.Key] = record.Evacuation.Domain
		in.evacuatedDomains[record.Evacuation.Domain] = true
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
	e.IsDraining = in.draining[current]
	in.nameByKey[item.Key] = e.ID
	delete(in.missingSince, e.ID)
	in.endpoints[e.ID] = Registration{Endpoint: e, ReadAt: now, Revision: item.Revision}
}

// remove removes the endpoint or the evacuation of a key. A removed configuration stays in
// force.
func (in *interpreter) remove(key string, now time.Time) {
	name, isKnown := in.nameByKey[key]
	if !isKnown {
		return
	}
	delete(in.nameByKey, key)
	if in.evacuatedDomains[name] {
		delete(in.evacuatedDomains, name)
		return
	}
	if _, isKnown := in.endpoints[name]; isKnown {
		in.missingSince[name] = now
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
		delete(in.draining, incarnation{id: id, startedAtMillis: e.StartedAtMillis})
		delete(in.endpoints, id)
	}
	clear(in.missingSince)
	return time.Time{}
}

// view returns a view of all items that are applied so far.
func (in *interpreter) view(generation, revision uint64) *View {
	return &View{
		Generation:       generation,
		Revision:         revision,
		Config:           in.config,
		Endpoints:        maps.Clone(in.endpoints),
		EvacuatedDomains: maps.Clone(in.evacuatedDomains),
	}
}
