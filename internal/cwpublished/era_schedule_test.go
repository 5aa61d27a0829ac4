package cwpublished_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

const (
	eraSteps = 60
	// settlingSteps is the time in seconds after which all instances agree on what is written
	// again.
	settlingSteps = 15
	configKey     = "config"
	evacuationKey = "evacuate"
)

// decodeTestItem decodes an item: the version of a configuration, or "BORN STATE" of an
// endpoint.
func decodeTestItem(key string, value []byte) (*cwpublished.Record, error) {
	switch key {
	case configKey:
		version, err := strconv.ParseUint(string(value), 10, 64)
		return &cwpublished.Record{Config: &cwroute.Config{Version: version}}, err
	case evacuationKey:
		return &cwpublished.Record{Evacuation: &cwroute.Evacuation{Domain: "north"}}, nil
	}
	born, state, _ := strings.Cut(string(value), " ")
	startedAt, err := strconv.ParseInt(born, 10, 64)
	return &cwpublished.Record{Endpoint: &cwroute.Endpoint{ID: key, StartedAtMillis: startedAt, IsDraining: state == "draining"}}, err
}

// eraStore is a store that can be restored from a copy.
type eraStore struct {
	era, revision uint64
	items         map[string]cwpublished.Item
	// events are the changes of this era after baseRevision.
	events       []cwpublished.Item
	baseRevision uint64
}

// write writes an item, or removes it if the value is empty.
func (s *eraStore) write(key, value string) {
	if _, exists := s.items[key]; !exists && value == "" {
		return
	}
	s.revision++
	item := cwpublished.Item{Key: key, Value: []byte(value), Revision: cwpublished.NewRevision(s.era, s.revision), IsRemoved: value == ""}
	s.events = append(s.events, item)
	if item.IsRemoved {
		delete(s.items, key)
		return
	}
	s.items[key] = item
}

func (s *eraStore) copy() *eraStore {
	return &eraStore{revision: s.revision, items: maps.Clone(s.items)}
}

// restore replaces the items by those of a copy and begins the next era.
func (s *eraStore) restore(c *eraStore) {
	s.era++
	s.revision, s.baseRevision, s.events = c.revision, c.revision, nil
	s.items = make(map[string]cwpublished.Item)
	for key, item := range c.items {
		item.Revision = cwpublished.NewRevision(s.era, item.Revision.StoreRevision())
		s.items[key] = item
	}
}

// read returns what an instance reads that knows the state up to a revision.
func (s *eraStore) read(after cwpublished.Revision) cwpublished.Delta {
	d := cwpublished.Delta{Revision: cwpublished.NewRevision(s.era, s.revision)}
	if after == 0 || after.Era() != s.era || after.StoreRevision() < s.baseRevision || after.StoreRevision() > s.revision {
		d.IsFull, d.Items = true, slices.Collect(maps.Values(s.items))
		return d
	}
	for _, item := range s.events {
		if item.Revision > after {
			d.Items = append(d.Items, item)
		}
	}
	return d
}

// eraInstance is an instance with its copy of the state, and what was seen of it.
type eraInstance struct {
	*cwpublished.State
	isCutFromStore, isCutFromPeers bool
	configVersion                  uint64
	// gone are the incarnations that it knew to be draining or removed, and used those that it
	// used in the step before.
	gone, used map[string]bool
}

// usedIncarnations returns the endpoints that get new requests.
func (i *eraInstance) usedIncarnations() map[string]bool {
	used := make(map[string]bool)
	for id, r := range i.View().Endpoints {
		if !r.IsDraining {
			used[fmt.Sprint(id, " ", r.StartedAtMillis)] = true
		}
	}
	return used
}

// eraSchedule is a store, what the operator and the endpoints want it to hold, and instances.
type eraSchedule struct {
	store     *eraStore
	copied    *eraStore
	wanted    map[string]string
	rewriteAt int
	version   int
	born      int
	instances []*eraInstance
}

func (s *eraSchedule) write(key, value string) {
	s.wanted[key] = value
	s.store.write(key, value)
}

// eraChange is one change or fault of a schedule.
type eraChange struct {
	kind, instance int
	endpoint       string
	evacuates      bool
	// rewriteAfter is the number of steps until what a restored store has lost is written again.
	rewriteAfter int
}

func drawEraChange(t *rapid.T) eraChange {
	return eraChange{
		kind: rapid.IntRange(0, 9).Draw(t, "kind"), instance: rapid.IntRange(0, 2).Draw(t, "instance"),
		endpoint: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint"), evacuates: rapid.Bool().Draw(t, "evacuates"),
		rewriteAfter: rapid.IntRange(1, 2).Draw(t, "rewriteAfter"),
	}
}

