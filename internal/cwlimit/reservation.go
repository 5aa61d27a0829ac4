package cwlimit

// Reservation is the memory that one response has reserved of a budget. It must not be used
// concurrently.
type Reservation struct {
	budget *Budget
	bytes  int64
	// isControl is set for a response of the store, the platform or another instance.
	isControl bool
}

// NewReservation returns a reservation of 0 bytes.
func (b *Budget) NewReservation() *Reservation {
	return &Reservation{budget: b}
}

// newControlReservation returns a reservation that may use the whole budget.
func (b *Budget) newControlReservation() *Reservation {
	return &Reservation{budget: b, isControl: true}
}

// Grow reserves n more bytes. It returns false if they don't fit.
func (r *Reservation) Grow(n int64) bool {
	if !r.budget.reserve(n, !r.isControl && r.bytes+n > smallBytes) {
		return false
	}
	r.bytes += n
	return true
}

// Resize sets the reservation to n bytes. It returns false if they don't fit.
func (r *Reservation) Resize(n int64) bool {
	if n > r.bytes {
		return r.Grow(n - r.bytes)
	}
	r.budget.release(r.bytes - n)
	r.bytes = n
	return true
}

// Error returns the error of a response that does not fit.
func (r *Reservation) Error(step, peer string) *Error {
	return &Error{Step: step, Peer: peer, LimitBytes: r.budget.limit(), IsShared: true}
}

// Release returns all bytes to the budget. Further calls do nothing.
func (r *Reservation) Release() {
	r.budget.release(r.bytes)
	r.bytes = 0
}
