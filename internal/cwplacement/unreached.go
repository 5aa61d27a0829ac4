package cwplacement

import "time"

// AvailableEndpoints returns the number of endpoints that take new requests.
func (p *Pool) AvailableEndpoints() int {
	n := 0
	for _, e := range p.sorted {
		if !e.HasStartedDraining && !e.IsEvacuated {
			n++
		}
	}
	return n
}

// ForgetUnreachability drops what followed from the failures of this instance to reach endpoints.
// With hasWitness it is known that they have not restarted meanwhile. With isStoreRead the entries in
// the store are current.
func (p *Pool) ForgetUnreachability(hasWitness, isStoreRead bool, now time.Time) {
	for _, e := range p.sorted {
		e.health = health{silenceEndedAt: e.silenceEndedAt}
		switch {
		case hasWitness:
			e.unreachableAt = time.Time{}
		case isStoreRead:
			e.clearIfListed(now)
		}
	}
}
