package cwquota

import "time"

const (
	// statementsPerSecond is the number of statements that an instance makes in a second, of 24
	// bytes each: 10.8 KB/s.
	statementsPerSecond = 450
	// fullReserve is the part of a second's statements that is left to messages that state all
	// accounts.
	fullReserve = 225
)

// statementBudget bounds the statements that an instance makes, to all receivers together.
type statementBudget struct {
	left       float64
	refilledAt time.Time
}

func (b *statementBudget) refill(now time.Time) {
	passed := max(now.Sub(b.refilledAt), 0).Seconds()
	b.left = min(b.left+passed*statementsPerSecond, statementsPerSecond)
	b.refilledAt = now
}

// take returns the statements for which there is room, the first ones. All of a message that states
// all accounts are made; what they take too much delays the next such message.
func (b *statementBudget) take(list []Statement, isPartial bool) []Statement {
	if isPartial {
		list = list[:min(len(list), max(int(b.left)-fullReserve, 0))]
	}
	b.left -= float64(len(list))
	return list
}
