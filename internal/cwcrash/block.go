package cwcrash

import (
	"slices"
	"time"
)

// Block is the refusal of requests that have all of some traits.
type Block struct {
	// Traits are those that a request must have to be refused. They are several if all ends
	// occurred under requests with all of them.
	Traits []Trait
	// Names are their names.
	Names []string
	// Ends are the ends of endpoints that the block is based on.
	Ends []Event
	// Survivals is the number of requests that did not end their endpoint.
	Survivals int
	// SeenAt is when a request was last refused; zero if none was.
	SeenAt time.Time
}

// Matches reports whether a request with the traits is refused.
func (b *Block) Matches(traits []Trait) bool {
	for _, t := range b.Traits {
		if !slices.Contains(traits, t) {
			return false
		}
	}
	return true
}

// verdict is what follows from all evidence.
type verdict struct {
	blocks []*Block
	// suspects are the traits that the next end blocks.
	suspects map[Trait]bool
	// paths are those of all requests under which endpoints ended.
	paths map[Trait]bool
}

const (
	// otherEndsPerEnd is the number of other ends in the same time that call for one more end:
	// while many endpoints end, some do so by chance under requests with the same trait.
	otherEndsPerEnd = 4
	// maxOtherEndsWeight is the largest number of ends that these call for.
	maxOtherEndsWeight = 2
)

// decide attributes ends to traits: the trait with most ends beyond those required is blocked
// and explains all its ends, which then don't count for the others. Requests that were at an
// endpoint beside the one that ended it are cleared in this way.
func decide(records map[Trait]*Evidence) *verdict {
	v := &verdict{suspects: make(map[Trait]bool), paths: make(map[Trait]bool)}
	var candidates []*Evidence
	unexplained := make(map[uint32]time.Time)
	for _, e := range records {
		if len(e.Ends) >= minEnds-1 {
			candidates = append(candidates, e)
		}
		if e.Path != 0 && len(e.Ends) > 0 {
			v.paths[e.Path] = true
		}
		for _, end := range e.Ends {
			if at, known := unexplained[end.ID]; !known || end.At.Before(at) {
				unexplained[end.ID] = end.At
			}
		}
	}
	timeline := make([]Event, 0, len(unexplained))
	for id, at := range unexplained {
		timeline = append(timeline, Event{ID: id, At: at})
	}
	slices.SortFunc(timeline, func(a, b Event) int { return a.At.Compare(b.At) })
	// The order makes the result independent of that of the map.
	slices.SortFunc(candidates, func(a, b *Evidence) int {
		if a.Trait < b.Trait {
			return -1
		}
		return 1
	})
	for {
		var best *Evidence
		bestMargin := -1
		for _, e := range candidates {
			if margin := e.countEnds(unexplained) - e.requiredEnds(); margin > bestMargin {
				if margin -= e.countOtherEnds(timeline, unexplained, otherEndsPerEnd*maxOtherEndsWeight) / otherEndsPerEnd; margin > bestMargin {
					best, bestMargin = e, margin
				}
			}
		}
		if best == nil {
			break
		}
		b := newBlock(best, candidates, unexplained)
		v.blocks = append(v.blocks, b)
		for _, end := range b.Ends {
			delete(unexplained, end.ID)
		}
	}
	for _, e := range candidates {
		if len(e.Survivals) == 0 && e.countEnds(unexplained) >= e.requiredEnds()-1 {
			v.suspects[e.Trait] = true
		}
	}
	return v
}

// newBlock returns the block of a trait and of all others that occurred in the same ends, in the
// same requests, and have no more survivals.
func newBlock(best *Evidence, candidates []*Evidence, unexplained map[uint32]time.Time) *Block {
	b := &Block{Survivals: len(best.Survivals)}
	for _, end := range best.Ends {
		if _, ok := unexplained[end.ID]; ok {
			b.Ends = append(b.Ends, end)
		}
	}
	for _, e := range candidates {
		if e != best && (e.requiredEnds() > best.requiredEnds() || !e.hasSameEnds(b.Ends, unexplained)) {
			continue
		}
		b.Traits, b.Names = append(b.Traits, e.Trait), append(b.Names, e.Name)
		if e.SeenAt.After(b.SeenAt) {
			b.SeenAt = e.SeenAt
		}
	}
	return b
}

// hasSameEnds reports whether the unexplained ends are exactly those given, under the same
// requests.
func (e *Evidence) hasSameEnds(ends []Event, unexplained map[uint32]time.Time) bool {
	count := 0
	for _, end := range e.Ends {
		if _, ok := unexplained[end.ID]; !ok {
			continue
		}
		if !slices.ContainsFunc(ends, func(other Event) bool { return other.ID == end.ID && other.Request == end.Request }) {
			return false
		}
		count++
	}
	return count == len(ends)
}
