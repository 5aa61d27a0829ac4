package cwpublished_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

const (
	// historyLength is how long historyStore keeps changes, and streamWindow the time for which a stream
	// of unknown origin may have begun.
	historyLength = 20 * time.Second
	streamWindow  = 16 * time.Second
	// storeAge is how long the store is there when the instance starts.
	storeAge = time.Hour
)

// timedChange is a change of an item at a time after the start of the instance. The value is the
// version of a configuration, or "VERSION START" of an endpoint, with its start in seconds after that
// of the instance; empty for a removal.
type timedChange struct {
	at         time.Duration
	key, value string
}

// historyStore keeps items, and changes of endpoints for historyLength.
type historyStore struct {
	items   map[string]cwpublished.Item
	changes []cwpublished.Item
	madeAt  []time.Time
	// dropped is the revision up to which changes are not kept.
	revision, dropped uint64
	isAway            bool
	reads             int
}

func (s *historyStore) change(key, value string) cwpublished.Item {
	_, exists := s.items[key]
	s.revision++
	item := cwpublished.Item{Key: key, Value: []byte(value), Revision: cwpublished.NewRevision(0, s.revision), IsRemoved: value == "", IsCreation: !exists && value != ""}
	if item.IsRemoved {
		delete(s.items, key)
	} else {
		s.items[key] = item
	}
	s.changes, s.madeAt = append(s.changes, item), append(s.madeAt, time.Now())
	return item
}

// forget drops the history.
func (s *historyStore) forget() {
	s.dropped, s.changes, s.madeAt = s.revision, nil, nil
}

// ReadHistory returns the changes of endpoints after a revision.
func (s *historyStore) ReadHistory(_ context.Context, after cwpublished.Revision) (cwpublished.Changes, error) {
	s.reads++
	if s.isAway {
		return cwpublished.Changes{}, errors.New("no answer")
	}
	for len(s.changes) > 0 && time.Since(s.madeAt[0]) > historyLength {
		s.dropped = s.changes[0].Revision.StoreRevision()
		s.changes, s.madeAt = s.changes[1:], s.madeAt[1:]
	}
	if after.StoreRevision() < s.dropped {
		return cwpublished.Changes{}, cwpublished.ErrCompacted
	}
	changes := cwpublished.Changes{Revision: cwpublished.NewRevision(0, s.revision)}
	for _, item := range s.changes {
		if item.Revision > after && item.Key != configKey {
			changes.Items = append(changes.Items, item)
		}
	}
	return changes, nil
}

// decodeVersioned decodes the items of timedChange.
func decodeVersioned(startedAt time.Time) cwpublished.Decoder {
	return func(key string, value []byte) (*cwpublished.Record, error) {
		if key == configKey {
			return decodeTestItem(key, value)
		}
		version, start, _ := strings.Cut(string(value), " ")
		seconds, err := strconv.Atoi(start)
		if err != nil {
			return nil, fmt.Errorf("decode %s: %w", key, err)
		}
		born := startedAt.Add(time.Duration(seconds) * time.Second).UnixMilli()
		return &cwpublished.Record{Endpoint: &cwroute.Endpoint{ID: key, Service: "s", Version: version, StartedAtMillis: born}}, nil
	}
}

