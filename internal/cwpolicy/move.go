package cwpolicy

import "slices"

// TicketMove says that the tickets of one incarnation went to another.
type TicketMove struct {
	// From is the incarnation that issued the tickets.
	From uint64
	// To is the incarnation that owns them now.
	To uint64
}

// FindTicketOwner returns the member that owns the tickets of an incarnation, following
// handovers, or nil. The owner may be silent; it may not be unknown.
func FindTicketOwner(members []Member, moves []TicketMove, incarnation uint64) *Member {
	// A chain of handovers is no longer than the number of moves.
	for range len(moves) + 1 {
		i := slices.IndexFunc(moves, func(m TicketMove) bool { return m.From == incarnation })
		if i < 0 {
			break
		}
		incarnation = moves[i].To
	}
	i := slices.IndexFunc(members, func(m Member) bool { return m.Incarnation == incarnation })
	if i < 0 {
		return nil
	}
	return &members[i]
}
