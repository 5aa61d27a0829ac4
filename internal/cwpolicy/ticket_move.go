package cwpolicy

import "slices"

// TicketMove records that the tickets of one incarnation were handed over to
// another.
type TicketMove struct {
	// From is the incarnation that issued the tickets.
	From uint64
	// To is the incarnation that owns them now.
	To uint64
}

// FindTicketOwner returns the member that owns the tickets of an incarnation after
// all recorded moves, or nil if it is not among the members. The owner may be
// unresponsive.
func FindTicketOwner(members []Member, moves []TicketMove, incarnation uint64) *Member {
	// The limit ends the loop if the moves form a cycle: a chain of moves is no
	// longer than their number.
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