// TestOnlyVersionBeforeStart guards against streams that can't go on after the loss of all instances
// although only one version can have begun them, and against streams of two versions where another one
// was or may have been there.
func TestOnlyVersionBeforeStart(t *testing.T) {
	// calm are a configuration and endpoints that have been there for long.
	calm := []timedChange{{-time.Hour, configKey, "1"}, {-time.Hour, "a", "v1 -3600"}, {-time.Hour, "b", "v1 -3600"}}
	for _, sc := range []struct {
		name    string
		changes []timedChange
		// prepare changes the store before the instance starts, and disturb after that.
		prepare, disturb func(s *historyStore)
		// isUnseen is set if the instance does not get changes after its start.
		isUnseen bool
		// after is the time from the start to the question; 3 s if it is 0.
		after time.Duration
		want  cwpublished.VersionDoubt
	}{
		{name: "calm"},
		{name: "calm, the store has forgotten its history", prepare: (*historyStore).forget},
		{name: "joins before the start", changes: []timedChange{{-5 * time.Second, "c", "v1 -6"}}},
		{name: "an entry changes before the start", changes: []timedChange{{-5 * time.Second, "a", "v1 -3600"}}},
		{name: "another version comes and goes before the start", changes: []timedChange{{-15 * time.Second, "c", "v2 -16"}, {-10 * time.Second, "c", ""}}, want: cwpublished.SeveralVersions},
		{name: "another version went long before the start", changes: []timedChange{{-40 * time.Second, "c", "v2 -41"}, {-25 * time.Second, "c", ""}}},
		{name: "an endpoint of unknown version goes before the start", changes: []timedChange{{-40 * time.Second, "c", "v1 -41"}, {-10 * time.Second, "c", ""}}, want: cwpublished.HistoryIncomplete},
		{name: "that was long ago when the stream is taken up", changes: []timedChange{{-40 * time.Second, "c", "v1 -41"}, {-10 * time.Second, "c", ""}}, after: 17 * time.Second},
		{name: "replaced in place before the start", changes: []timedChange{{-5 * time.Second, "a", "v1 -6"}}, want: cwpublished.SeveralVersions},
		{name: "another version is replaced, and the store forgets that", changes: []timedChange{{-40 * time.Second, "c", "v2 -41"}, {-10 * time.Second, "c", ""}, {-8 * time.Second, "d", "v1 -8"}}, prepare: (*historyStore).forget, want: cwpublished.HistoryIncomplete},
		{name: "another version is there", changes: []timedChange{{-time.Minute, "c", "v2 -60"}}, want: cwpublished.SeveralVersions},
		{name: "another version joins after the start", changes: []timedChange{{time.Second, "c", "v2 1"}}, want: cwpublished.SeveralVersions},
		{name: "another version comes and goes after the start", changes: []timedChange{{time.Second, "c", "v2 1"}, {2 * time.Second, "c", ""}}, want: cwpublished.SeveralVersions},
		{name: "another version joins unseen", changes: []timedChange{{time.Second, "c", "v2 1"}}, isUnseen: true, want: cwpublished.StoreUnread},
		{name: "another version went long ago after the start", changes: []timedChange{{time.Second, "c", "v2 1"}, {2 * time.Second, "c", ""}}, after: 19 * time.Second},
		{name: "the configuration changes before the start", changes: []timedChange{{-5 * time.Second, configKey, "2"}}, want: cwpublished.ConfigChanged},
		{name: "the configuration changes after the start", changes: []timedChange{{time.Second, configKey, "2"}}, want: cwpublished.ConfigChanged},
		{name: "the store is away", disturb: func(s *historyStore) { s.isAway = true }, want: cwpublished.StoreUnread},
	} {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &historyStore{items: make(map[string]cwpublished.Item)}
				startsAt := time.Now().Add(storeAge)
				common := &cwcommon.Common{Log: zap.NewNop(), Metrics: tally.NoopScope}
				state := cwpublished.NewState(common, decodeVersioned(startsAt))
				changes := append(calm[:len(calm):len(calm)], sc.changes...)
				for len(changes) > 0 && changes[0].at < 0 {
					time.Sleep(time.Until(startsAt.Add(changes[0].at)))
					store.change(changes[0].key, changes[0].value)
					changes = changes[1:]
				}
				time.Sleep(time.Until(startsAt))
				if sc.prepare != nil {
					sc.prepare(store)
				}
				state.Apply("store", cwpublished.Delta{Items: valuesOf(store.items), Revision: cwpublished.NewRevision(0, store.revision), IsFull: true})
				if sc.disturb != nil {
					sc.disturb(store)
				}
				for _, c := range changes {
					time.Sleep(time.Until(startsAt.Add(c.at)))
					item := store.change(c.key, c.value)
					if !sc.isUnseen {
						state.Apply("store", cwpublished.Delta{Items: []cwpublished.Item{item}, Revision: item.Revision})
					}
				}
				if sc.after == 0 {
					sc.after = 3 * time.Second
				}
				time.Sleep(time.Until(startsAt.Add(sc.after)))
				history := cwpublished.NewVersionHistory(common, state, store, historyLength)
				version, doubt := history.SoleVersion(t.Context(), "s", streamWindow)
				is.Equal(doubt, sc.want)
				is.Equal(version == "v1", sc.want == "")
				reads := store.reads
				_, again := history.SoleVersion(t.Context(), "s", streamWindow)
				is.Equal(again, sc.want)
				is.Equal(store.reads, reads) // the store is not read for each stream
			})
		})
	}
}

// TestFirstConfigurationIsNoChange guards against a young deployment whose streams can't go on, since
// its only configuration is taken for a new one.
func TestFirstConfigurationIsNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &historyStore{items: make(map[string]cwpublished.Item)}
		common := &cwcommon.Common{Log: zap.NewNop(), Metrics: tally.NoopScope}
		state := cwpublished.NewState(common, decodeVersioned(time.Now()))
		store.change(configKey, "1")
		store.change("a", "v1 0")
		full := cwpublished.Delta{Items: valuesOf(store.items), Revision: cwpublished.NewRevision(0, store.revision), IsFull: true}
		fromPeer := full
		fromPeer.Items = nil
		for _, item := range full.Items {
			item.IsCreation = false
			fromPeer.Items = append(fromPeer.Items, item)
		}
		state.Apply("10.0.0.2:8003", fromPeer)
		state.Apply("store", full)
		history := cwpublished.NewVersionHistory(common, state, store, historyLength)
		version, doubt := history.SoleVersion(t.Context(), "s", streamWindow)
		is.Equal(doubt, cwpublished.VersionDoubt(""))
		is.Equal(version, "v1")
	})
}

// TestUnseenEndpointIsDoubted guards against an instance that takes a version for the only one although
// an endpoint came and went between two changes that a peer told it.
func TestUnseenEndpointIsDoubted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &historyStore{items: make(map[string]cwpublished.Item)}
		common := &cwcommon.Common{Log: zap.NewNop(), Metrics: tally.NoopScope}
		state := cwpublished.NewState(common, decodeVersioned(time.Now()))
		store.change(configKey, "1")
		store.change("a", "v1 -3600")
		state.Apply("store", cwpublished.Delta{Items: valuesOf(store.items), Revision: cwpublished.NewRevision(0, store.revision), IsFull: true})
		time.Sleep(time.Minute)
		store.change("c", "v2 1")
		removal := store.change("c", "")
		state.Apply("10.0.0.2:8003", cwpublished.Delta{Items: []cwpublished.Item{removal}, Revision: removal.Revision})
		store.forget()
		history := cwpublished.NewVersionHistory(common, state, store, historyLength)
		_, doubt := history.SoleVersion(t.Context(), "s", streamWindow)
		is.Equal(doubt, cwpublished.HistoryIncomplete)
		time.Sleep(streamWindow)
		_, doubt = history.SoleVersion(t.Context(), "s", streamWindow)
		is.Equal(doubt, cwpublished.VersionDoubt("")) // a stream that began before that is over
	})
}

func valuesOf(items map[string]cwpublished.Item) []cwpublished.Item {
	var values []cwpublished.Item
	for _, item := range items {
		values = append(values, item)
	}
	return values
}
