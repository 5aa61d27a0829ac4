package cwpublished

import (
	"maps"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// returnGrace is how long after a return of the store the endpoints have to
// register again before a missing entry counts as gone. The platform promises
// about two seconds.
const returnGrace = 2200 * time.Millisecond

// interpreter turns items into views. An endpoint whose entry lapsed while the
// store was away stays in use until the store has been back for a while.
type interpreter struct {
	decode    Decoder
	config    *cwroute.Config
	endpoints map[string]Registration
	// lapsed are endpoints whose entry vanished, by the time at which it did.
	lapsed    map[string]time.Time
	keys      map[string]string
	evacuated map[string]bool
	// drained are lives that said they leave; a later entry doesn't take it back.
	drained map[life]bool
	// awayUntil is when the store last was in trouble; zero if it never was.
	awayUntil time.Time
	away      bool
}

// life identifies one life of an endpoint.
type life struct {
	id   string
	born int64
}

func newInterpreter(decode Decoder) *interpreter {
	return &interpreter{
		decode:    decode,
		endpoints: make(map[string]Registration),
		lapsed:    make(map[string]time.Time),
		keys:      make(map[string]string),
		evacuated: make(map[string]bool),
		drained:   make(map[life]bool),
	}
}

// take takes in one changed item. It returns an error for an item that can't be
// understood; what its key stood for is then no longer in use.
func (in *interpreter) take(item Item, now time.Time) error {
	if item.Removed {
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
		in.keys[item.Key] = record.Evacuation.Domain
		in.evacuated[record.Evacuation.Domain] = true
	case record.Endpoint != nil:
		in.register(item, *record.Endpoint, now)
	}
	return nil
}

func (in *interpreter) register(item Item, e cwroute.Endpoint, now time.Time) {
	key := life{id: e.ID, born: e.Born}
	if e.Draining {
		in.drained[key] = true
	}
	e.Draining = in.drained[key]
	in.keys[item.Key] = e.ID
	delete(in.lapsed, e.ID)
	in.endpoints[e.ID] = Registration{Endpoint: e, ReadAt: now, Revision: item.Revision}
}

func (in *interpreter) remove(key string, now time.Time) {
	name, known := in.keys[key]
	if !known {
		return
	}
	delete(in.keys, key)
	if in.evacuated[name] {
		delete(in.evacuated, name)
		return
	}
	if _, known := in.endpoints[name]; known {
		in.lapsed[name] = now
	}
}

// storeAway notes whether the store answers this instance.
func (in *interpreter) storeAway(away bool, now time.Time) {
	if away || in.away {
		in.awayUntil = now
	}
	in.away = away
}

// troubled notes when the source of a change last had trouble with the store.
func (in *interpreter) troubled(at time.Time) {
	if at.After(in.awayUntil) {
		in.awayUntil = at
	}
}

// settle drops the endpoints whose entries vanished for good. It returns when to
// look again, zero if nothing waits.
func (in *interpreter) settle(now time.Time) time.Time {
	if len(in.lapsed) == 0 {
		return time.Time{}
	}
	due := in.awayUntil.Add(returnGrace)
	if in.away || (!in.awayUntil.IsZero() && now.Before(due)) {
		if in.away {
			return now.Add(returnGrace)
		}
		return due
	}
	for id := range in.lapsed {
		e := in.endpoints[id]
		delete(in.drained, life{id: id, born: e.Born})
		delete(in.endpoints, id)
	}
	clear(in.lapsed)
	return time.Time{}
}

// view returns the meaning of all items so far.
func (in *interpreter) view(generation, revision uint64) *View {
	return &View{
		Generation: generation,
		Revision:   revision,
		Config:     in.config,
		Endpoints:  maps.Clone(in.endpoints),
		Evacuated:  maps.Clone(in.evacuated),
	}
}
