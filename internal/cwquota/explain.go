package cwquota

import "time"

// Explain returns the decision that TrySpend would make. It spends nothing and reserves no return.
func (l *Ledger) Explain(id uint64, limit Limit, amount float64, now time.Time) Decision {
	// TrySpend changes the account alone, which refers to nothing that others share.
	explained := account{}
	if a := l.accounts[id]; a != nil {
		explained = *a
	}
	ledger := *l
	ledger.accounts = map[uint64]*account{id: &explained}
	return ledger.TrySpend(id, limit, amount, now)
}

// spendableSteps is the number of halvings after which a part of the level is known to a millionth.
const spendableSteps = 20

// Spendable returns the largest amount, up to what the account has left, that this instance may spend
// now.
func (l *Ledger) Spendable(id uint64, limit Limit, now time.Time) float64 {
	allowed, refused := 0.0, l.Explain(id, limit, 0, now).Level
	if refused <= 0 {
		return 0
	}
	if l.Explain(id, limit, refused, now).IsAllowed {
		return refused
	}
	for range spendableSteps {
		amount := (allowed + refused) / 2
		if l.Explain(id, limit, amount, now).IsAllowed {
			allowed = amount
		} else {
			refused = amount
		}
	}
	return allowed
}
