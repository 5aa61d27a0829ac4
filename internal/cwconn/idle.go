package cwconn

import "time"

// HasIdle reports whether an idle connection to the address is usable.
func (p *Pool) HasIdle(address string) bool {
	pool := p.addressPool(address)
	now := time.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, c := range pool.idle {
		if now.Before(c.idleUntil) {
			return true
		}
	}
	return false
}
