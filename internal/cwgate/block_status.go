package cwgate

import (
	"strconv"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcrash"
)

// BlockStatus is a block of requests that end endpoints, as operators see it.
type BlockStatus struct {
	// ID identifies the block in LiftBlock.
	ID string `json:"id"`
	// Traits are what a request must have to be refused, all of them.
	Traits []string `json:"traits"`
	// Ends are the ends of endpoints that the block is based on, and Survivals the number of
	// requests that did not end their endpoint.
	Ends      []EndStatus `json:"ends"`
	Survivals int         `json:"survivals"`
	// RefusedSecondsAgo is the time since any instance refused a request; null if none did.
	RefusedSecondsAgo *float64 `json:"refusedSecondsAgo"`
}

// EndStatus is the end of an endpoint.
type EndStatus struct {
	// ID identifies the end in the log lines of all instances.
	ID string `json:"id"`
	// SecondsAgo is the time since then.
	SecondsAgo float64 `json:"secondsAgo"`
}

// BlockStatuses returns the blocks in force.
func (g *Gate) BlockStatuses(now time.Time) []BlockStatus {
	statuses := []BlockStatus{}
	for _, b := range g.crashes.Blocks(now) {
		s := BlockStatus{ID: formatTrait(b.Traits[0]), Traits: b.Names, Ends: []EndStatus{}, Survivals: b.Survivals}
		for _, e := range b.Ends {
			s.Ends = append(s.Ends, EndStatus{ID: formatEnd(e.ID), SecondsAgo: now.Sub(e.At).Seconds()})
		}
		if !b.SeenAt.IsZero() {
			age := now.Sub(b.SeenAt).Seconds()
			s.RefusedSecondsAgo = &age
		}
		statuses = append(statuses, s)
	}
	return statuses
}

// LiftBlock ends a block, at this instance and those that it reaches. It returns false if there
// is no block with the identifier.
func (g *Gate) LiftBlock(id string, now time.Time) bool {
	trait, err := strconv.ParseUint(id, traitBase, 64)
	return err == nil && g.crashes.Lift(cwcrash.Trait(trait), now)
}

// traitBase is the base of the numbers in which traits are written.
const traitBase = 16

func formatTrait(t cwcrash.Trait) string {
	return strconv.FormatUint(uint64(t), traitBase)
}