func (s *eraSchedule) apply(c eraChange, step int) {
	i := s.instances[c.instance]
	switch c.kind {
	case 0:
		s.version++
		s.write(configKey, fmt.Sprint(s.version))
	case 1, 2:
		s.born++
		s.write(c.endpoint, fmt.Sprint(s.born, " ready"))
	case 3:
		if born, _, ok := strings.Cut(s.wanted[c.endpoint], " "); ok {
			s.write(c.endpoint, born+" draining")
		}
	case 4:
		s.write(c.endpoint, "")
	case 5:
		if c.evacuates {
			s.write(evacuationKey, "now")
		} else {
			s.write(evacuationKey, "")
		}
	case 6:
		s.copied = s.store.copy()
	case 7:
		if s.copied != nil && s.rewriteAt == 0 {
			s.store.restore(s.copied)
			s.rewriteAt = step + c.rewriteAfter
		}
	case 8:
		i.isCutFromStore = !i.isCutFromStore
	case 9:
		i.isCutFromPeers = !i.isCutFromPeers
	}
}

// rewrite writes again what the restored store has lost.
func (s *eraSchedule) rewrite() {
	s.rewriteAt = 0
	for _, key := range slices.Sorted(maps.Keys(s.wanted)) {
		if string(s.store.items[key].Value) != s.wanted[key] {
			s.store.write(key, s.wanted[key])
		}
	}
}

// update lets all instances read the store, or pull from a peer.
func (s *eraSchedule) update() {
	for _, i := range s.instances {
		i.SetStoreUnreachable(i.isCutFromStore)
		if !i.isCutFromStore {
			i.Apply("store", s.store.read(i.Revision()))
		}
	}
	for _, i := range s.instances {
		for _, peer := range s.instances {
			if !i.isCutFromPeers && !peer.isCutFromPeers && peer.Revision() > i.Revision() {
				i.Apply("peer", peer.ChangesSince(i.Revision()))
			}
		}
	}
}

// check checks that no instance goes back to an older configuration or to an endpoint that it
// knew to be gone.
func (s *eraSchedule) check() error {
	for n, i := range s.instances {
		version := uint64(0)
		if config := i.View().Config; config != nil {
			version = config.Version
		}
		if version < i.configVersion {
			return fmt.Errorf("instance %d went back from configuration %d to %d", n, i.configVersion, version)
		}
		i.configVersion = version
		used := i.usedIncarnations()
		for incarnation := range used {
			if i.gone[incarnation] {
				return fmt.Errorf("instance %d uses %s again", n, incarnation)
			}
		}
		for incarnation := range i.used {
			if !used[incarnation] {
				i.gone[incarnation] = true
			}
		}
		i.used = used
	}
	return nil
}

// checkAgreement checks that all instances hold what is wanted.
func (s *eraSchedule) checkAgreement() error {
	want := make(map[string]bool)
	for key, value := range s.wanted {
		if born, state, ok := strings.Cut(value, " "); ok && state == "ready" {
			want[key+" "+born] = true
		}
	}
	for n, i := range s.instances {
		if got := i.usedIncarnations(); !maps.Equal(got, want) {
			return fmt.Errorf("instance %d uses %v, want %v", n, got, want)
		}
		if got := i.View().EvacuatedDomains["north"]; got != (s.wanted[evacuationKey] != "") {
			return fmt.Errorf("instance %d: evacuated is %v", n, got)
		}
		if i.configVersion != uint64(s.version) {
			return fmt.Errorf("instance %d has configuration %d, want %d", n, i.configVersion, s.version)
		}
	}
	return nil
}

// run plays the changes, one a second, and then heals all cuts.
func (s *eraSchedule) run(changes []eraChange) error {
	s.write(configKey, "1")
	for range 3 {
		common := &cwcommon.Common{Log: zap.NewNop(), Metrics: tally.NoopScope}
		s.instances = append(s.instances, &eraInstance{State: cwpublished.NewState(common, decodeTestItem), gone: make(map[string]bool)})
	}
	for step, c := range changes {
		s.apply(c, step)
		if s.rewriteAt > 0 && step >= s.rewriteAt {
			s.rewrite()
		}
		if err := s.step(); err != nil {
			return fmt.Errorf("step %d: %w", step, err)
		}
	}
	s.rewrite()
	for _, i := range s.instances {
		i.isCutFromStore, i.isCutFromPeers = false, false
	}
	for range settlingSteps {
		if err := s.step(); err != nil {
			return fmt.Errorf("after the last change: %w", err)
		}
	}
	return s.checkAgreement()
}

// step lets the instances update, and checks them a second later.
func (s *eraSchedule) step() error {
	s.update()
	time.Sleep(time.Second)
	return s.check()
}

// TestEraSchedule guards against instances that disagree, go back to an older configuration or
// use an endpoint that is gone, after the store came back from a copy and gave out revisions
// again, while some of them are cut off from the store or from each other.
func TestEraSchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		changes := rapid.SliceOfN(rapid.Custom(drawEraChange), eraSteps, eraSteps).Draw(rt, "changes")
		var err error
		synctest.Test(t, func(*testing.T) {
			s := &eraSchedule{store: &eraStore{items: make(map[string]cwpublished.Item)}, wanted: make(map[string]string), version: 1}
			err = s.run(changes)
			time.Sleep(time.Minute) // timers of the states end
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}
