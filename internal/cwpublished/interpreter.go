package cwpublished

import (
	"maps"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// reregistrationGrace is how long after a return of the store the endpoints have to
// register again before a missing entry counts as gone. The platform promises
// about two seconds.
const reregistrationGrace = 2200 * time.Millisecond

// interpreter turns items into views. An endpoint whose entry lapsed while the
// store was away stays in use until the store has been back for a while.
type interpreter struct {
	decode    Decoder
	config    *cwroute.Config
	endpoints map[string]Registration
	// missingSince are endpoints whose entry vanished, by the time at which it did.
	missingSince     map[string]time.Time
	nameByKey        map[string]string
	evacuatedDomains map[string]bool
	// draining are lives that said they leave; a later entry doesn't take it back.
	draining map[incarnation]bool
	// storeUnreachableAt is when the store last was in trouble; zero if it never was.
	storeUnreachableAt time.Time
	isStoreUnreachable bool
}

// incarnation identifies one life of an endpoint.
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

// apply takes in one changed item. It returns an error for an item that can't be
// understood; what its key stood for is then no longer in use.
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
	key := incarnation{id: e.ID, startedAtMillis: e.StartedAtMillis}
	if e.IsDraining {
		in.draining[key] = true
	}
	e.IsDraining = in.draining[key]
	in.nameByKey[item.Key] = e.ID
	delete(in.missingSince, e.ID)
	in.endpoints[e.ID] = Registration{Endpoint: e, ReadAt: now, Revision: item.Revision}
}

func (in *interpreter) remove(key string, now time.Time) {
	name, known := in.nameByKey[key]
	if !known {
		return
	}
	delete(in.nameByKey, key)
	if in.evacuatedDomains[name] {
		delete(in.evacuatedDomains, name)
		return
	}
	if _, known := in.endpoints[name]; known {
		in.missingSince[name] = now
	}
}

// setStoreUnreachable notes whether the store answers this instance.
func (in *interpreter) setStoreUnreachable(away bool, now time.Time) {
	if away || in.isStoreUnreachable {
		in.storeUnreachableAt = now
	}
	in.isStoreUnreachable = away
}

// noteStoreUnreachableAt notes when the source of a change last had trouble with the store.
func (in *interpreter) noteStoreUnreachableAt(at time.Time) {
	if at.After(in.storeUnreachableAt) {
		in.storeUnreachableAt = at
	}
}

// dropMissing drops the endpoints whose entries vanished for good. It returns when to
// look again, zero if nothing waits.
func (in *interpreter) dropMissing(now time.Time) time.Time {
	if len(in.missingSince) == 0 {
		return time.Time{}
	}
	due := in.storeUnreachableAt.Add(reregistrationGrace)
	if in.isStoreUnreachable || (!in.storeUnreachableAt.IsZero() && now.Before(due)) {
		if in.isStoreUnreachable {
			return now.Add(reregistrationGrace)
		}
		return due
	}
	for id := range in.missingSince {
		e := in.endpoints[id]
		delete(in.draining, incarnation{id: id, startedAtMillis: e.StartedAtMillis})
		delete(in.endpoints, id)
	}
	clear(in.missingSince)
	return time.Time{}
}

// view returns the meaning of all items so far.
func (in *interpreter) view(generation, revision uint64) *View {
	return &View{
		Generation:       generation,
		Revision:         revision,
		Config:           in.config,
		Endpoints:        maps.Clone(in.endpoints),
		EvacuatedDomains: maps.Clone(in.evacuatedDomains),
	}
}
